#ifndef SAVORYLB_ADOPTION_H
#define SAVORYLB_ADOPTION_H

namespace savorylb {

/// What to do with a document that was offered.
enum class Adoption {
  /// Newer than the own copy.
  Adopt,
  /// The same revision and content.
  Same,
  /// Older than the own copy: a stale read, a peer that lags.
  Ignore,
  /// The store itself holds an older revision: write the own copy back.
  Repair,
  /// The same revision with other content; kept as it is and reported.
  Diverged,
};

} // namespace savorylb

#endif // SAVORYLB_ADOPTION_H
