#include "load/Options.h"

#include <getopt.h>

#include <charconv>
#include <fstream>
#include <map>
#include <sstream>
#include <string_view>

namespace swiftlift::load {

const char* const usage
    = "usage: swiftlift-load --router IP:PORT --service NAME --account NAME --key KEY [options]\n"
      "Sends requests by a seeded schedule, without waiting for answers, and tells what came of them.\n"
      "  --router IP:PORT        callers' address of a router; may be repeated, taken in turn\n"
      "  --direct IP:PORT        engine that gets a paired load straight; may be repeated. Each arrival then has a "
      "twin\n"
      "                          of the same size, and what the router adds is the difference of the two\n"
      "  --service NAME          service to call\n"
      "  --account NAME          client account, with --key\n"
      "  --key KEY               its key\n"
      "  --accounts FILE         client accounts taken at random: a line each, name and key with a space between\n"
      "  --rate N                arrivals a second (default 10)\n"
      "  --duration S            seconds (default 10)\n"
      "  --warm-up S             seconds at the start that are not counted (default 0)\n"
      "  --prompt-tokens A[-B]   tokens of a prompt, evenly between A and B (default 100)\n"
      "  --shared-prefixes X     share of prompts with a common prefix, 0 to 1 (default 0)\n"
      "  --prefixes N            number of common prefixes (default 8)\n"
      "  --poison-every N        one in N arrivals has the same prompt, for engines that crash on `poison` (default 0: "
      "none)\n"
      "  --max-tokens N          tokens of an answer (default 64)\n"
      "  --stream on|off         stream answers (default on)\n"
      "  --non-idempotent X      share of requests that may run only once, 0 to 1 (default 0)\n"
      "  --deadline-ms N         deadline of a request (default 30000)\n"
      "  --seed N                of the schedule (default 1)\n"
      "  --process PID           process whose processor time and memory are told; may be repeated\n"
      "  --json FILE             write the results as JSON; - for standard output, in place of the table\n"
      "  --help                  this text\n"
      "Times count from the moment the schedule asks for, so a late client shows. Percentiles are exact: nearest "
      "rank,\n"
      "by std::nth_element. Refusals, unknown outcomes and errors are told apart and never counted as answers.\n"
      "exit codes: 0 done, 1 the run failed, 2 usage\n";

namespace {

    /** Upper bound for numbers of tokens and prefixes, and for the poison interval. */
    constexpr std::uint32_t maxCount = 1'000'000;
    /** Arrivals per second. */
    constexpr double maxRate = 100'000;
    constexpr int maxSeconds = 3'600;

    /** @brief Parses option values and reports invalid ones as findings. */
    class OptionReader {
    public:
        explicit OptionReader(Findings& findings)
            : findings_(findings)
        {
        }

        template <typename Number>
        void number(const std::string& name, std::string_view text, Number& value, Number min, Number max)
        {
            Number read {};
            const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), read);
            if (error != std::errc {} || end != text.data() + text.size() || read < min || read > max) {
                std::ostringstream expected;
                expected << "takes a number from " << min << " to " << max;
                report(name, expected.str());
                return;
            }
            value = read;
        }

        void target(const std::string& name, std::string_view text, std::vector<Target>& targets)
        {
            const auto colon = text.rfind(':');
            if (colon == std::string_view::npos || colon == 0) {
                report(name, "takes IP:PORT");
                return;
            }
            Target target { std::string(text.substr(0, colon)), 0 };
            number<std::uint16_t>(name, text.substr(colon + 1), target.port, 1, UINT16_MAX);
            targets.push_back(std::move(target));
        }

        void range(const std::string& name, std::string_view text, std::uint32_t& min, std::uint32_t& max)
        {
            const auto dash = text.find('-');
            number<std::uint32_t>(name, text.substr(0, dash), min, 1, maxCount);
            max = min;
            if (dash != std::string_view::npos) {
                number<std::uint32_t>(name, text.substr(dash + 1), max, min, maxCount);
            }
        }

        void onOff(const std::string& name, std::string_view text, bool& value)
        {
            if (text != "on" && text != "off") {
                report(name, "takes on or off");
            }
            value = text == "on";
        }

        void accounts(const std::string& name, const std::string& file, std::vector<Account>& accounts)
        {
            std::ifstream in(file);
            std::string line;
            for (int number = 1; std::getline(in, line); ++number) {
                std::istringstream words(line);
                Account account;
                if (words >> account.name >> account.key) {
                    accounts.push_back(std::move(account));
                } else if (!line.empty()) {
                    findings_.push_back(
                        { file, number, 1, "expected an account name and a key, separated by a space" });
                }
            }
            if (accounts.empty()) {
                report(name, file + " contains no account");
            }
        }

