#pragma once

namespace swiftlift::ledger {

struct Batch;
struct Item;

class Fold;
class Holder;
class HoldingPolicy;
class Witness;

} // namespace swiftlift::ledger
