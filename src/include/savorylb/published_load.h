#ifndef SAVORYLB_PUBLISHED_LOAD_H
#define SAVORYLB_PUBLISHED_LOAD_H

namespace savorylb {

/// Slots and queue length that one VM published for a service and version.
struct PublishedLoad {
  int FreeSlots = 0;
  int TotalSlots = 0;
  int Queued = 0;
};

} // namespace savorylb

#endif // SAVORYLB_PUBLISHED_LOAD_H
