#ifndef SAVORYLB_ZONE_DOCUMENT_H
#define SAVORYLB_ZONE_DOCUMENT_H

#include "savorylb/error.h"
#include "savorylb/ids.h"
#include "savorylb/units.h"
#include "savorylb/zone_member.h"

#include <map>
#include <string>
#include <vector>

namespace savorylb {

/// Number of ledger partitions of each zone.
constexpr int PartitionCount = 16;

/// The owner map of one availability zone, kept in the store.
struct ZoneDocument {
  Revision Rev;
  ZoneId Zone;
  /// The zone's share of the fleet's rates. The shares of its members add up to
  /// at most this.
  Ppm RateShare;
  std::map<VmId, ZoneMember> Members;
  std::map<TargetId, VmId> Targets;
  /// Owner of each ledger partition; empty when it has none.
  std::vector<VmId> Partitions;
  /// Revision since which a partition's ledger has been incomplete, 0 when it
  /// is complete. Parallel to Partitions.
  std::vector<std::int64_t> QuarantinedAt;
  /// The VM that wrote this revision, so that it recognizes its own write when
  /// the store's response was lost.
  VmId Writer;
  Incarnation WriterIncarnation;
};

/// \returns the document as JSON.
std::string formatZoneDocument(const ZoneDocument &doc);

/// Parses a document written by formatZoneDocument().
/// \returns the document, or a Malformed error that says what is wrong.
Result<ZoneDocument> parseZoneDocument(const std::string &text);

/// Makes the document of a zone without members.
/// \param rateShare the zone's share of the fleet's rates.
ZoneDocument makeZoneDocument(const ZoneId &zone, Ppm rateShare);

} // namespace savorylb

#endif // SAVORYLB_ZONE_DOCUMENT_H
