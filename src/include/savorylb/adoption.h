#ifndef SAVORYLB_ADOPTION_H
#define SAVORYLB_ADOPTION_H

namespace savorylb {

/// How to handle a document received from the store or a peer.
enum class Adoption {
  /// Newer than the local copy: replace the local copy.
  Adopt,
  /// Same revision and content: nothing to do.
  Same,
  /// Older than the local copy, from a stale read or a lagging peer: ignore it.
  Ignore,
  /// The store itself has an older revision: write the local copy back.
  Repair,
  /// Same revision with different content: keep the local copy and report it.
  Diverged,
};

} // namespace savorylb

#endif // SAVORYLB_ADOPTION_H
