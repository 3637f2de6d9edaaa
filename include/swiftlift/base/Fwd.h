#pragma once

namespace swiftlift {

template <typename Tag, typename Value> class StrongType;

struct BudgetRef;
struct ContentDigest;
struct GrantId;
struct RequestKey;
class Tokens;

} // namespace swiftlift
