#pragma once

namespace swiftlift::membership {

struct HeartbeatFacts;
struct ListedVm;
struct MembershipActions;
struct MembershipSettings;

class Membership;

} // namespace swiftlift::membership
