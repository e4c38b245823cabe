#ifndef SAVORYLB_STORE_POSITION_H
#define SAVORYLB_STORE_POSITION_H

#include "savorylb/units.h"

namespace savorylb {

/// Number of times that the store came back from an older copy of itself. The
/// changes after that copy are lost, and their revisions are given out again.
using StoreEra = Quantity<struct StoreEraTag>;

/// A revision of the hosting platform's metadata store. Revisions increase
/// within one era only, so positions are ordered by era first.
struct StorePosition {
  StoreEra Era;
  Revision Number;

  constexpr StorePosition() = default;
  constexpr StorePosition(StoreEra era, Revision number)
      : Era(era), Number(number) {}

  friend constexpr bool operator==(StorePosition a, StorePosition b) {
    return a.Era == b.Era && a.Number == b.Number;
  }
  friend constexpr bool operator!=(StorePosition a, StorePosition b) {
    return !(a == b);
  }
  friend constexpr bool operator<(StorePosition a, StorePosition b) {
    return a.Era == b.Era ? a.Number < b.Number : a.Era < b.Era;
  }
  friend constexpr bool operator>(StorePosition a, StorePosition b) {
    return b < a;
  }
  friend constexpr bool operator<=(StorePosition a, StorePosition b) {
    return !(b < a);
  }
  friend constexpr bool operator>=(StorePosition a, StorePosition b) {
    return !(a < b);
  }
};

} // namespace savorylb

#endif // SAVORYLB_STORE_POSITION_H
