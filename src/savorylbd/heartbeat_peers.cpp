#include "heartbeat_peers.h"

#include "daemon.h"
#include "savorylb/clock.h"

#include <algorithm>
#include <map>

namespace savorylb {
namespace {

/// Peers that are sent a heartbeat each second in a fleet of up to
/// SmallFleetSize VMs. Other peers receive this VM's state through them, so
/// that the traffic of one VM does not grow with the fleet.
constexpr std::size_t HeartbeatFanout = 4;
/// In a fleet of more than SmallFleetSize VMs, fewer peers are sent a
/// heartbeat, since each message relays more briefs: one in the own zone and
/// one elsewhere.
constexpr std::size_t LargeFleetFanout = 2;
/// Largest fleet, in VMs including this one, in which heartbeats go to
/// HeartbeatFanout peers; the same as in heartbeat_fill.cpp.
constexpr std::size_t SmallFleetSize = 16;

void addPeer(std::map<std::string, HeartbeatPeer> &peers, const VmId &vm,
             const std::string &endpoint) {
  HeartbeatPeer &peer = peers[endpoint];
  peer.Address = {vm, endpoint};
}

using Peers = std::vector<HeartbeatPeer>;

/// Swaps the first matching peer at or after a position to that position.
template <typename Predicate>
void moveFirstMatch(Peers &peers, std::size_t position, Predicate matches) {
  auto from = peers.begin() + static_cast<std::ptrdiff_t>(position);
  auto it = std::find_if(from, peers.end(), matches);
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
      peers.size() < SmallFleetSize ? HeartbeatFanout : LargeFleetFanout;
  if (peers.size() <= fanout)
    return;
  auto reachable = [](const HeartbeatPeer &it) { return !it.Unreachable; };
  std::stable_partition(peers.begin(), peers.end(), reachable);
  // VMs of a zone that is cut off receive each other's state only directly, and
  // a VM that was silent for VmSilenceLimit is sent no requests.
  moveFirstMatch(peers, 0, [](const HeartbeatPeer &it) {
    return it.OwnZone && !it.Unreachable;
  });
  if (fanout == LargeFleetFanout)
    moveFirstMatch(peers, 1, [](const HeartbeatPeer &it) {
      return !it.OwnZone && !it.Unreachable;
    });
  peers.resize(fanout);
}

} // namespace savorylb
