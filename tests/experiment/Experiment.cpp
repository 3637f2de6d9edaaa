#include "experiment/Experiment.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace swiftlift::experiment {

namespace {

    using node::testing::FakeFleet;
    using node::testing::TestRequest;

    constexpr std::int64_t promptTokens = 10;
    constexpr std::int64_t answerTokens = 20;
    constexpr std::int64_t requestCost = promptTokens + answerTokens;
    constexpr std::uint64_t microsecondsPerSecond = 1'000'000;
    constexpr std::size_t largeAccounts = 2;

    [[nodiscard]] std::string accountName(std::size_t index) { return "account" + std::to_string(index); }

    /** One run: load, failure, and the auditor's book. */
    class Run {
    public:
        Run(const Shape& shape, const Failure& failure, const Policy& policy, std::uint64_t seed)
            : shape_(shape)
            , failure_(failure)
            , fleet_(policy.holdingPolicy, static_cast<std::uint32_t>(shape.vms.size()))
            , random_(seed)
        {
            fleet_.onReply = [this](const node::Reply& reply) { onReply(reply); };
            build(policy);
        }

        [[nodiscard]] Result go()
        {
            const node::testing::Traffic before = fleet_.traffic;
            for (int second = 0; second < shape_.seconds; ++second) {
                failure_.at(fleet_, second);
                loadFor(second);
            }
            const node::testing::Traffic after = fleet_.traffic;
            fleet_.heal();
            fleet_.log.outage = false;
            fleet_.run(std::chrono::seconds(60));
            audit();
            const double vmSeconds = static_cast<double>(shape_.seconds) * static_cast<double>(shape_.vms.size());
            result_.appendsPerSecond = static_cast<double>(after.appends - before.appends) / shape_.seconds;
            result_.peerBytesPerVmSecond = static_cast<double>(after.peerBytes - before.peerBytes) / vmSeconds;
            result_.logBytesPerVmSecond
                = static_cast<double>(after.appendedBytes + after.readBytes - before.appendedBytes - before.readBytes)
                / vmSeconds;
            return result_;
        }

    private:
        struct Sent {
            std::size_t account = 0;
            std::string id;
        };

        void build(const Policy& policy)
        {
            for (const auto& domain : shape_.vms) {
                fleet_.addVm(domain);
            }
            std::vector<std::string> names;
            const double requests = shape_.rate * shape_.seconds;
            for (std::size_t account = 0; account < shape_.accounts; ++account) {
                names.push_back(accountName(account));
                fleet_.openAccount(names.back());
                const double share = account < largeAccounts
                    ? 0.5 / largeAccounts
                    : 0.5 / static_cast<double>(shape_.accounts - largeAccounts);
                const double tokens = requests * share * static_cast<double>(requestCost) * shape_.bought;
                bought_.push_back(std::llround(tokens));
                fleet_.topUp(names.back(), bought_.back());
            }
            spent_.resize(shape_.accounts);
            fleet_.publish(node::testing::plansDocument(names, policy.weighting));
            fleet_.run(std::chrono::seconds(3));
        }

        void loadFor(int second)
        {
            std::exponential_distribution<double> gap(shape_.rate);
            std::uint64_t offset = 0;
            while (true) {
                offset += static_cast<std::uint64_t>(gap(random_) * static_cast<double>(microsecondsPerSecond));
                if (offset >= microsecondsPerSecond) {
                    break;
                }
                runTo(second, offset);
                sendOne();
            }
            runTo(second, microsecondsPerSecond);
        }

        void runTo(int second, std::uint64_t microseconds)
        {
            const Instant target = start_ + std::chrono::seconds(second) + Duration(microseconds);
            fleet_.run(std::max(target - fleet_.now(), Duration {}));
        }

        void sendOne()
        {
            std::uniform_int_distribution<std::size_t> anyVm(0, shape_.vms.size() - 1);
            std::uniform_int_distribution<std::size_t> anySmall(largeAccounts, shape_.accounts - 1);
            std::uniform_int_distribution<std::size_t> anyLarge(0, largeAccounts - 1);
            std::bernoulli_distribution large(0.5);
            std::size_t vm = anyVm(random_);
            const std::size_t account = large(random_) ? anyLarge(random_) : anySmall(random_);
            // The platform's balancer knows a dead VM.
            while (!fleet_.running(vm)) {
                vm = anyVm(random_);
            }
            TestRequest request;
            request.account = accountName(account);
            request.id = "r" + std::to_string(result_.sent++);
            request.promptTokens = promptTokens;
            request.maxAnswerTokens = answerTokens;
            // The reply may come before send() returns.
            arriving_ = { account, request.id };
            const CallId call = fleet_.send(vm, request);
            sent_[call] = arriving_;
        }

        void onReply(const node::Reply& reply)
        {
            const auto found = sent_.find(reply.call);
            const Sent& sent = found == sent_.end() ? arriving_ : found->second;
            if (reply.outcome == node::Outcome::Answered) {
                ++result_.answered;
                spent_[sent.account] += reply.billed.value();
                answered_.push_back(sent);
            } else if (reply.outcome == node::Outcome::Unknown) {
                ++result_.unknown;
            } else if (reply.status == 402) {
                const bool covered = bought_[sent.account] - spent_[sent.account] >= requestCost;
                ++(covered ? result_.falseRefusals : result_.trueRefusals);
            } else {
                ++result_.otherRefusals;
            }
        }

        void audit()
        {
            const ledger::Fold fold = fleet_.auditedLedger();
            for (std::size_t account = 0; account < shape_.accounts; ++account) {
                const auto view = *fold.budget({ AccountId { accountName(account) }, BudgetId { "main" } });
                const std::int64_t billed = std::max(view.billed.value(), spent_[account]);
                result_.overspend += std::max<std::int64_t>(billed - bought_[account], 0);
                result_.stranded += (view.held - view.billed).value();
                if (spent_[account] > view.billed.value()) {
                    result_.unbilled
                        += static_cast<std::uint64_t>((spent_[account] - view.billed.value()) / requestCost);
                }
            }
        }

        Shape shape_;
        Failure failure_;
        FakeFleet fleet_;
        std::mt19937_64 random_;
        Instant start_ = Instant {} + std::chrono::seconds(3);
        std::vector<std::int64_t> bought_;
        std::vector<std::int64_t> spent_;
        std::map<CallId, Sent> sent_;
        Sent arriving_;
        std::vector<Sent> answered_;
        Result result_;
    };

} // namespace

Result runExperiment(const Shape& shape, const Failure& failure, const Policy& policy, std::uint64_t seed)
{
    return Run(shape, failure, policy, seed).go();
}

} // namespace swiftlift::experiment
