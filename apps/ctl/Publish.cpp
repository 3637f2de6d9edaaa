#include "ctl/Publish.h"

#include <utility>
#include <variant>

#include "ctl/ConfigReader.h"
#include "ctl/LineDiff.h"
#include "swiftlift/config/Record.h"
#include "swiftlift/settings/ServiceDocument.h"
#include "swiftlift/transport/Hashing.h"

namespace swiftlift::ctl {

namespace {

    [[nodiscard]] Report acceptedReport(
        const ChangeContext& context, const ServiceName& service, Offset revision, const std::string& done)
    {
        const auto number = std::to_string(revision.value());
        return { ExitCode::Ok, "service " + service.value() + ' ' + done + " as revision " + number + '\n',
            { { "outcome", "admitted" }, { "service", service.value() }, { "revision", revision.value() },
                { "id", transport::toHex(context.id) } } };
    }

    /** @return The report of a publish that lost to another: the winner's author, and the lines that differ. */
    [[nodiscard]] Report overtakenReport(
        const ServiceName& service, const std::optional<config::ServiceRevision>& winner, const std::string& document)
    {
        if (!winner) {
            return failure(ExitCode::Refused, "refused", "service " + service.value() + " was never published");
        }
        const auto diff = lineDiff(winner->text, document);
        const auto revision = std::to_string(winner->revision.value());
        Report report { ExitCode::Refused, {}, {} };
        report.text = "refused: revision " + revision + " of " + service.value() + " was "
            + (winner->text.empty() ? "withdrawn" : "published") + " by " + winner->author + " first\n"
            + "lines in force (-) against yours (+):\n" + (diff.empty() ? "none, the documents are equal\n" : diff)
            + "To replace that revision, publish with --expect-revision " + revision + '\n';
        report.json = { { "outcome", "refused" }, { "reason", "overtaken" }, { "service", service.value() },
            { "current_revision", winner->revision.value() }, { "current_author", winner->author }, { "diff", diff } };
        return report;
    }

    /** Makes one publish and reports its outcome. */
    class PublishChange {
    public:
        PublishChange(
            const ChangeContext& context, const PublishOrder& order, ServiceName service, std::string document)
            : context_(context)
            , order_(order)
            , service_(std::move(service))
            , document_(std::move(document))
            , reader_(context.log)
        {
            reader_.watch(context.id);
        }

        [[nodiscard]] Report make()
        {
            if (!reader_.catchUp()) {
                return notSentReport(reader_);
            }
            if (reader_.verdict()) {
                return verdictReport();
            }
            if (const auto earlier = findEarlier()) {
                return acceptedReport(context_, service_, *earlier, "was changed by this id before,");
            }
            const auto* const last = reader_.fold().last(service_);
            if (document_.empty() && reader_.fold().current(service_) == nullptr) {
                return failure(ExitCode::Refused, "refused", "service " + service_.value() + " is not in force");
            }
            const auto present = last != nullptr ? std::optional(last->revision) : std::nullopt;
            if (order_.expected && order_.expected->revision != present) {
                // Revisions only grow, so the expected revision can't become current again and the publish would be
                // refused.
                return overtakenReport(service_, last != nullptr ? std::optional(*last) : std::nullopt, document_);
            }
            return send(present);
        }

    private:
        [[nodiscard]] Report send(const std::optional<Offset>& replaces)
        {
            const config::PublishRequest request { service_, document_, replaces, order_.author, context_.id };
            const auto landed = [&] { return reader_.verdict().has_value(); };
            if (!submit(context_, reader_, config::encode(request), landed)) {
                return unknownReport(context_, reader_);
            }
            return verdictReport();
        }

        /** @return The revision that an earlier run with the same id published, if its record has expired. */
        [[nodiscard]] std::optional<Offset> findEarlier() const
        {
            for (const auto& note : reader_.fold().history(service_)) {
                if (note.id == context_.id) {
                    return note.revision;
                }
            }
            return std::nullopt;
        }

        [[nodiscard]] Report verdictReport() const
        {
            const auto& verdict = *reader_.verdict();
            if (const auto* const accepted = std::get_if<config::Accepted>(&verdict)) {
                return acceptedReport(context_, accepted->service, accepted->revision, "published");
            }
            if (const auto* const withdrawn = std::get_if<config::Withdrawn>(&verdict)) {
                return acceptedReport(context_, withdrawn->service, withdrawn->revision, "withdrawn");
            }
            if (const auto* const repeated = std::get_if<config::Repeated>(&verdict)) {
                return acceptedReport(
                    context_, repeated->service, repeated->revision, "was changed by this id before,");
            }
            return rejectedReport(std::get<config::Rejected>(verdict));
        }

        [[nodiscard]] Report rejectedReport(const config::Rejected& rejected) const
        {
            switch (rejected.reason) {
            case config::RejectReason::Overtaken:
                return overtakenReport(rejected.service, reader_.winner(), document_);
            case config::RejectReason::Invalid:
                return findingsReport(rejected.findings);
            case config::RejectReason::WrongService:
                return failure(ExitCode::Refused, "refused", "the document is about another service");
            case config::RejectReason::Unreadable:
                break;
            }
            return failure(ExitCode::Refused, "refused", "the record cannot be read");
        }

        const ChangeContext& context_;
        const PublishOrder& order_;
        ServiceName service_;
        std::string document_;
        ConfigReader reader_;
    };

} // namespace

Report checkDocument(const std::string& text, const std::string& source)
{
    Findings findings;
    const auto document = settings::parseServiceDocument(text, source, findings);
    if (!document) {
        return findingsReport(findings);
    }
    return { ExitCode::Ok, source + ": service " + document->service.value() + ", no findings\n",
        { { "outcome", "ok" }, { "service", document->service.value() } } };
}

Report publish(
    const ChangeContext& context, const PublishOrder& order, const std::string& text, const std::string& source)
{
    Findings findings;
    const auto document = settings::parseServiceDocument(text, source, findings);
    if (!document) {
        return findingsReport(findings);
    }
    return PublishChange(context, order, document->service, text).make();
}

Report withdraw(const ChangeContext& context, const PublishOrder& order, const ServiceName& service)
{
    return PublishChange(context, order, service, {}).make();
}

} // namespace swiftlift::ctl
