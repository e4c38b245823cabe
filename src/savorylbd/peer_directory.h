#ifndef SAVORYLB_SAVORYLBD_PEER_DIRECTORY_H
#define SAVORYLB_SAVORYLBD_PEER_DIRECTORY_H

#include "brief_source.h"
#include "peer.grpc.pb.h"
#include "savorylb/lookup_index.h"
#include "savorylb/vm_view.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace savorylb {

struct Daemon;

using PeerStub = peer::Peer::Stub;
using VmViews = std::shared_ptr<const std::vector<VmView>>;

/// What this daemon knows of all VMs, itself included.
struct PeerDirectory {
  std::mutex Lock;
  std::map<VmId, VmView> Vms;
  /// Copy that requests read without holding the lock.
  VmViews Current = std::make_shared<std::vector<VmView>>();
  /// The same VMs prepared for lookups.
  std::shared_ptr<const LookupIndex> Index = std::make_shared<LookupIndex>();
  std::map<std::string, std::shared_ptr<PeerStub>> Stubs;
  /// VMs that the platform's list calls departing.
  std::set<VmId> ListedDeparting;
  /// Peer endpoints of the platform's list.
  std::map<VmId, std::string> ListedEndpoints;
  std::uint64_t ListVersion = 0;
  /// Peers that hold a higher revision of a document than this VM.
  std::map<std::string, VmId> NewerAt;
  /// VMs by the id of their last whole state.
  std::map<std::uint32_t, VmId> BriefIds;
  std::uint32_t OwnBriefId = 0;
  /// Ids of briefs without a whole state, and the peer that sent one.
  std::map<std::uint32_t, std::string> Wanted;
  /// Hash of the held revisions, and when it changed.
  std::uint64_t LastRevisionsHash = 0;
  MonoTime RevisionsChangedAt{};
  /// When each VM of the platform's list was last listed.
  std::map<VmId, MonoTime> LastListed;
};

/// \returns the stub for an endpoint, made when needed.
std::shared_ptr<PeerStub> stubFor(Daemon &daemon, const std::string &endpoint);

/// \returns all known VMs as of the last tick.
VmViews knownVms(Daemon &daemon);

/// \returns the VMs prepared for lookups as of the last tick.
std::shared_ptr<const LookupIndex> lookupIndex(Daemon &daemon);

/// Takes in what is known of a VM when it is newer than the own knowledge.
void mergeView(Daemon &daemon, VmView view);

/// Takes in a brief.
/// \returns the process; without a name when its whole state is not held.
BriefSource mergeBrief(Daemon &daemon, const peer::VmBrief &brief,
                       MonoTime sentAt);

/// Notes that a whole state is to be asked of the peer at an endpoint.
void wantView(Daemon &daemon, std::uint32_t id, const std::string &endpoint);

/// \returns whether a VM is known to read briefs.
bool takesBriefs(Daemon &daemon, const VmId &vm);

/// \returns the VM of a brief's id, empty when unknown.
VmId vmOfBrief(Daemon &daemon, std::uint32_t id);

/// \returns the VM with a peer endpoint, empty when unknown.
VmId vmAtEndpoint(Daemon &daemon, const std::string &endpoint);

/// Counts a failed call to a VM; three in a row open its circuit for 1 s.
void noteCall(Daemon &daemon, const VmId &vm, bool reached);

/// Rebuilds the copy that requests read, with this VM's own figures.
void refreshViews(Daemon &daemon);

/// \returns the peer endpoint of a VM, empty when unknown.
std::string peerEndpoint(Daemon &daemon, const VmId &vm);

/// Drops VMs not heard of for a minute.
void forgetSilentVms(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_PEER_DIRECTORY_H