        void report(const std::string& name, std::string message)
        {
            findings_.push_back({ "--" + name, 0, 0, std::move(message) });
        }

    private:
        Findings& findings_;
    };

    /** @brief Parses the value of the option `name` into the options, or into the single account. */
    void readOption(
        const std::string& name, const std::string& text, Options& options, Account& account, OptionReader& reader)
    {
        int seconds = 0;
        if (name == "router") {
            reader.target(name, text, options.routers);
        } else if (name == "direct") {
            reader.target(name, text, options.engines);
        } else if (name == "service") {
            options.service = text;
        } else if (name == "account") {
            account.name = text;
        } else if (name == "key") {
            account.key = text;
        } else if (name == "accounts") {
            reader.accounts(name, text, options.accounts);
        } else if (name == "rate") {
            reader.number<double>(name, text, options.rate, 0.01, maxRate);
        } else if (name == "duration") {
            reader.number<int>(name, text, seconds, 1, maxSeconds);
            options.duration = std::chrono::seconds(seconds);
        } else if (name == "warm-up") {
            reader.number<int>(name, text, seconds, 0, maxSeconds);
            options.warmUp = std::chrono::seconds(seconds);
        } else if (name == "prompt-tokens") {
            reader.range(name, text, options.minPromptTokens, options.maxPromptTokens);
        } else if (name == "shared-prefixes") {
            reader.number<double>(name, text, options.sharedPrefixShare, 0, 1);
        } else if (name == "prefixes") {
            reader.number<std::uint32_t>(name, text, options.prefixes, 1, maxCount);
        } else if (name == "poison-every") {
            reader.number<std::uint32_t>(name, text, options.poisonInterval, 0, maxCount);
        } else if (name == "max-tokens") {
            reader.number<std::uint32_t>(name, text, options.maxTokens, 1, maxCount);
        } else if (name == "stream") {
            reader.onOff(name, text, options.stream);
        } else if (name == "non-idempotent") {
            reader.number<double>(name, text, options.nonIdempotentShare, 0, 1);
        } else if (name == "deadline-ms") {
            int milliseconds = 0;
            reader.number<int>(name, text, milliseconds, 1, maxSeconds * 1000);
            options.deadline = std::chrono::milliseconds(milliseconds);
        } else if (name == "seed") {
            reader.number<std::uint64_t>(name, text, options.seed, 0, UINT64_MAX);
        } else if (name == "process") {
            reader.number<int>(name, text, options.processes.emplace_back(), 1, INT32_MAX);
        } else if (name == "json") {
            options.jsonFile = text;
        }
    }

    /** @brief Reports required options that are missing. */
    void checkRequiredOptions(const Options& options, OptionReader& reader)
    {
        if (options.routers.empty() && options.engines.empty()) {
            reader.report("router", "at least one --router or --direct is required");
        }
        if (!options.routers.empty() && options.service.empty()) {
            reader.report("service", "is required with --router");
        }
        if (!options.routers.empty() && options.accounts.empty()) {
            reader.report("account", "--account or --accounts is required with --router");
        }
    }

} // namespace

Options parseOptions(int argc, char** argv, Findings& findings)
{
    static const char* const names[] = { "router", "direct", "service", "account", "key", "accounts", "rate",
        "duration", "warm-up", "prompt-tokens", "shared-prefixes", "prefixes", "poison-every", "max-tokens", "stream",
        "non-idempotent", "deadline-ms", "seed", "process", "json" };
    constexpr int helpOptionCode = 'h';
    std::vector<option> longOptions;
    for (const char* name : names) {
        longOptions.push_back({ name, required_argument, nullptr, 0 });
    }
    longOptions.push_back({ "help", no_argument, nullptr, helpOptionCode });
    longOptions.push_back({ nullptr, 0, nullptr, 0 });

    Options options;
    Account account;
    OptionReader reader(findings);
    optind = 1;
    int index = 0;
    for (int optionCode = 0; (optionCode = getopt_long(argc, argv, "h", longOptions.data(), &index)) != -1;) {
        if (optionCode == helpOptionCode) {
            options.help = true;
        } else if (optionCode == 0) {
            readOption(longOptions[static_cast<std::size_t>(index)].name, optarg, options, account, reader);
        } else {
            reader.report("?", "unknown option or missing value");
        }
    }
    if (optind != argc) {
        reader.report("?", std::string("unexpected argument ") + argv[optind]);
    }
    if (!account.name.empty()) {
        options.accounts.push_back(account);
    }
    if (!options.help) {
        checkRequiredOptions(options, reader);
    }
    return options;
}

} // namespace swiftlift::load
