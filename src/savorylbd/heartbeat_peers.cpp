#include "heartbeat_peers.h"

#include "daemon.h"
#include "savorylb/clock.h"

#include <algorithm>
#include <map>

namespace savorylb {
namespace {

/// Peers that get a heartbeat each second. Others hear of this VM through
/// them, so that the traffic of one VM does not grow with the fleet.
constexpr std::size_t HeartbeatFanout = 4;
/// In a fleet above `SmallFleet` fewer peers get a heartbeat, since each
/// message passes on more briefs: one peer of the own zone and one of another.
constexpr std::size_t LargeFleetFanout = 2;
constexpr std::size_t SmallFleet = 16;

void addPeer(std::map<std::string, HeartbeatPeer> &peers, const VmId &vm,
             const std::string &endpoint) {
  HeartbeatPeer &peer = peers[endpoint];
  peer.Address = {vm, endpoint};
}

using Peers = std::vector<HeartbeatPeer>;

/// Moves the first peer that fits to a position, if there is one.
template <typename Predicate>
void moveTo(Peers &peers, std::size_t position, Predicate fits) {
  auto from = peers.begin() + static_cast<std::ptrdiff_t>(position);
  auto it = std::find_if(from, peers.end(), fits);
  if (it != peers.end())
    std::iter_swap(from, it);
}

} // namespace

std::vector<HeartbeatPeer> knownPeers(Daemon &daemon) {
  std::map<std::string, HeartbeatPeer> peers;
  for (const std::string &it : daemon.Conf.Seeds)
    addPeer(peers, VmId(), it);
  MonoTime now = monoNow();
  std::lock_guard<std::mutex> guard(daemon.Peers.Lock);
  for (const auto &[name, endpoint] : daemon.Peers.ListedEndpoints)
    addPeer(peers, name, endpoint);
  for (const auto &[name, view] : daemon.Peers.Vms) {
    addPeer(peers, name, view.PeerEndpoint);
    HeartbeatPeer &peer = peers[view.PeerEndpoint];
    peer.OwnZone = view.Zone == daemon.Conf.Zone;
    peer.Unreachable = view.RetryAt > now;
  }
  peers.erase(ownPeerEndpoint(daemon));
  Peers result;
  result.reserve(peers.size());
  for (auto &[endpoint, peer] : peers)
    result.push_back(std::move(peer));
  return result;
}

void chooseHeartbeatPeers(Peers &peers) {
  std::size_t fanout =
      peers.size() < SmallFleet ? HeartbeatFanout : LargeFleetFanout;
  if (peers.size() <= fanout)
    return;
  auto reachable = [](const HeartbeatPeer &it) { return !it.Unreachable; };
  std::stable_partition(peers.begin(), peers.end(), reachable);
  // VMs of a zone that is cut off hear of each other only directly, and those
  // not heard of for `VmSilenceLimit` get no requests.
  moveTo(peers, 0,
         [](const HeartbeatPeer &it) { return it.OwnZone && !it.Unreachable; });
  if (fanout == LargeFleetFanout)
    moveTo(peers, 1, [](const HeartbeatPeer &it) {
      return !it.OwnZone && !it.Unreachable;
    });
  peers.resize(fanout);
}

} // namespace savorylb
