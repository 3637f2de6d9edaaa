#include "ledger/ExploreText.h"

#include <sstream>
#include <variant>

namespace swiftlift::ledger::explore {

std::string textOf(const GrantId& id) { return std::to_string(id.holder.value()) + ":" + std::to_string(id.number); }

namespace {

    struct EntryText {
        std::ostream& out;

        void operator()(const Draw& entry) const
        {
            out << "draw " << textOf(entry.grant) << " wanted " << entry.wanted << " least " << entry.least
                << " witness " << entry.witness;
        }
        void operator()(const Return& entry) const { out << "return " << textOf(entry.grant) << ' ' << entry.amount; }
        void operator()(const CloseGrant& entry) const { out << "close " << textOf(entry.grant); }
        void operator()(const WriteOff& entry) const { out << "write off " << textOf(entry.grant); }
        void operator()(const Fund& entry) const { out << "fund " << entry.budget.account << " with " << entry.total; }
        void operator()(const ChangeWitness& entry) const
        {
            out << "witness " << textOf(entry.grant) << ' ' << entry.witness << " ceiling " << entry.ceiling;
        }
        void operator()(const Seal& entry) const { out << "seal " << textOf(entry.grant) << ' ' << entry.ceiling; }
        void operator()(const Bill& entry) const
        {
            out << "bill key " << entry.key.low << " on " << textOf(entry.grant) << ' ' << entry.tokens;
        }
        template <typename Other> void operator()(const Other&) const { out << "other"; }
    };

} // namespace

std::string textOf(const Entry& entry)
{
    std::ostringstream out;
    std::visit(EntryText { out }, entry);
    return out.str();
}

namespace {

    struct BodyText {
        std::ostream& out;

        void ceilings(const std::vector<Ceiling>& all) const
        {
            for (const Ceiling& one : all)
                out << ' ' << textOf(one.grant) << '=' << one.ceiling;
        }
        void operator()(const SendRaise& body) const
        {
            out << "raise";
            ceilings(body.ceilings);
        }
        void operator()(const SendCeilingsAcked& body) const
        {
            out << "acked";
            ceilings(body.ceilings);
        }
        void operator()(const SendCeilingsRefused& body) const
        {
            out << "refused";
            for (const GrantId& grant : body.grants)
                out << ' ' << textOf(grant);
        }
        void operator()(const SendLoanAsk& body) const { out << "loan ask " << body.loan << ' ' << body.amount; }
        void operator()(const SendLoanGiven& body) const
        {
            out << "loan given " << body.loan << ' ' << textOf(body.grant) << ' ' << body.amount;
        }
        void operator()(const SendLoanDenied& body) const { out << "loan denied " << body.loan; }
        void operator()(const SendLoanDone& body) const { out << "loan done " << body.loan << ' ' << body.billed; }
        void operator()(const SendLoanDoneAcked& body) const { out << "loan done acked " << body.loan; }
    };

} // namespace

std::string textOf(const Message& message)
{
    std::ostringstream out;
    out << message.from << "->" << message.to << ' ';
    std::visit(BodyText { out }, message.body);
    return out.str();
}

} // namespace swiftlift::ledger::explore
