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
    if (cache_.contains(offset)) {
        peers_.send(from, Records { stream_, offset, cache_.recordsFrom(offset, maxPeerAnswerBytes) });
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
                expediteReadOfNewGrants(raise);
                witness_.onRaise(from, raise.ceilings, actions);
            },
            [&](const CeilingsAcked& acked) { holder_.onCeilingsAcked(from, acked.ceilings, now, actions); },
            [&](const CeilingsRefused& refused) { holder_.onCeilingsRefused(from, refused.grants, now, actions); },
            [&](const LoanAsk& ask) { holder_.onLoanAsk(from, ask.loan, ask.budget, ask.amount, now, actions); },
            [&](const LoanGiven& loan) {
                logBorrowed(from, loan);
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

void ShardLedger::logBorrowed(Incarnation lender, const LoanGiven& loan)
{
    context_.log(LogLineBuilder("loan")
                     .with("budget", toText(loan.budget))
                     .with("from", toHex(lender.value()))
                     .with("tokens", loan.amount.value())
                     .with("asked", static_cast<std::int64_t>(std::exchange(lendersAsked_[loan.budget], 0))));
}

// A witness acknowledges only grants that it has read. Without the expedited read the holder could not spend the grant,
// and its callers would wait, until the witness's pause between two reads is over.
void ShardLedger::expediteReadOfNewGrants(const RaiseCeilings& raise)
{
    const bool grantUnread = std::ranges::any_of(
        raise.ceilings, [this](const ledger::Ceiling& ceiling) { return !fold_.grant(ceiling.grant); });
    if (grantUnread) {
        context_.emit(ExpediteRead { stream_ });
    }
}

void ShardLedger::onSuspected(Incarnation peer)
{
    ledger::LedgerActions actions;
    witness_.suspect(peer, actions);
    execute(actions);
    suspected_.insert(peer);
    if (peer == witnessReplica_.replica()) {
        witnessReplica_.setTarget(std::nullopt);
    }
}

void ShardLedger::sendCopies()
{
    sendWitnessCopies();
    sendRemoteCopies();
    noteRemoteReplicas();
}

void ShardLedger::sendWitnessCopies()
{
    const auto witness = peers_.membership().witness();
    if (!witness) {
        return;
    }
    witnessReplica_.setTarget(witness);
    const ledger::Batch batch
        = witnessReplica_.takeDueItems(outbox_, context_.settings().ledger.copyPeriod, context_.now());
    if (!batch.items.empty()) {
        sendToShard(*witness, CopyItems { stream_, ledger::encode(batch), false });
    }
}

void ShardLedger::sendRemoteCopies()
{
    const auto& membership = peers_.membership();
    remoteReplicas_.setTarget(membership.remoteReplica(), membership.secondRemoteReplica());
    for (const auto& [replica, batch] :
        remoteReplicas_.takeDueCopies(outbox_, context_.settings().ledger.copyPeriod, context_.now())) {
        sendToShard(replica, CopyItems { stream_, ledger::encode(batch), true });
    }
}

// While no remote replica responds, a bill is safe only once it is in the log. Where the log is unreachable as well,
// callers get answers whose bills would be lost with this failure domain.
void ShardLedger::noteRemoteReplicas()
{
    std::vector<Incarnation> responsive = remoteReplicas_.responsiveReplicas(context_.now());
    if (responsive == reportedReplicas_) {
        return;
    }
    // Bills were held back for batching because a remote copy would have secured them: append them now.
    urgent_ = urgent_ || (lacksRemoteReplica() && !outbox_.empty());
    context_.log(LogLineBuilder("copies")
                     .with("stream", stream_.value())
                     .with("keepers", toHex(responsive))
                     .with("answers", !responsive.empty())
                     .with("log_in_reach", health_.reachable(context_.now())));
    reportedReplicas_ = std::move(responsive);
}

bool ShardLedger::lacksRemoteReplica() const
{
    return context_.settings().answersWaitForBills() && peers_.membership().knowsRemoteVms()
        && remoteReplicas_.responsiveReplicas(context_.now()).empty();
}

void ShardLedger::onCopyItems(Incarnation from, const CopyItems& message)
{
    std::string reason;
    const auto batch = ledger::decodeBatch(message.batch, reason);
    if (!batch || batch->items.empty() || batch->items.front().origin != from) {
        return;
    }
    // An acknowledgement allows the holder to answer its caller. Once a witness suspects the holder, it may close the
    // holder's grants, and the ledger would refuse the bill: so it acknowledges no more copies. A remote replica closes
    // no grants, so it accepts copies again after a partition has healed.
    if (!message.distant && suspected_.contains(from)) {
        return;
    }
    if (const auto sequence = peerItems_.keep(batch->items, context_.now())) {
        sendToShard(from, ItemsCopied { stream_, *sequence });
    }
}

void ShardLedger::onItemsCopied(Incarnation from, const ItemsCopied& message)
{
    witnessReplica_.onCopied(from, message.sequence, outbox_.lastSequence(), context_.now());
    remoteReplicas_.onCopied(from, message.sequence, outbox_.lastSequence(), context_.now());
}

// The fold applies each item once, so appending an author's items is harmless even if the author is alive, and requires
// no suspicion: the sooner they are appended, the fewer are lost if the replica dies too. An author whose grants are
// sealed here counts as dead, and the grants are closed only once the copies of its items have landed. A router that
// stops would lose its copies, so it appends them all.
bool ShardLedger::shouldAppendFor(Incarnation author) const
{
    const std::optional<Instant> lastContact
        = std::max(peers_.membership().lastHeard(author), peerItems_.lastSent(author));
    if (stopping_ || !lastContact || context_.now() - *lastContact >= authorSilenceLimit) {
        return true;
    }
    const std::vector<GrantId> sealed = witness_.sealed();
    return std::ranges::any_of(sealed, [author](const GrantId& grant) { return grant.holder == author; });
}

void ShardLedger::appendForSilentAuthors()
{
    for (const Incarnation author : peerItems_.authors()) {
        const ledger::Batch batch = shouldAppendFor(author) ? peerItems_.batchOf(author) : ledger::Batch {};
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

void ShardLedger::closeSealedGrants()
{
    // A router that does not hold answers back until their bills are secured may have delivered tokens whose bills died
    // with it. Closing its grant would free these tokens, and the account would get them twice, which shows only when
    // the budget is used up: more was delivered than bought. So a dead router's grant stays spent up to its ceiling.
    if (!context_.settings().answersWaitForBills()) {
        return;
    }
    const Instant now = context_.now();
    for (const GrantId& grant : witness_.sealed()) {
        const Instant due = closeAt_.try_emplace(grant, now + sealedGracePeriod).first->second;
        const bool copiesLanded = peerItems_.batchOf(grant.holder).items.empty();
        const bool inUse = holder_.borrowsFrom(grant);
        if (now < due || !copiesLanded || inUse || !outbox_.empty() || !closing_.insert(grant).second) {
            continue;
        }
        // A dead holder never closes its grants: the unspent tokens below their ceilings would stay unavailable for
        // good, and requests would be refused while the budget has tokens. Closing is safe because a holder answers no
        // caller before the bill has landed or is copied here, and every copy has landed.
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
    const bool copiedToWitness
        = witnessReplica_.hasCopyOf(sequence) && (holderOnly || (grant && witness == witnessReplica_.replica()));
    const bool holderOnlyWithoutWitness = holderOnly && !peers_.membership().witness();
    const bool copiedRemotely = remoteReplicas_.isSecured(sequence, context_.now());
    if ((copiedToWitness || holderOnlyWithoutWitness) && copiedRemotely) {
        return BillState::Secured;
    }
    // Without a remote copy, a failure domain that loses power milliseconds after an answer takes holder and witness
    // with it, and the answer is never billed. While no remote replica responds, a bill in the log is as safe. Only
    // where neither is reachable does the witness's copy suffice, because callers would otherwise wait until a
    // partition heals.
    const bool awaitsLanding = lacksRemoteReplica() && health_.reachable(context_.now()) && waited < maxLandingWait;
    if (awaitsLanding) {
        return BillState::Pending;
    }
    if (copiedToWitness && remoteReplicas_.responsiveReplicas(context_.now()).empty()) {
        return BillState::Secured;
    }
    return holderOnly ? BillState::Alone : BillState::Pending;
}

BillReplicas ShardLedger::replicasOf(std::uint64_t sequence) const
{
    BillReplicas replicas;
    replicas.landed = sequence <= fold_.lastSequence(context_.self());
    replicas.near = witnessReplica_.hasCopyOf(sequence) ? witnessReplica_.replica() : std::nullopt;
    replicas.distant = remoteReplicas_.replicasOf(sequence);
    return replicas;
}

bool ShardLedger::isHolderOnly(const ledger::Reservation& reservation) const
{
    const auto grant = fold_.grant(reservation.grant);
    const bool ownWitness = grant && grant->witness == context_.self();
    return ownWitness || holder_.isHolderOnly(reservation);
}

void ShardLedger::requestRecordsFromPeer()
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
    const std::vector<Incarnation> authors = peerItems_.authors();
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
    // Handling an action may append further actions to the vector, which invalidates iterators: iterate by index.
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
                    ++lendersAsked_[action.budget];
                    context_.count("swiftlift_loans_total", { { "event", "asked" } });
                    sendToShard(action.to, LoanAsk { action.loan, action.budget, action.amount });
                },
                [this](ledger::SendLoanGiven& action) {
                    context_.log(LogLineBuilder("loan")
                                     .with("budget", toText(action.budget))
                                     .with("to", toHex(action.to.value()))
                                     .with("tokens", action.amount.value()));
                    context_.count("swiftlift_loans_total", { { "event", "given" } });
                    context_.count("swiftlift_lent_tokens_total", {}, static_cast<double>(action.amount.value()));
                    sendToShard(action.to,
                        LoanGiven { action.loan, action.budget, action.grant, action.amount, action.holderOnly });
                },
                [this](ledger::SendLoanDenied& action) {
                    context_.count("swiftlift_loans_total", { { "event", "denied" } });
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
