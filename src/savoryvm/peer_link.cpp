#include "peer_link.h"

#include "content_coding.h"
#include "http_connection.h"
#include "peer_codec.h"
#include "savorylb/clock.h"
#include "savorylb/metrics.h"

#include <map>

namespace savorylb {
namespace {

/// Bounds the cost of a round in a large fleet.
constexpr std::size_t MaxReportsPerRound = 24;

/// VMs that receive one report of loads. With more VMs in a zone, each one has
/// more readings of others to go by.
constexpr std::size_t MaxLoadReceivers = 16;
/// Largest inflated datagram.
constexpr std::size_t MaxReportBytes = 1 << 18;
/// First byte of a text in the zlib format; the reports begin with a brace.
constexpr char ZlibStart = 0x78;

/// \returns whether a JSON text, as VMs write it, begins with a member. Tells
///          messages apart without parsing each of them several times.
bool startsWithMember(const std::string &text, const std::string &name) {
  return text.compare(0, name.size() + 3, "{\"" + name + "\"") == 0;
}

/// \returns the zone of a VM, or this VM's zone if the VM is not known.
ZoneId zoneOf(const FleetView &view, const VmId &vm) {
  auto entry = view.Registered.find(vm);
  if (entry != view.Registered.end())
    return entry->second.Zone;
  auto peer = view.Peers.find(vm);
  return peer != view.Peers.end() ? peer->second.Report.Vm.Zone
                                  : view.Self.Zone;
}

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

void PeerLink::sendReports() { sendReports(MaxReportsPerRound); }

void PeerLink::announce() {
  sendReports(State.Fleet.Registered.size() + State.Fleet.Peers.size());
}

/// \param count largest number of VMs to which the report is sent.
void PeerLink::sendReports(std::size_t count) {
  PeerReport report = makePeerReport(State, monoNow());
  if (State.Usage)
    report.Wall = wallNow();
  std::string text = writePeerReport(report);
  if (Compress)
    text = deflateText(text);
  std::map<std::string, ZoneId> zones;
  for (const auto &[vm, entry] : State.Fleet.Registered)
    zones[entry.PeerAddress] = entry.Zone;
  for (const auto &[vm, peer] : State.Fleet.Peers)
    if (monoNow() - peer.ReceivedAt < DemandRetention)
      zones[peer.Report.Vm.PeerAddress] = peer.Report.Vm.Zone;
  std::vector<std::pair<std::string, ZoneId>> order(zones.begin(), zones.end());
  std::size_t n = std::min(order.size(), count);
  for (std::size_t i = 0; i < n; ++i) {
    const auto &[address, zone] = order[(NextPeer + i) % order.size()];
    sendTo(udpEndpoint(address), zone, text);
  }
  NextPeer += n;
}

void PeerLink::sendTo(const asio::ip::udp::endpoint &to, const ZoneId &zone,
                      const std::string &text) {
  if (zone != State.Fleet.Self.Zone)
    recordZoneTraffic(ZoneTraffic::Report, text.size());
  boost::system::error_code ec;
  Socket.send_to(asio::buffer(text), to, 0, ec);
  if (ec)
    incrementCounter(
        "peer_report_not_sent"); // The next round sends a newer one.
}

void PeerLink::sendLoads() {
  LoadReport report =
      makeLoadReport(State.Targets, State.Fleet.Self.Vm, monoNow());
  if (report.Readings.empty())
    return;
  std::vector<VmEntry> receivers;
  for (const VmEntry &it : liveVms(State.Fleet, monoNow()))
    if (it.Zone == State.Fleet.Self.Zone && it.Vm != State.Fleet.Self.Vm)
      receivers.push_back(it);
  std::string text = writeLoadReport(report);
  std::size_t n = std::min(receivers.size(), MaxLoadReceivers);
  for (std::size_t i = 0; i < n; ++i) {
    const VmEntry &it = receivers[(NextLoadReceiver + i) % receivers.size()];
    sendTo(udpEndpoint(it.PeerAddress), it.Zone, text);
  }
  NextLoadReceiver += n;
  incrementCounter("load_reports_sent", static_cast<std::int64_t>(n));
}

const VmEntry *PeerLink::findVm(const VmId &vm) const {
  auto entry = State.Fleet.Registered.find(vm);
  if (entry != State.Fleet.Registered.end())
    return &entry->second;
  auto peer = State.Fleet.Peers.find(vm);
  return peer != State.Fleet.Peers.end() ? &peer->second.Report.Vm : nullptr;
}

bool PeerLink::sendUsage(const VmId &holder, const UsageReport &report) {
  const VmEntry *to = findVm(holder);
  if (!to)
    return false;
  sendTo(udpEndpoint(to->PeerAddress), to->Zone,
         deflateText(writeUsageReport(report)));
  return true;
}

void PeerLink::sendTeamReports() {
  for (const auto &[vm, usages] : takeTeamReports(State, monoNow())) {
    const VmEntry *to = findVm(vm);
    if (to)
      sendTo(udpEndpoint(to->PeerAddress), to->Zone,
             writeTeamMessage({State.Fleet.Self.Vm, usages, {}}));
  }
}

void PeerLink::onBytes(const std::string &bytes) {
  if (bytes.empty() || bytes.front() != ZlibStart) {
    onDatagram(bytes);
    return;
  }
  auto text = inflateText(bytes, MaxReportBytes);
  if (text)
    onDatagram(text.value());
  else
    incrementCounter("peer_report_rejected");
}

void PeerLink::onDatagram(const std::string &text) {
  MonoTime now = monoNow();
  auto message = readTeamMessage(text);
  if (message) {
    if (!message.value().Usages.empty())
      sendTo(Sender, zoneOf(State.Fleet, message.value().Vm),
             writeTeamMessage({State.Fleet.Self.Vm,
                               {},
                               applyTeamReport(State, message.value().Vm,
                                               message.value().Usages, now)}));
    applyTeamGrants(State, message.value().Grants, now);
    return;
  }
  if (startsWithMember(text, "loads")) {
    auto loads = readLoadReport(text);
    if (loads && State.Bounds.SharedLoads)
      applyLoadReport(State.Targets, loads.value(), now);
    incrementCounter(loads ? "load_reports_received" : "peer_report_rejected");
    return;
  }
  if (startsWithMember(text, "usage")) {
    auto usage = readUsageReport(text);
    if (!usage)
      incrementCounter("peer_report_rejected");
    else if (State.Usage)
      applyUsageReport(State.Usage->Collection, usage.value(),
                       newestWindow(fleetTime(State.Usage->Clock, now),
                                    State.Usage->Counts.Length));
    return;
  }
  auto report = readPeerReport(text);
  if (!report) {
    incrementCounter("peer_report_rejected");
    return;
  }
  applyPeerReport(State, report.value(), now);
  if (State.Usage && report.value().Wall)
    recordWallClock(State.Usage->Clock, report.value().Vm.Vm,
                    *report.value().Wall, now);
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
          onBytes(std::string(Buffer.data(), n));
        receive();
      });
}

} // namespace savorylb
