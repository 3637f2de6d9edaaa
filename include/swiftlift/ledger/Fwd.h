#pragma once

namespace swiftlift::ledger {

struct Batch;
struct Item;

class Fold;
class Holder;
class Witness;

} // namespace swiftlift::ledger
