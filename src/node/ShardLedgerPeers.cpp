#include <algorithm>
#include <set>
#include <utility>

#include "node/Overloaded.h"
#include "node/ShardLedger.h"
#include "swiftlift/ledger/EntryCodec.h"

namespace swiftlift::node {

void ShardLedger::onReadAsk(Incarnation from, Offset offset)
{
    if (offset >= fold_.nextOffset()) {
        peers_.send(from, Records { stream_, offset, {} });
        return;
    }
    if (cache_.holds(offset)) {
        peers_.send(from, Records { stream_, offset, cache_.from(offset, peerAnswerBytes) });
        return;
    }
    const ledger::Checkpoint checkpoint = fold_.checkpoint();
    peers_.send(from, StreamState { stream_, checkpoint.asOf, checkpoint.state });
}

void ShardLedger::onPeerMessage(Incarnation from, const PeerMessage& message)
{
    ledger::MoneyActions actions;
    const Instant now = context_.now();
    std::visit(
        internal::Overloaded {
            [&](const RaiseCeilings& raise) {
                readNewGrantsSoon(raise);
                witness_.onRaise(from, raise.ceilings, actions);
            },
            [&](const CeilingsAcked& acked) { holder_.onCeilingsAcked(from, acked.ceilings, now, actions); },
            [&](const CeilingsRefused& refused) { holder_.onCeilingsRefused(from, refused.grants, now, actions); },
            [&](const LoanAsk& ask) { holder_.onLoanAsk(from, ask.loan, ask.budget, ask.amount, now, actions); },
            [&](const LoanGiven& loan) {
                holder_.onLoanGiven(from, loan.loan, loan.budget, loan.grant, loan.amount, now, actions, loan.alone);
            },
            [&](const LoanDenied& denied) {
                holder_.onLoanDenied(from, denied.loan, denied.budget, denied.free, now, actions);
            },
            [&](const LoanDone& done) { holder_.onLoanDone(from, done.loan, done.billed, now, actions); },
            [&](const LoanDoneAcked& acked) { holder_.onLoanDoneAcked(from, acked.loan, now, actions); },
            [&](const CopyItems& copy) { onCopyItems(from, copy); },
            [&](const ItemsCopied& copied) { onItemsCopied(from, copied); },
            [](const auto&) {},
        },
        message);
    carryOut(actions);
}

// A witness answers only for grants that it has read. Read in its own time, the grant would stay unspendable at its
// holder, whose callers wait for it, as long as the witness pauses between two reads.
void ShardLedger::readNewGrantsSoon(const RaiseCeilings& raise)
{
    const bool unread
        = std::ranges::any_of(raise.ceilings, [this](const ledger::Ceiling& one) { return !fold_.grant(one.grant); });
    if (unread) {
        context_.emit(ReadSoon { stream_ });
    }
}

void ShardLedger::onSuspected(Incarnation peer)
{
    ledger::MoneyActions actions;
    witness_.suspect(peer, actions);
    carryOut(actions);
    suspected_.insert(peer);
    if (peer == copyHolder_) {
        copyHolder_ = Incarnation {};
    }
}

void ShardLedger::sendCopies()
{
    const auto witness = peers_.membership().witness();
    if (!witness) {
        return;
    }
    if (*witness != copyHolder_) {
        copyHolder_ = *witness;
        copied_ = 0;
        copySent_ = 0;
    }
    const bool isNew = outbox_.lastSequence() > copySent_ && context_.now() >= nextNewCopy_;
    const bool retryDue = copied_ < outbox_.lastSequence() && context_.now() >= nextCopy_;
    if (!isNew && !retryDue) {
        return;
    }
    const ledger::Batch batch = outbox_.copyAfter(retryDue ? copied_ : std::max(copied_, copySent_));
    copySent_ = outbox_.lastSequence();
    if (batch.items.empty()) {
        return;
    }
    nextCopy_ = context_.now() + copyRetryPeriod;
    nextNewCopy_ = context_.now() + context_.settings().ledger.copyPeriod;
    sendToShard(copyHolder_, CopyItems { stream_, ledger::encode(batch) });
}

void ShardLedger::onCopyItems(Incarnation from, const CopyItems& message)
{
    std::string reason;
    const auto batch = ledger::decodeBatch(message.batch, reason);
    if (!batch || batch->items.empty() || batch->items.front().origin != from) {
        return;
    }
    // An acknowledgement lets the holder tell its caller of a bill. After the suspicion this witness may close the
    // holder's grants, and the bill would be refused: so none is given any more.
    if (suspected_.contains(from)) {
        return;
    }
    if (const auto sequence = copies_.keep(batch->items)) {
        sendToShard(from, ItemsCopied { stream_, *sequence });
    }
}

void ShardLedger::onItemsCopied(Incarnation from, const ItemsCopied& message)
{
    if (from == copyHolder_ && message.sequence <= outbox_.lastSequence()) {
        copied_ = std::max(copied_, message.sequence);
    }
}

void ShardLedger::appendForTheDead()
{
    for (const Incarnation author : suspected_) {
        const ledger::Batch batch = copies_.batchOf(author);
        if (batch.items.empty()) {
            continue;
        }
        context_.log(Line("ledger")
                         .with("change", "appended_for_peer")
                         .with("peer", toHex(author.value()))
                         .with("items", static_cast<std::int64_t>(batch.items.size())));
        appendRecord(ledger::encode(batch));
    }
}

void ShardLedger::closeForTheDead()
{
    // What goes wrong otherwise: a router that passes events on as they come has given its callers tokens whose bills
    // nobody else knows of. Closing frees them, and the account gets them twice. One notices only once the budget is
    // used up: more was delivered than bought. So up to its ceiling a dead router's grant stays spent.
    if (!context_.settings().answersWaitForBills()) {
        return;
    }
    const Instant now = context_.now();
    for (const GrantId& grant : witness_.sealed()) {
        const Instant due = closeAt_.try_emplace(grant, now + closeGrace).first->second;
        const bool copiesLanded = copies_.batchOf(grant.holder).items.empty();
        const bool inUse = holder_.borrowsFrom(grant);
        if (now < due || !copiesLanded || inUse || !outbox_.empty() || !closing_.insert(grant).second) {
            continue;
        }
        // What goes wrong without this: a dead holder never closes its grants, and what it had not spent of its
        // ceilings stays out of reach for good. One notices by refusals while a budget has money. It is safe because a
        // holder tells no caller of a bill that neither has landed nor is copied here, and every copy has landed.
        context_.log(Line("seal").with("grant", toText(grant)).with("state", "closing"));
        append(ledger::CloseGrant { grant });
    }
}

BillState ShardLedger::billState(std::uint64_t sequence, const GrantId& grantId, bool alone) const
{
    if (refused_.contains(sequence)) {
        return BillState::Refused;
    }
    if (sequence <= fold_.lastSequence(context_.self())) {
        return BillState::Secured;
    }
    const auto grant = fold_.grant(grantId);
    const Incarnation witness = grant ? grant->witness : Incarnation {};
    const bool copied = sequence <= copied_;
    if (copied && (alone || (grant && witness == copyHolder_))) {
        return BillState::Secured;
    }
    return alone ? BillState::Alone : BillState::Pending;
}

bool ShardLedger::answersAlone(const ledger::Reservation& reservation) const
{
    const auto grant = fold_.grant(reservation.grant);
    const bool ownWitness = grant && grant->witness == context_.self();
    return ownWitness || holder_.answersAlone(reservation);
}

void ShardLedger::askPeer()
{
    if (health_.reachable(context_.now()) || context_.now() < nextReadAsk_) {
        return;
    }
    nextReadAsk_ = context_.now() + readAskPeriod;
    if (const auto peer = peers_.bestReader()) {
        peers_.send(*peer, ReadAsk { stream_, fold_.nextOffset() });
    }
}

std::vector<Incarnation> ShardLedger::witnessed() const
{
    std::set<Incarnation> holders;
    for (const auto& grant : fold_.openGrants()) {
        if (grant.witness == context_.self() && grant.id.holder != context_.self()) {
            holders.insert(grant.id.holder);
        }
    }
    return { holders.begin(), holders.end() };
}

void ShardLedger::sendToShard(Incarnation to, PeerMessage message) { peers_.send(to, std::move(message), shard_); }

void ShardLedger::carryOut(ledger::MoneyActions& actions)
{
    // Handling one action may append more, so each is taken by index.
    for (std::size_t index = 0; index < actions.size(); ++index) {
        std::visit(
            internal::Overloaded {
                [this](ledger::AppendEntry& action) { append(std::move(action.entry)); },
                [this](ledger::SendRaise& action) { sendToShard(action.to, RaiseCeilings { action.ceilings }); },
                [this](
                    ledger::SendCeilingsAcked& action) { sendToShard(action.to, CeilingsAcked { action.ceilings }); },
                [this](
                    ledger::SendCeilingsRefused& action) { sendToShard(action.to, CeilingsRefused { action.grants }); },
                [this](ledger::SendLoanAsk& action) {
                    sendToShard(action.to, LoanAsk { action.loan, action.budget, action.amount });
                },
                [this](ledger::SendLoanGiven& action) {
                    context_.log(Line("loan")
                                     .with("budget", toText(action.budget))
                                     .with("to", toHex(action.to.value()))
                                     .with("tokens", action.amount.value()));
                    sendToShard(
                        action.to, LoanGiven { action.loan, action.budget, action.grant, action.amount, action.alone });
                },
                [this](ledger::SendLoanDenied& action) {
                    sendToShard(action.to, LoanDenied { action.loan, action.budget, action.free });
                },
                [this](ledger::SendLoanDone& action) {
                    sendToShard(action.to, LoanDone { action.loan, action.billed });
                },
                [this](ledger::SendLoanDoneAcked& action) { sendToShard(action.to, LoanDoneAcked { action.loan }); },
                [this](ledger::MoneyArrived& action) { listener_.onMoneyArrived(action.budget); },
                [this](ledger::Retired& action) { listener_.onRetired(action.reason); },
            },
            actions[index]);
    }
}

} // namespace swiftlift::node
