#include "peer_link.h"

#include "http_connection.h"
#include "peer_codec.h"
#include "savorylb/clock.h"
#include "savorylb/metrics.h"

#include <set>

namespace savorylb {
namespace {

/// Reports sent in one round; keeps the cost of a VM bounded in a large fleet.
constexpr std::size_t MaxReports = 24;

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
  std::string text = writeReport(makeReport(State, monoNow()));
  std::set<std::string> addresses;
  for (const auto &[vm, entry] : State.Fleet.Registered)
    addresses.insert(entry.PeerAddress);
  for (const auto &[vm, peer] : State.Fleet.Peers)
    if (monoNow() - peer.HeardAt < DemandHeldFor)
      addresses.insert(peer.Report.Vm.PeerAddress);
  std::vector<std::string> order(addresses.begin(), addresses.end());
  std::size_t n = std::min(order.size(), MaxReports);
  for (std::size_t i = 0; i < n; ++i) {
    boost::system::error_code ec;
    Socket.send_to(asio::buffer(text),
                   udpEndpoint(order[(Next + i) % order.size()]), 0, ec);
    if (ec)
      countEvent("peer_report_not_sent"); // The next round sends it again.
  }
  Next += n;
}

void PeerLink::receive() {
  Socket.async_receive_from(
      asio::buffer(Buffer), Sender,
      [this](const boost::system::error_code &ec, std::size_t n) {
        if (ec == asio::error::operation_aborted)
          return;
        auto report = ec ? Result<PeerReport>(
                               failure(ErrorCode::Unavailable, ec.message()))
                         : readReport(std::string(Buffer.data(), n));
        if (report)
          adoptReport(State, report.value(), monoNow());
        else
          countEvent("peer_report_rejected");
        receive();
      });
}

} // namespace savorylb
