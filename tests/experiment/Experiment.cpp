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
    constexpr std::size_t largeAccountCount = 2;

    [[nodiscard]] std::string accountName(std::size_t index) { return "account" + std::to_string(index); }

    /** @brief One run: sends the load, applies the failure, and compares the replies with the ledger. */
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

        [[nodiscard]] Result execute()
        {
            const node::testing::Traffic before = fleet_.traffic;
            for (int second = 0; second < shape_.seconds; ++second) {
                failure_.apply(fleet_, second);
                sendLoadDuring(second);
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
        struct SentRequest {
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
                const double share = account < largeAccountCount
                    ? 0.5 / largeAccountCount
                    : 0.5 / static_cast<double>(shape_.accounts - largeAccountCount);
                const double tokens = requests * share * static_cast<double>(requestCost) * shape_.boughtShare;
                boughtTokens_.push_back(std::llround(tokens));
                fleet_.topUp(names.back(), boughtTokens_.back());
            }
            spentTokens_.resize(shape_.accounts);
            fleet_.publish(node::testing::plansDocument(names, policy.weighting));
            fleet_.run(std::chrono::seconds(3));
        }

        void sendLoadDuring(int second)
        {
            std::exponential_distribution<double> gap(shape_.rate);
            std::uint64_t offset = 0;
            while (true) {
                offset += static_cast<std::uint64_t>(gap(random_) * static_cast<double>(microsecondsPerSecond));
                if (offset >= microsecondsPerSecond) {
                    break;
                }
                runUntil(second, offset);
                sendRandomRequest();
            }
            runUntil(second, microsecondsPerSecond);
        }

        void runUntil(int second, std::uint64_t microseconds)
        {
            const Instant target = start_ + std::chrono::seconds(second) + Duration(microseconds);
            fleet_.run(std::max(target - fleet_.now(), Duration {}));
        }

        void sendRandomRequest()
        {
            std::uniform_int_distribution<std::size_t> anyVm(0, shape_.vms.size() - 1);
            std::uniform_int_distribution<std::size_t> anySmall(largeAccountCount, shape_.accounts - 1);
            std::uniform_int_distribution<std::size_t> anyLarge(0, largeAccountCount - 1);
            std::bernoulli_distribution chooseLarge(0.5);
            std::size_t vm = anyVm(random_);
            const std::size_t account = chooseLarge(random_) ? anyLarge(random_) : anySmall(random_);
            // The platform's load balancer sends no requests to a crashed VM.
            while (!fleet_.running(vm)) {
                vm = anyVm(random_);
            }
            TestRequest request;
            request.account = accountName(account);
            request.id = "r" + std::to_string(result_.sent++);
            request.promptTokens = promptTokens;
            request.maxAnswerTokens = answerTokens;
            // onReply() may be called before send() returns the call id.
            requestBeingSent_ = { account, request.id };
            const CallId call = fleet_.send(vm, request);
            sentRequests_[call] = requestBeingSent_;
        }

        void onReply(const node::Reply& reply)
        {
            const auto found = sentRequests_.find(reply.call);
            const SentRequest& sent = found == sentRequests_.end() ? requestBeingSent_ : found->second;
            if (reply.outcome == node::Outcome::Answered) {
                ++result_.answered;
                spentTokens_[sent.account] += reply.billed.value();
                answeredRequests_.push_back(sent);
            } else if (reply.outcome == node::Outcome::Unknown) {
                ++result_.unknown;
            } else if (reply.status == 402) {
                const bool covered = boughtTokens_[sent.account] - spentTokens_[sent.account] >= requestCost;
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
                const std::int64_t billed = std::max(view.billed.value(), spentTokens_[account]);
                result_.overspend += std::max<std::int64_t>(billed - boughtTokens_[account], 0);
                result_.stranded += (view.held - view.billed).value();
                if (spentTokens_[account] > view.billed.value()) {
                    result_.unbilled
                        += static_cast<std::uint64_t>((spentTokens_[account] - view.billed.value()) / requestCost);
                }
            }
        }

        Shape shape_;
        Failure failure_;
        FakeFleet fleet_;
        std::mt19937_64 random_;
        Instant start_ = Instant {} + std::chrono::seconds(3);
        std::vector<std::int64_t> boughtTokens_;
        std::vector<std::int64_t> spentTokens_;
        std::map<CallId, SentRequest> sentRequests_;
        SentRequest requestBeingSent_;
        std::vector<SentRequest> answeredRequests_;
        Result result_;
    };

} // namespace

Result runExperiment(const Shape& shape, const Failure& failure, const Policy& policy, std::uint64_t seed)
{
    return Run(shape, failure, policy, seed).execute();
}

} // namespace swiftlift::experiment
