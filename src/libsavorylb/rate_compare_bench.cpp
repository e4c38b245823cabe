#include "savorylb/token_bucket.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

// Compares schemes that divide one team's rate among VMs, all on the same
// seeded demand over 60 s. Most requests arrive at one VM, which changes every
// 5 s, and VM 0 dies at 30 s. A refusal is wrongful if a single bucket for the
// whole fleet admits the request.

using namespace savorylb;

namespace {

constexpr std::size_t Vms = 10;
constexpr std::int64_t Rate = 1000;
constexpr std::int64_t Burst = 200;
constexpr double Demand = 900;
constexpr double HotFraction = 0.7;
constexpr MonoTime Length{Seconds(60)};
constexpr MonoTime DeathAt{Seconds(30)};
/// When another VM has taken over the share of the dead one.
constexpr MonoTime TakenOverAt{Seconds(34)};
constexpr Duration OneWay = Duration(1500);
constexpr Duration MaxWait = Millis(50);
constexpr Ppm EqualShare{WholePpm.Value / static_cast<std::int64_t>(Vms)};

struct Arrival {
  MonoTime At;
  std::size_t Vm = 0;
  bool AdmittedByReference = false;
};

std::vector<Arrival> makeArrivals(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<> gap(Demand / 1e6);
  std::uniform_real_distribution<> fraction(0, 1);
  TokenBucket fleet;
  setShare(fleet, Rate, Burst, WholePpm, MonoTime{});
  std::vector<Arrival> arrivals;
  // All buckets fill in the first two seconds.
  double at = 2e6;
  while ((at += gap(random)) < 60e6) {
    Arrival it;
    it.At = MonoTime(Duration(static_cast<std::int64_t>(at)));
    std::size_t hot = static_cast<std::size_t>(at / 5e6) % Vms;
    it.Vm = fraction(random) < HotFraction ? hot : random() % Vms;
    if (it.Vm == 0 && it.At >= DeathAt)
      it.Vm = 1 + random() % (Vms - 1);
    it.AdmittedByReference = takeToken(fleet, it.At);
    arrivals.push_back(it);
  }
  return arrivals;
}

struct Outcome {
  long Wrongful = 0;
  long Admitted = 0;
  long Messages = 0;
  long StoreWrites = 0;
};

/// The buckets of the fleet, with the death and takeover of VM 0 in simulated
/// time.
struct Fleet {
  std::vector<TokenBucket> Buckets{Vms};
  bool Dead = false;
  bool TakenOver = false;

  Fleet() {
    for (TokenBucket &bucket : Buckets)
      setShare(bucket, Rate, Burst, EqualShare, MonoTime{});
  }

  /// Sets a share without a hold: with no token transfers nothing is in
  /// transit.
  void setShareOnly(std::size_t vm, Ppm share, MonoTime now) {
    setShare(Buckets[vm], Rate, Burst, share, now);
    Buckets[vm].Holds.clear();
    Buckets[vm].Held = MicroTokens(0);
  }

  void passTime(MonoTime now) {
    if (now >= DeathAt && !Dead) {
      Dead = true;
      Buckets[0] = TokenBucket();
    }
    if (now >= TakenOverAt && !TakenOver) {
      TakenOver = true;
      setShare(Buckets[1], Rate, Burst, Buckets[1].Share + EqualShare, now);
    }
  }
};

void count(Outcome &outcome, const Arrival &arrival, bool admitted) {
  outcome.Admitted += admitted ? 1 : 0;
  outcome.Wrongful += arrival.AdmittedByReference && !admitted ? 1 : 0;
}

Outcome runStaticShares(const std::vector<Arrival> &arrivals) {
  Outcome outcome;
  Fleet fleet;
  for (const Arrival &it : arrivals) {
    fleet.passTime(it.At);
    count(outcome, it, takeToken(fleet.Buckets[it.Vm], it.At));
  }
  return outcome;
}

/// Once a second, a store write divides the rate in proportion to the demand of
/// the previous second, with a floor of a fifth of an equal share. Shares that
/// grow take effect one store call later.
Outcome runStoreShares(const std::vector<Arrival> &arrivals) {
  Outcome outcome;
  Fleet fleet;
  std::vector<double> seen(Vms);
  std::vector<Ppm> wanted(Vms, EqualShare);
  MonoTime next{Seconds(3)};
  MonoTime growAt = MonoTime::max();
  for (const Arrival &it : arrivals) {
    if (it.At >= growAt) {
      for (std::size_t vm = 0; vm < Vms; ++vm)
        if (fleet.Buckets[vm].Share < wanted[vm])
          fleet.setShareOnly(vm, wanted[vm], growAt);
      growAt = MonoTime::max();
    }
    if (it.At >= next) {
      // The dead VM's share cannot move before its takeover.
      bool blocked = next >= DeathAt && next < TakenOverAt;
      std::size_t first = next >= DeathAt ? 1 : 0;
      double left = blocked ? 1e6 - static_cast<double>(wanted[0].Value) : 1e6;
      double sum = 0;
      for (std::size_t vm = first; vm < Vms; ++vm)
        sum += seen[vm] += Demand / Vms / 5;
      if (first == 1 && !blocked)
        wanted[0] = Ppm(0);
      for (std::size_t vm = first; vm < Vms; ++vm) {
        wanted[vm] = Ppm(static_cast<std::int64_t>(left * seen[vm] / sum));
        if (wanted[vm] < fleet.Buckets[vm].Share)
          fleet.setShareOnly(vm, wanted[vm], next);
      }
      std::fill(seen.begin(), seen.end(), 0);
      growAt = next + Millis(20);
      next += Seconds(1);
      ++outcome.StoreWrites;
    }
    seen[it.Vm] += 1;
    count(outcome, it, takeToken(fleet.Buckets[it.Vm], it.At));
  }
  return outcome;
}

/// One VM holds the whole bucket; each request at another VM costs a message.
Outcome runCentralBucket(const std::vector<Arrival> &arrivals,
                         std::size_t holder) {
  Outcome outcome;
  TokenBucket bucket;
  setShare(bucket, Rate, Burst, WholePpm, MonoTime{});
  for (const Arrival &it : arrivals) {
    bool unavailable = holder == 0 && it.At >= DeathAt && it.At < TakenOverAt;
    outcome.Messages += it.Vm == holder ? 0 : 1;
    count(outcome, it, !unavailable && takeToken(bucket, it.At));
  }
  return outcome;
}

struct Event {
  MonoTime At;
  std::function<void()> Run;
  bool operator>(const Event &other) const { return At > other.At; }
};

/// Token transfers: requests wait for borrowed tokens, and peers are asked in
/// turn.
struct Transfers {
  const std::vector<Arrival> &Arrivals;
  Outcome Result;
  Fleet VmFleet;
  MonoTime Now{};
  std::vector<std::deque<std::size_t>> Waiting{Vms};
  std::vector<bool> Borrowing = std::vector<bool>(Vms);
  std::vector<std::size_t> Peer = std::vector<std::size_t>(Vms);
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;

