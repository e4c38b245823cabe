// The cases of the review that are scripts. Each starts savoryvm processes
// beside a stand-in store and stand-in instances, and judges one rule by what
// clients, instances and the store have seen.
#include "fleet.h"

#include "http_reader.h"
#include "json_read.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <unistd.h>

namespace review {
namespace {

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CannotRun = 2;
/// A run that takes longer is given up.
constexpr unsigned MaxSeconds = 110;

/// Bounds of the pages for the deployments that the cases resemble.
constexpr Duration DrainTimeout = Millis(2500);
constexpr Duration ContactWindow = Millis(3000);
constexpr Duration GracePeriod = Seconds(6);

const Zone Tema{"tema-a", "tema"};
const Zone Takoradi{"tkd-a", "takoradi"};
const Zone Elmina{"elm-a", "elmina"};

int verdict(Fleet &fleet, bool broken, const std::string &text) {
  fleet.Log.line((broken ? "BROKEN: " : "held: ") + text);
  std::cout << (broken ? "BROKEN: " : "held: ") << text << "\n";
  return broken ? Broken : Held;
}

int cannotRun(Fleet &fleet, const std::string &text) {
  fleet.Log.line("cannot run: " + text);
  std::cout << "cannot run: " << text << "\n";
  return CannotRun;
}

/// Objects that the requests of a route concern.
constexpr int Objects = 27;

/// Sends requests for random objects to all VMs in turn.
struct Traffic {
  Fleet &Target;
  int PerSecond;
  MonoTime Until{};
  int Sent = 0;
  std::map<int, int> Statuses{};
  std::mt19937 Random{std::random_device()()};

  void next() {
    if (monoNow() >= Until)
      return;
    ++Sent;
    ClientRequest request;
    request.Path = "/permit/" + std::to_string(Sent);
    request.Attempt = "a-" + std::to_string(Sent);
    request.Object = std::to_string(Random() % Objects);
    request.Body = "booking " + std::to_string(Sent);
    Vm &vm = *Target.Vms[static_cast<std::size_t>(Sent) % Target.Vms.size()];
    sendRequest(Target, vm.callerAddress(), request,
                [this](const Outcome &it) { ++Statuses[it.Status]; });
    Target.at(Millis(1000 / PerSecond), [this] { next(); });
  }

  void run(Duration span) {
    Until = monoNow() + span;
    next();
  }
  std::string summary() const {
    std::string text = std::to_string(Sent) + " requests;";
    for (const auto &[status, n] : Statuses)
      text += " " + std::to_string(status) + ": " + std::to_string(n);
    return text;
  }
};

/// The route of bookings, whose requests run once at most.
Route bookingRoute() {
  Route route;
  route.Name = "permit-book";
  route.Prefix = "/permit/";
  route.Kind = "unsafe";
  route.Service = "permitsvc";
  route.Affinity = true;
  return route;
}

/// Three VMs in three regions and 18 instances of one service. Runs take 0.4 to
/// 1.4 s.
bool startBookings(Fleet &fleet, const std::vector<std::string> &keys = {},
                   int vmsOfRegion = 1) {
  fleet.Keys.insert(fleet.Keys.end(), keys.begin(), keys.end());
  fleet.Zones = {Tema, Takoradi, Elmina};
  for (const Zone &it : fleet.Zones) {
    for (int i = 0; i < vmsOfRegion; ++i)
      fleet.addVm(it);
    for (int i = 0; i < 6; ++i)
      fleet.addInstance("permitsvc", it, 3, Millis(480)).RunTimeOf =
          [](const std::string &path) {
            std::size_t hash = std::hash<std::string>()(path);
            return Duration(Millis(400 + static_cast<int>(hash % 1000)));
          };
  }
  return fleet.start({bookingRoute()}, SettingsKind::WithRollouts);
}

/// Requests that reached an instance later than drainTimeout after the store
/// accepted the removal of its entry.
int lateArrivals(const Fleet &fleet, const Instance &left) {
  int n = 0;
  for (const Arrival &it : fleet.Arrivals)
    n += it.Instance == left.options().Id && it.Ran && left.LeftAt &&
         it.At > *left.LeftAt + DrainTimeout;
  return n;
}

/// Runs that ended with the instance, so that their clients got no result.
int brokenOffRuns(const Fleet &fleet, const Instance &left) {
  int n = 0;
  for (const Arrival &it : fleet.Arrivals)
    n += it.Instance == left.options().Id && it.Ran && !it.EndedAt;
  return n;
}

/// Two instances at a time leave without reporting `draining`: their entries
/// are removed, and they go on serving for some seconds before they end.
struct Departures {
  Fleet &Target;
  std::vector<Instance *> Left{};

