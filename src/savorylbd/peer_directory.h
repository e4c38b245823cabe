#ifndef SAVORYLB_SAVORYLBD_PEER_DIRECTORY_H
#define SAVORYLB_SAVORYLBD_PEER_DIRECTORY_H

#include "brief_subject.h"
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

/// States of all VMs that are known to this daemon.
struct PeerDirectory {
  std::mutex Lock;
  std::map<VmId, VmView> Vms;
  /// Copy of the states that requests read without holding the lock, with this
  /// VM's own state added.
  VmViews Current = std::make_shared<std::vector<VmView>>();
  /// Index of the same VMs for lookups.
  std::shared_ptr<const LookupIndex> Index = std::make_shared<LookupIndex>();
  std::map<std::string, std::shared_ptr<PeerStub>> Stubs;
  /// VMs that the platform's list marks as departing.
  std::set<VmId> ListedDeparting;
  /// Peer endpoints in the platform's list.
  std::map<VmId, std::string> ListedEndpoints;
  std::uint64_t ListVersion = 0;
  /// For each document key, a peer that holds a higher revision than this VM.
  std::map<std::string, VmId> NewerRevisionPeers;
  /// VMs by the brief id of their last full state.
  std::map<std::uint32_t, VmId> VmsByBriefId;
  std::uint32_t OwnBriefId = 0;
  /// Brief ids whose full state is not held, and the endpoint of a peer that
  /// sent such a brief.
  std::map<std::uint32_t, std::string> MissingStates;
  /// Hash of the held revisions, and when it changed.
  std::uint64_t LastRevisionsHash = 0;
  MonoTime RevisionsChangedAt{};
  /// When each VM was last in the platform's list.
  std::map<VmId, MonoTime> LastListed;
};

/// \returns the stub for an endpoint; created on first use.
std::shared_ptr<PeerStub> stubFor(Daemon &daemon, const std::string &endpoint);

/// \returns all known VMs, this one included, as of the last refreshViews().
VmViews knownVms(Daemon &daemon);

/// \returns the index of the known VMs as of the last refreshViews().
std::shared_ptr<const LookupIndex> lookupIndex(Daemon &daemon);

/// Replaces the held state of a VM if the received one is newer.
void mergeView(Daemon &daemon, VmView view);

/// Applies a brief to the held state of its VM.
/// \returns the process that it describes; with an empty name when the full
/// state is not held.
BriefSubject mergeBrief(Daemon &daemon, const peer::VmBrief &brief,
                        MonoTime sentAt);

/// Records that a full state is to be requested from the peer at an endpoint.
void recordMissingState(Daemon &daemon, std::uint32_t id,
                        const std::string &endpoint);

/// \returns whether a VM is known to accept briefs.
bool takesBriefs(Daemon &daemon, const VmId &vm);

/// \returns the VM with a brief id, empty when unknown.
VmId vmByBriefId(Daemon &daemon, std::uint32_t id);

/// \returns the VM with a peer endpoint, empty when unknown.
VmId vmAtEndpoint(Daemon &daemon, const std::string &endpoint);

/// Records the result of a call to a VM. Three consecutive failures open its
/// circuit breaker for 1 s.
void recordCallResult(Daemon &daemon, const VmId &vm, bool reached);

/// Rebuilds the copy and the index that requests read.
void refreshViews(Daemon &daemon);

/// \returns the peer endpoint of a VM, empty when unknown.
std::string peerEndpoint(Daemon &daemon, const VmId &vm);

/// Removes VMs whose state is older than a minute.
void removeSilentVms(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_PEER_DIRECTORY_H
