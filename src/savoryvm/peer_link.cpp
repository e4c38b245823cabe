#include "peer_link.h"

#include "http_connection.h"
#include "peer_codec.h"
#include "savorylb/clock.h"
#include "savorylb/metrics.h"

#include <set>

namespace savorylb {
namespace {

/// Bounds the cost of a round in a large fleet.
constexpr std::size_t MaxReportsPerRound = 24;

asio::ip::udp::endpoint udpEndpoint(const std::string &address) {
  auto tcp = parseEndpoint(address);
  if (!tcp)
    return {};
  return {tcp->address(), tcp->port()};
}

} // namespace

bool PeerLink::open(const std::string &address) {
  boost::system::error_code ec;
  auto endpoint = udpEndpoint(address);
  Socket.open(asio::ip::udp::v4(), ec);
  if (!ec)
    Socket.bind(endpoint, ec);
  if (ec)
    return false;
  Socket.non_blocking(true, ec);
  receive();
  return !ec;
}

void PeerLink::sendReports() {
  std::string text = writePeerReport(makePeerReport(State, monoNow()));
  std::set<std::string> addresses;
  for (const auto &[vm, entry] : State.Fleet.Registered)
    addresses.insert(entry.PeerAddress);
  for (const auto &[vm, peer] : State.Fleet.Peers)
    if (monoNow() - peer.ReceivedAt < DemandRetention)
      addresses.insert(peer.Report.Vm.PeerAddress);
  std::vector<std::string> order(addresses.begin(), addresses.end());
  std::size_t n = std::min(order.size(), MaxReportsPerRound);
  for (std::size_t i = 0; i < n; ++i)
    sendTo(udpEndpoint(order[(NextPeer + i) % order.size()]), text);
  NextPeer += n;
}

void PeerLink::sendTo(const asio::ip::udp::endpoint &to,
                      const std::string &text) {
  boost::system::error_code ec;
  Socket.send_to(asio::buffer(text), to, 0, ec);
  if (ec)
    incrementCounter(
        "peer_report_not_sent"); // The next round sends a newer one.
}

void PeerLink::sendTeamReports() {
  for (const auto &[vm, usages] : takeTeamReports(State, monoNow())) {
    auto peer = State.Fleet.Peers.find(vm);
    auto entry = State.Fleet.Registered.find(vm);
    std::string address;
    if (entry != State.Fleet.Registered.end())
      address = entry->second.PeerAddress;
    else if (peer != State.Fleet.Peers.end())
      address = peer->second.Report.Vm.PeerAddress;
    if (!address.empty())
      sendTo(udpEndpoint(address),
             writeTeamMessage({State.Fleet.Self.Vm, usages, {}}));
  }
}

void PeerLink::onDatagram(const std::string &text) {
  MonoTime now = monoNow();
  auto message = readTeamMessage(text);
  if (message) {
    if (!message.value().Usages.empty())
      sendTo(Sender,
             writeTeamMessage({State.Fleet.Self.Vm,
                               {},
                               applyTeamReport(State, message.value().Vm,
                                               message.value().Usages, now)}));
    applyTeamGrants(State, message.value().Grants, now);
    return;
  }
  auto report = readPeerReport(text);
  if (report)
    applyPeerReport(State, report.value(), now);
  else
    incrementCounter("peer_report_rejected");
}

void PeerLink::receive() {
  Socket.async_receive_from(
      asio::buffer(Buffer), Sender,
      [this](const boost::system::error_code &ec, std::size_t n) {
        if (ec == asio::error::operation_aborted)
          return;
        if (ec)
          incrementCounter("peer_receive_failed"); // Keep receiving.
        else
          onDatagram(std::string(Buffer.data(), n));
        receive();
      });
}

} // namespace savorylb