  void plan(Duration at, Duration servesFor, std::size_t first,
            std::size_t second) {
    for (std::size_t i : {first, second}) {
      Instance *it = Target.Instances[i].get();
      Left.push_back(it);
      Target.at(at, [it] { it->leave(); });
      Target.at(at + servesFor, [it] { it->end(); });
    }
  }
  int lateArrivals() const {
    int n = 0;
    for (const Instance *it : Left)
      n += review::lateArrivals(Target, *it);
    return n;
  }
  std::string summary() const {
    int broken = 0;
    for (const Instance *it : Left)
      broken += brokenOffRuns(Target, *it);
    return std::to_string(lateArrivals()) +
           " requests reached instances later than 2.5 s after the store had "
           "accepted the removal of their entries; " +
           std::to_string(broken) + " runs were broken off as they ended";
  }
};

/// Four departures of two of the 18 instances each, 6 s apart.
constexpr int Rounds = 4;
constexpr Duration RoundInterval = Seconds(6);
constexpr Duration FirstRound = Seconds(4);
constexpr Duration ServesFor = Seconds(8);
constexpr Duration RunLength = FirstRound + Rounds * RoundInterval;

/// \param then called for each instance that left, after some time.
void planRounds(Departures &departures, Duration after,
                const std::function<void(Instance &)> &then) {
  for (int i = 0; i < Rounds; ++i) {
    Duration at = FirstRound + i * RoundInterval;
    // One instance of one region and one of another.
    std::size_t first = static_cast<std::size_t>(i % 3) * 6 + 1;
    std::size_t second = static_cast<std::size_t>((i + 1) % 3) * 6 + 3;
    if (i >= 3) {
      first += 1;
      second += 1;
    }
    departures.plan(at, ServesFor, first, second);
    if (then)
      for (std::size_t n : {first, second})
        departures.Target.at(at + after, [&departures, n, then] {
          then(*departures.Target.Instances[n]);
        });
  }
}

/// DRAIN: the store cuts watches that wait, as it may.
int removalsBesideCutWatches(Fleet &fleet, bool trouble) {
  if (trouble)
    fleet.Platform.CutWatchesAfter = Millis(1500);
  if (!startBookings(fleet))
    return cannotRun(fleet, "the fleet isn't ready");
  fleet.runFor(ContactWindow);
  Traffic traffic{fleet, 4};
  traffic.run(RunLength);
  Departures departures{fleet};
  planRounds(departures, Duration::zero(), nullptr);
  fleet.runFor(RunLength + Seconds(4));
  return verdict(fleet, departures.lateArrivals() > 0,
                 departures.summary() + "; the store cut " +
                     std::to_string(fleet.Platform.Cuts) +
                     " waiting watches; " + traffic.summary());
}

/// DRAIN: another writer writes an entry that lacks a field.
int incompleteEntryOfAnotherWriter(Fleet &fleet, bool trouble) {
  if (!startBookings(fleet))
    return cannotRun(fleet, "the fleet isn't ready");
  fleet.runFor(ContactWindow);
  Traffic traffic{fleet, 4};
  traffic.run(RunLength);
  Departures departures{fleet};
  planRounds(departures, Millis(2000), [&fleet, trouble](Instance &it) {
    if (!trouble)
      return;
    Json::Value entry = it.entry();
    entry.removeMember("born");
    fleet.Log.line("another writer writes an entry of " + it.options().Id +
                   " that lacks `born`");
    fleet.Platform.put("servers/" + it.options().Id,
                       savorylb::platform::writeJson(entry));
  });
  fleet.runFor(RunLength + Seconds(4));
  return verdict(fleet, departures.lateArrivals() > 0,
                 departures.summary() + "; " + traffic.summary());
}

/// The objects that each VM sends to each instance, by number of the VM.
using ObjectMap = std::map<std::string, std::map<std::size_t, int>>;

/// Sends one request for each object to each VM.
ObjectMap learnObjects(Fleet &fleet) {
  for (int object = 0; object < Objects; ++object) {
    for (std::size_t vm = 0; vm < fleet.Vms.size(); ++vm) {
      ClientRequest request;
      request.Path = "/permit/first";
      request.Attempt = std::to_string(object) + "-" + std::to_string(vm);
      request.Object = std::to_string(object);
      sendRequest(fleet, fleet.Vms[vm]->callerAddress(), request,
                  [](const Outcome &) {});
    }
    fleet.runFor(Millis(400));
  }
  fleet.runFor(Seconds(2));
  ObjectMap objects;
  for (const Arrival &it : fleet.Arrivals) {
    std::size_t dash = it.Attempt.find('-');
    objects[it.Instance][std::stoul(it.Attempt.substr(dash + 1))] =
        std::stoi(it.Attempt);
  }
  return objects;
}

/// DRAIN: open connections to the store go silent, and instances leave.
int removalsBesideSilentConnections(Fleet &fleet, bool trouble) {
  if (!startBookings(fleet, {}, 2))
    return cannotRun(fleet, "the fleet isn't ready");
  fleet.runFor(ContactWindow);
  ObjectMap objects = learnObjects(fleet);
  // Two of the 18 instances leave, those that most VMs send objects to.
  std::vector<Instance *> left;
  for (auto &it : fleet.Instances)
    left.push_back(it.get());
  std::sort(left.begin(), left.end(), [&](Instance *a, Instance *b) {
    return objects[a->options().Id].size() > objects[b->options().Id].size();
  });
  left.resize(2);
  MonoTime silentAt = monoNow();
  if (trouble)
    fleet.Log.line(std::to_string(fleet.StoreLink.silence()) +
                   " open connections to the store go silent");
  fleet.runFor(Millis(300));
  for (Instance *it : left)
    it->leave();
  // In touch again, and bound by the removal.
  Duration wait = silentAt + ContactWindow + Millis(50) - monoNow();
  fleet.runFor(wait);
  int n = 0;
  for (const Instance *it : left)
    for (const auto &[vm, object] : objects[it->options().Id]) {
      ClientRequest request;
      request.Path = "/permit/second";
      request.Attempt = "late-" + std::to_string(++n);
      request.Object = std::to_string(object);
      sendRequest(fleet, fleet.Vms[vm]->callerAddress(), request,
                  [](const Outcome &) {});
      fleet.runFor(Millis(30));
    }
  fleet.runFor(Seconds(3));
  int late = 0;
  for (const Instance *it : left)
    late += lateArrivals(fleet, *it);
  return verdict(fleet, late > 0,
                 std::to_string(late) + " of " + std::to_string(n) +
                     " requests reached instances later than 2.5 s after the "
                     "store had accepted the removal of their entries and 3 s "
                     "after the connections went silent");
}

/// DRAIN: another writer writes entries that cannot be read, each as large as
/// the store allows, and two instances report later that they drain.
int largeEntriesOfAnotherWriter(Fleet &fleet, bool trouble) {
  constexpr std::size_t ValueBytes = 1 << 20;
  constexpr int Entries = 7;
  if (!startBookings(fleet))
    return cannotRun(fleet, "the fleet isn't ready");
  fleet.runFor(ContactWindow);
  Traffic traffic{fleet, 5};
  traffic.run(Seconds(20));
  if (trouble)
    fleet.at(Seconds(2), [&fleet] {
      fleet.Log.line("another writer writes " + std::to_string(Entries) +
                     " entries of 1 MB each that cannot be read");
      for (int i = 0; i < Entries; ++i)
        fleet.Platform.put("servers/x-" + std::to_string(i),
                           std::string(ValueBytes, '#'));
    });
  std::vector<Instance *> left;
  for (std::size_t i : {1, 3, 7, 9, 13, 15}) {
    Instance *it = fleet.Instances[i].get();
    left.push_back(it);
    Duration at = Seconds(5 + static_cast<int>(i) / 6 * 3);
    fleet.at(at, [it] { it->drain(); });
    fleet.at(at + ServesFor, [it] {
      it->end();
      it->removeEntry();
    });
  }
  fleet.runFor(Seconds(24));
  int late = 0;
  int broken = 0;
  for (const Instance *it : left) {
    late += lateArrivals(fleet, *it);
    broken += brokenOffRuns(fleet, *it);
  }
  return verdict(fleet, late > 0,
                 std::to_string(late) +
                     " requests reached instances later than 2.5 s after the "
                     "store had accepted their reports that they drain; " +
                     std::to_string(broken) +
                     " runs were broken off as they ended; " +
                     traffic.summary());
}

/// CONFIG: open connections to the store go silent while keys are changed.
int keysBesideSilentConnections(Fleet &fleet, bool trouble) {
  constexpr Duration ConfigApply = Millis(2500);
  const std::string revoked = "w27cno4tqsl1vbe8dkzj";
  if (!startBookings(fleet, {revoked, "p5k0fyq93mzd7aaxu6rt"}))
    return cannotRun(fleet, "the fleet isn't ready");
  fleet.runFor(ContactWindow + Seconds(2));
  // Two changes in quick succession; the second takes a key away.
  fleet.Keys.pop_back();
  fleet.configure({bookingRoute()});
  fleet.Log.line("the store accepts version " + std::to_string(fleet.Version));
  fleet.runFor(Millis(300));
  MonoTime silentAt = monoNow();
  if (trouble)
    fleet.Log.line(std::to_string(fleet.StoreLink.silence()) +
                   " open connections to the store go silent");
  fleet.runFor(Millis(50));
  fleet.Keys.pop_back();
  fleet.configure({bookingRoute()});
  MonoTime accepted = monoNow();
  fleet.Log.line("the store accepts version " + std::to_string(fleet.Version) +
                 ", which takes a key away");
  fleet.runFor(ConfigApply);
  std::map<std::string, MonoTime> sent;
  int answered = 0;
  for (int i = 0; i < 60; ++i) {
    ClientRequest request;
    request.Attempt = "k-" + std::to_string(i);
    request.Path = "/permit/" + std::to_string(i);
    request.Key = revoked;
    // In touch again, and bound by the new version.
    bool judged =
        monoNow() > std::max(accepted + ConfigApply, silentAt + ContactWindow);
    if (judged)
      sent[request.Attempt] = monoNow();
    Vm &vm = *fleet.Vms[static_cast<std::size_t>(i) % fleet.Vms.size()];
    sendRequest(fleet, vm.callerAddress(), request,
                [&answered, judged](const Outcome &it) {
                  answered += judged && it.Status == 200;
                });
    fleet.runFor(Millis(40));
  }
  fleet.runFor(Seconds(3));
  int ran = 0;
  for (const Arrival &it : fleet.Arrivals)
    ran += it.Ran && sent.count(it.Attempt);
  return verdict(
      fleet, ran > 0,
      std::to_string(ran) + " of " + std::to_string(sent.size()) +
          " requests ran with a key that a version took away, sent later than "
          "2.5 s after the store had accepted it and 3 s after the "
          "connections went silent; " +
          std::to_string(answered) + " were answered 200");
}

/// A client that sends several safe requests on one connection before it has
/// their responses.
struct PipelineClient : std::enable_shared_from_this<PipelineClient> {
  Fleet &Target;
  asio::ip::tcp::socket Socket;
  std::vector<std::string> Attempts;
  std::vector<int> Statuses;
  std::string Buffer;
  std::array<char, 4096> Part{};
  std::optional<savorylb::HttpReader> Reader;
  bool Closed = false;
  MonoTime ClosedAt{};

