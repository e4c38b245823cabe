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

/// Ledger partitions of each zone.
constexpr int PartitionCount = 16;

/// The owner map of one availability zone, kept in the store.
struct ZoneDocument {
  Revision Rev;
  ZoneId Zone;
  /// The zone's part of the fleet's rates; members' parts add up to at most it.
  Ppm RatePpm;
  std::map<VmId, ZoneMember> Members;
  std::map<TargetId, VmId> Targets;
  /// Owner of each ledger partition; empty when unowned.
  std::vector<VmId> Partitions;
  /// Revision from which a partition has been without a complete ledger, 0
  /// when complete. Parallel to Partitions.
  std::vector<std::int64_t> QuarantinedAt;
  /// The VM that wrote this revision, to recognise an own write whose answer
  /// was lost.
  VmId Writer;
  Incarnation WriterLife;
};

/// \returns the document as JSON.
std::string formatZoneDocument(const ZoneDocument &doc);

/// \param text JSON from the store.
/// \returns the document, or what is wrong with it.
Result<ZoneDocument> parseZoneDocument(const std::string &text);

/// \returns an empty document for a zone with its part of the rates.
ZoneDocument makeZoneDocument(const ZoneId &zone, Ppm rate);

} // namespace savorylb

#endif // SAVORYLB_ZONE_DOCUMENT_H