  explicit Transfers(const std::vector<Arrival> &arrivals)
      : Arrivals(arrivals) {}

  void serve(std::size_t vm) {
    auto &queue = Waiting[vm];
    while (!queue.empty()) {
      const Arrival &it = Arrivals[queue.front()];
      bool late = Now > it.At + MaxWait;
      if (!late && !takeToken(VmFleet.Buckets[vm], Now))
        break;
      count(Result, it, !late);
      queue.pop_front();
    }
    if (!queue.empty() && !Borrowing[vm])
      borrow(vm);
  }

  void borrow(std::size_t vm) {
    Borrowing[vm] = true;
    do
      Peer[vm] = (Peer[vm] + 1) % Vms;
    while (Peer[vm] == vm || (Peer[vm] == 0 && VmFleet.Dead));
    TokenBucket &own = VmFleet.Buckets[vm];
    MicroTokens wanted = std::max(OneToken, own.Capacity - own.Level);
    ++Result.Messages;
    Events.push(
        {Now + OneWay, [this, vm, peer = Peer[vm], wanted, asked = Now] {
           MicroTokens lent = lendTokens(VmFleet.Buckets[peer], wanted, Now);
           std::uint64_t grant = VmFleet.Buckets[peer].LastGrant;
           Events.push(
               {Now + OneWay, [=] { receive(vm, peer, lent, grant, asked); }});
         }});
  }

  void receive(std::size_t vm, std::size_t peer, MicroTokens lent,
               std::uint64_t grant, MonoTime asked) {
    Borrowing[vm] = false;
    depositTokens(VmFleet.Buckets[vm], lent, asked, Now);
    serve(vm);
    // The confirmation travels with the next message to the peer.
    if (lent > MicroTokens(0) && VmFleet.Buckets[vm].Borrowed == MicroTokens(0))
      Events.push({Now + Millis(20), [this, peer, grant] {
                     releaseHold(VmFleet.Buckets[peer], grant, Now);
                   }});
  }

  Outcome run() {
    for (std::size_t i = 0; i < Arrivals.size(); ++i) {
      while (!Events.empty() && Events.top().At <= Arrivals[i].At) {
        Event event = Events.top();
        Events.pop();
        Now = event.At;
        VmFleet.passTime(Now);
        event.Run();
      }
      Now = Arrivals[i].At;
      VmFleet.passTime(Now);
      Waiting[Arrivals[i].Vm].push_back(i);
      serve(Arrivals[i].Vm);
    }
    return Result;
  }
};

template <typename Scheme>
void compare(benchmark::State &state, Scheme scheme) {
  Outcome sum;
  double total = 0;
  for (auto _ : state) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      auto arrivals = makeArrivals(seed);
      Outcome it = scheme(arrivals);
      total += static_cast<double>(arrivals.size());
      sum.Wrongful += it.Wrongful;
      sum.Messages += it.Messages;
      sum.StoreWrites += it.StoreWrites;
    }
  }
  state.counters["wrongful_pct"] =
      100 * static_cast<double>(sum.Wrongful) / total;
  state.counters["messages_per_request"] =
      static_cast<double>(sum.Messages) / total;
  state.counters["store_writes"] = static_cast<double>(sum.StoreWrites) / 5;
}

BENCHMARK_CAPTURE(compare, rates_static_shares, runStaticShares)->Iterations(1);
BENCHMARK_CAPTURE(compare, rates_shares_by_cas, runStoreShares)->Iterations(1);
BENCHMARK_CAPTURE(compare, rates_accountant, [](const auto &arrivals) {
  return runCentralBucket(arrivals, 1);
}) -> Iterations(1);
BENCHMARK_CAPTURE(compare, rates_accountant_dies, [](const auto &arrivals) {
  return runCentralBucket(arrivals, 0);
}) -> Iterations(1);
BENCHMARK_CAPTURE(compare, rates_token_transfers, [](const auto &arrivals) {
  return Transfers(arrivals).run();
}) -> Iterations(1);

} // namespace
