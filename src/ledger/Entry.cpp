#include "swiftlift/ledger/Entry.h"

namespace swiftlift::ledger {

namespace {

    struct EntryKind {
        const char* operator()(const OpenAccount&) const noexcept { return "open_account"; }
        const char* operator()(const CloseAccount&) const noexcept { return "close_account"; }
        const char* operator()(const TopUp&) const noexcept { return "top_up"; }
        const char* operator()(const Fund&) const noexcept { return "fund"; }
        const char* operator()(const Draw&) const noexcept { return "draw"; }
        const char* operator()(const Return&) const noexcept { return "return"; }
        const char* operator()(const CloseGrant&) const noexcept { return "close_grant"; }
        const char* operator()(const ChangeWitness&) const noexcept { return "change_witness"; }
        const char* operator()(const Seal&) const noexcept { return "seal"; }
        const char* operator()(const Bill&) const noexcept { return "bill"; }
        const char* operator()(const Claim&) const noexcept { return "claim"; }
        const char* operator()(const VoidClaim&) const noexcept { return "void_claim"; }
        const char* operator()(const Checkpoint&) const noexcept { return "checkpoint"; }
        const char* operator()(const WriteOff&) const noexcept { return "write_off"; }
    };

    template <typename Value>
    concept RefersToGrant = requires(const Value& entry)
    {
        GrantId { entry.grant };
    };

} // namespace

const char* kindOf(const Entry& entry) noexcept { return std::visit(EntryKind {}, entry); }

std::optional<GrantId> grantOf(const Entry& entry) noexcept
{
    return std::visit(
        [](const auto& value) -> std::optional<GrantId> {
            if constexpr (RefersToGrant<std::decay_t<decltype(value)>>) {
                return value.grant;
            } else {
                return std::nullopt;
            }
        },
        entry);
}

} // namespace swiftlift::ledger
