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
    ledger::LedgerActions actions;
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
                holder_.onLoanGiven(
                    from, loan.loan, loan.budget, loan.grant, loan.amount, now, actions, loan.holderOnly);
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
    execute(actions);
}

// A witness answers only for grants that it has read. Read in its own time, the grant would stay unspendable at its
// holder, whose callers wait for it, as long as the witness pauses between two reads.
void ShardLedger::readNewGrantsSoon(const RaiseCeilings& raise)
{
    const bool unread
        = std::ranges::any_of(raise.ceilings, [this](const ledger::Ceiling& one) { return !fold_.grant(one.grant); });
    if (unread) {
        context_.emit(ExpediteRead { stream_ });
    }
}

void ShardLedger::onSuspected(Incarnation peer)
{
    ledger::LedgerActions actions;
    witness_.suspect(peer, actions);
    execute(actions);
    suspected_.insert(peer);
    if (peer == nearCopies_.replica()) {
        nearCopies_.setTarget(std::nullopt);
    }
}

void ShardLedger::sendCopies()
{
    sendNearCopies();
    sendRemoteCopies();
    noteRemoteReplicas();
}

void ShardLedger::sendNearCopies()
{
    const auto witness = peers_.membership().witness();
    if (!witness) {
        return;
    }
    nearCopies_.setTarget(witness);
    const ledger::Batch batch = nearCopies_.due(outbox_, context_.settings().ledger.copyPeriod, context_.now());
    if (!batch.items.empty()) {
        sendToShard(*witness, CopyItems { stream_, ledger::encode(batch), false });
    }
}

void ShardLedger::sendRemoteCopies()
{
    const auto& membership = peers_.membership();
    remoteReplicas_.setTarget(membership.remoteReplica(), membership.secondRemoteReplica());
    for (const auto& [replica, batch] :
        remoteReplicas_.due(outbox_, context_.settings().ledger.copyPeriod, context_.now())) {
        sendToShard(replica, CopyItems { stream_, ledger::encode(batch), true });
    }
}

// While none answers, a bill is safe only once the log has it, and where the log is out of reach too, callers are told
// of bills that would be lost with this failure domain.
void ShardLedger::noteRemoteReplicas()
{
    std::vector<Incarnation> answering = remoteReplicas_.inTouch(context_.now());
    if (answering == reportedReplicas_) {
        return;
    }
    // Bills that waited for company with a copy in view.
    urgent_ = urgent_ || (lacksRemoteReplica() && !outbox_.empty());
    context_.log(LogLineBuilder("copies")
                     .with("stream", stream_.value())
                     .with("keepers", toHex(answering))
                     .with("answers", !answering.empty())
                     .with("log_in_reach", health_.reachable(context_.now())));
    reportedReplicas_ = std::move(answering);
}

bool ShardLedger::lacksRemoteReplica() const
{
    return context_.settings().answersWaitForBills() && peers_.membership().knowsRemoteVms()
        && remoteReplicas_.inTouch(context_.now()).empty();
}

void ShardLedger::onCopyItems(Incarnation from, const CopyItems& message)
{
    std::string reason;
    const auto batch = ledger::decodeBatch(message.batch, reason);
    if (!batch || batch->items.empty() || batch->items.front().origin != from) {
        return;
    }
    // An acknowledgement lets the holder tell its caller of a bill. After the suspicion a witness may close the
    // holder's grants, and the bill would be refused: so it gives none any more. A distant keeper closes nothing, and a
    // suspicion across a partition that has healed must not keep it from its duty.
    if (!message.distant && suspected_.contains(from)) {
        return;
    }
    if (const auto sequence = copies_.keep(batch->items, context_.now())) {
        sendToShard(from, ItemsCopied { stream_, *sequence });
    }
}

void ShardLedger::onItemsCopied(Incarnation from, const ItemsCopied& message)
{
    nearCopies_.onCopied(from, message.sequence, outbox_.lastSequence(), context_.now());
    remoteReplicas_.onCopied(from, message.sequence, outbox_.lastSequence(), context_.now());
}

// The fold takes each item once, so an append in another's name does no harm and needs no suspicion: the sooner it is
// made, the less is lost with a keeper that dies as well. An author whose grants are sealed here is over, and they are
// closed only once its copies have landed. A router that stops takes its copies with it.
bool ShardLedger::appendsFor(Incarnation author) const
{
    const std::optional<Instant> heard = std::max(peers_.membership().lastHeard(author), copies_.lastSent(author));
    if (stopping_ || !heard || context_.now() - *heard >= authorSilence) {
        return true;
    }
    const std::vector<GrantId> sealed = witness_.sealed();
    return std::ranges::any_of(sealed, [author](const GrantId& grant) { return grant.holder == author; });
}