  explicit PipelineClient(Fleet &fleet) : Target(fleet), Socket(fleet.Io) {}

  bool connect(const std::string &address) {
    boost::system::error_code ec;
    Socket.connect(*savorylb::parseEndpoint(address), ec);
    if (!ec)
      read();
    return !ec;
  }

  void send(const std::string &attempt, const std::string &path) {
    ClientRequest request;
    request.Method = "GET";
    request.Path = path;
    request.Attempt = attempt;
    request.Deadline = Millis(12'000);
    Attempts.push_back(attempt);
    Target.Log.line("client sends GET " + path + ", attempt " + attempt +
                    ", on its connection");
    boost::system::error_code ec;
    asio::write(Socket, asio::buffer(requestText(request)), ec);
  }

  void read() {
    auto self = shared_from_this();
    Socket.async_read_some(
        asio::buffer(Part),
        [self](const boost::system::error_code &ec, std::size_t n) {
          self->Buffer.append(self->Part.data(), n);
          self->parse();
          if (!ec) {
            self->read();
            return;
          }
          self->Closed = true;
          self->ClosedAt = monoNow();
          self->Target.Log.line("the connection ends; " +
                                std::to_string(self->Statuses.size()) + " of " +
                                std::to_string(self->Attempts.size()) +
                                " requests have their answers");
        });
  }

  void parse() {
    while (!Buffer.empty()) {
      if (!Reader)
        Reader.emplace(savorylb::HttpReader::Kind::Response, 65'536, 1 << 20);
      if (Reader->read(Buffer) != savorylb::ReadState::Complete)
        return;
      Statuses.push_back(Reader->message().Status);
      Target.Log.line("client gets " + std::to_string(Statuses.back()) +
                      " for attempt " + Attempts[Statuses.size() - 1]);
      Reader.reset();
    }
  }
};

/// LOST: a planned stop of a machine with clients that send further requests
/// before they have their answers.
int stopBesidePipelines(Fleet &fleet, bool trouble) {
  fleet.Zones = {{"kochi-a", "kochi"}, {"chennai-a", "chennai"}};
  Route route;
  route.Name = "batch-harvest";
  route.Prefix = "/harvest/";
  route.Kind = "safe";
  route.Service = "pettakam";
  route.Timeout = Millis(8000);
  route.Target = Millis(3000);
  route.Priority = 2;
  for (const Zone &it : fleet.Zones) {
    fleet.addVm(it);
    for (int i = 0; i < 3; ++i)
      fleet.addInstance("pettakam", it, 6, Millis(1000)).RunTimeOf =
          [](const std::string &path) {
            bool slow = path.find("/large") != std::string::npos;
            return slow ? Duration(Millis(7000)) : Duration(Millis(1000));
          };
  }
  if (!fleet.start({route}, SettingsKind::WithoutRollouts))
    return cannotRun(fleet, "the fleet isn't ready");
  fleet.runFor(ContactWindow);
  std::vector<std::shared_ptr<PipelineClient>> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(std::make_shared<PipelineClient>(fleet));
    if (!clients.back()->connect(fleet.Vms[0]->callerAddress()))
      return cannotRun(fleet, "no connection");
    std::string name = "c" + std::to_string(i) + "-";
    clients.back()->send(name + "1", "/harvest/large/" + name);
    clients.back()->send(name + "2", "/harvest/small/" + name);
    clients.back()->send(name + "3", "/harvest/small/" + name);
  }
  fleet.runFor(Millis(300));
  MonoTime stoppedAt = monoNow();
  if (trouble) {
    fleet.Log.line(fleet.Vms[0]->Name + " gets SIGTERM");
    fleet.Vms[0]->signal(SIGTERM);
  }
  fleet.runFor(Millis(500));
  // The process reads these as well, but takes none of them.
  for (const auto &it : clients)
    it->send(it->Attempts.front().substr(0, 3) + "4", "/harvest/small/late");
  fleet.runFor(Millis(8500));
  // An instance at work in the last sixth of the grace period excuses the cut
  // of its own request only.
  MonoTime lastSixth = stoppedAt + GracePeriod * 5 / 6;
  int lost = 0;
  for (const auto &client : clients)
    for (std::size_t i = client->Statuses.size(); i < client->Attempts.size();
         ++i)
      for (const Arrival &it : fleet.Arrivals)
        if (client->Closed && it.Attempt == client->Attempts[i] && it.Ran &&
            it.EndedAt && *it.EndedAt < lastSixth) {
          ++lost;
          fleet.Log.line("attempt " + it.Attempt + " was run by " +
                         it.Instance + ", which answered 200 at " +
                         std::to_string(fleet.Log.seconds(*it.EndedAt)) +
                         " s; its client got no answer");
        }
  std::size_t unanswered = 0;
  for (const auto &client : clients) {
    unanswered += client->Attempts.size() - client->Statuses.size();
    boost::system::error_code ignored;
    client->Socket.close(ignored);
  }
  fleet.runFor(Millis(50));
  return verdict(fleet, lost > 0,
                 std::to_string(lost) +
                     " requests that instances had answered with 200 seconds "
                     "before the machine cut the connections have no answer; "
                     "without an answer in all: " +
                     std::to_string(unanswered));
}

/// \returns a number of loopback addresses that no process uses.
int freeNet() {
  std::random_device random;
  asio::io_context io;
  int net = 0;
  bool free = false;
  for (int i = 0; i < 50 && !free; ++i) {
    net = static_cast<int>(random() % 250);
    free = true;
    for (const char *it : {".1:8682", ".11:8686", ".101:8601"}) {
      asio::ip::tcp::acceptor probe(io);
      boost::system::error_code ec;
      probe.open(asio::ip::tcp::v4(), ec);
      probe.set_option(asio::socket_base::reuse_address(true), ec);
      probe.bind(*savorylb::parseEndpoint("127.77." + std::to_string(net) + it),
                 ec);
      free = free && !ec;
    }
  }
  return net;
}

} // namespace
} // namespace review

int main(int argc, char **argv) {
  using Case = int (*)(review::Fleet &, bool);
  const std::map<std::string, Case> cases = {
      {"stop-beside-pipelines", review::stopBesidePipelines},
      {"removals-beside-cut-watches", review::removalsBesideCutWatches},
      {"large-entries", review::largeEntriesOfAnotherWriter},
      {"keys-beside-silent-connections", review::keysBesideSilentConnections},
      {"removals-beside-silent-connections",
       review::removalsBesideSilentConnections},
      {"incomplete-entry", review::incompleteEntryOfAnotherWriter},
  };
  if (argc != 4 || !cases.count(argv[1])) {
    std::cerr << "usage: review-fleet CASE PROGRAM FOLDER\n";
    return review::CannotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  for (int it : {SIGTERM, SIGINT, SIGALRM})
    std::signal(it, [](int) { review::killAllAndEnd(review::CannotRun); });
  alarm(review::MaxSeconds);
  const char *text = std::getenv("TROUBLE");
  bool trouble = !text || std::string(text) != "0";
  review::Fleet fleet(argv[3], argv[2], review::freeNet());
  fleet.Log.line(std::string(argv[1]) +
                 (trouble ? "" : ", without the disruption"));
  int result = cases.at(argv[1])(fleet, trouble);
  for (auto &it : fleet.Vms)
    if (!it->running() && it->Status != 0) {
      std::cout << it->Name << " ended by itself with wait status "
                << it->Status << "\n";
      fleet.Log.line(it->Name + " ended by itself with wait status " +
                     std::to_string(it->Status));
    }
  return result;
}