void ShardLedger::appendForTheDead()
{
    for (const Incarnation author : copies_.authors()) {
        const ledger::Batch batch = appendsFor(author) ? copies_.batchOf(author) : ledger::Batch {};
        if (batch.items.empty()) {
            continue;
        }
        context_.log(LogLineBuilder("ledger")
                         .with("change", "appended_for_peer")
                         .with("stream", stream_.value())
                         .with("peer", toHex(author.value()))
                         .with("first", static_cast<std::int64_t>(batch.items.front().sequence))
                         .with("last", static_cast<std::int64_t>(batch.items.back().sequence)));
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
        context_.log(LogLineBuilder("seal").with("grant", toText(grant)).with("state", "closing"));
        append(ledger::CloseGrant { grant });
    }
}

BillState ShardLedger::billState(std::uint64_t sequence, const GrantId& grantId, bool holderOnly, Duration waited) const
{
    if (refused_.contains(sequence)) {
        return BillState::Refused;
    }
    if (sequence <= fold_.lastSequence(context_.self())) {
        return BillState::Secured;
    }
    const auto grant = fold_.grant(grantId);
    const Incarnation witness = grant ? grant->witness : Incarnation {};
    const bool byWitness = nearCopies_.holds(sequence) && (holderOnly || (grant && witness == nearCopies_.replica()));
    const bool withoutWitness = holderOnly && !peers_.membership().witness();
    const bool beyondDomain = remoteReplicas_.secures(sequence, context_.now());
    if ((byWitness || withoutWitness) && beyondDomain) {
        return BillState::Secured;
    }
    // What goes wrong without the copy beyond the domain: it loses its power milliseconds after an answer, holder and
    // witness with it, and nobody is left to bill it. One notices by an answer without a bill. While no keeper there
    // answers, the log does as well. Only where neither is reached the witness's copy has to do: callers would wait for
    // a partition to heal.
    const bool landsSoon = lacksRemoteReplica() && health_.reachable(context_.now()) && waited < landingPatience;
    if (landsSoon) {
        return BillState::Pending;
    }
    if (byWitness && remoteReplicas_.inTouch(context_.now()).empty()) {
        return BillState::Secured;
    }
    return holderOnly ? BillState::Alone : BillState::Pending;
}

BillReplicas ShardLedger::replicasOf(std::uint64_t sequence) const
{
    BillReplicas keepers;
    keepers.landed = sequence <= fold_.lastSequence(context_.self());
    keepers.near = nearCopies_.holds(sequence) ? nearCopies_.replica() : std::nullopt;
    keepers.distant = remoteReplicas_.replicasOf(sequence);
    return keepers;
}

bool ShardLedger::isHolderOnly(const ledger::Reservation& reservation) const
{
    const auto grant = fold_.grant(reservation.grant);
    const bool ownWitness = grant && grant->witness == context_.self();
    return ownWitness || holder_.isHolderOnly(reservation);
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

std::vector<Incarnation> ShardLedger::watched() const
{
    const std::vector<Incarnation> authors = copies_.authors();
    std::set<Incarnation> watched(authors.begin(), authors.end());
    for (const auto& grant : fold_.openGrants()) {
        if (grant.witness == context_.self() && grant.id.holder != context_.self()) {
            watched.insert(grant.id.holder);
        }
    }
    return { watched.begin(), watched.end() };
}

void ShardLedger::sendToShard(Incarnation to, PeerMessage message) { peers_.send(to, std::move(message), shard_); }

void ShardLedger::execute(ledger::LedgerActions& actions)
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
                    context_.log(LogLineBuilder("loan")
                                     .with("budget", toText(action.budget))
                                     .with("to", toHex(action.to.value()))
                                     .with("tokens", action.amount.value()));
                    sendToShard(action.to,
                        LoanGiven { action.loan, action.budget, action.grant, action.amount, action.holderOnly });
                },
                [this](ledger::SendLoanDenied& action) {
                    sendToShard(action.to, LoanDenied { action.loan, action.budget, action.free });
                },
                [this](ledger::SendLoanDone& action) {
                    sendToShard(action.to, LoanDone { action.loan, action.billed });
                },
                [this](ledger::SendLoanDoneAcked& action) { sendToShard(action.to, LoanDoneAcked { action.loan }); },
                [this](ledger::TokensAvailable& action) { listener_.onTokensAvailable(action.budget); },
                [this](ledger::Retired& action) { listener_.onRetired(action.reason); },
            },
            actions[index]);
    }
}

} // namespace swiftlift::node
