#include "savorylb/version_choice.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstdio>
#include <random>
#include <vector>

using namespace savorylb;

namespace {

constexpr std::uint64_t Seed = 20261204;

// Computes the largest excess over ceil(n * share) in any window of choices.
struct WindowCheck {
  std::vector<int> Chosen{0};
  std::vector<std::int64_t> Budget{0};

  void add(bool isNew, std::int64_t sharePpm) {
    Chosen.push_back(Chosen.back() + (isNew ? 1 : 0));
    Budget.push_back(Budget.back() + sharePpm);
  }
  std::int64_t excess() const {
    // Chosen * 1e6 - Budget may rise by less than 1e6 in any window.
    std::int64_t lowest = 0;
    std::int64_t worst = -1'000'000;
    for (std::size_t i = 0; i < Chosen.size(); ++i) {
      std::int64_t value = Chosen[i] * 1'000'000LL - Budget[i];
      worst = std::max(worst, value - lowest);
      lowest = std::min(lowest, value);
    }
    return worst / 1'000'000;
  }
};

} // namespace

TEST_GROUP(VersionChoice){};

// Guards against a burst of requests to the new version in any window. A burst
// exceeds the cap of the rollout and sends more requests to a bad version
// before it is stopped.
TEST(VersionChoice, NoWindowExceedsTheShare) {
  for (std::int64_t share : {1LL, 3'333LL, 10'000LL, 333'333LL, 980'000LL}) {
    VersionChoice choice;
    WindowCheck check;
    for (int i = 0; i < 20'000; ++i)
      check.add(chooseNewVersion(choice, Ppm(share)), share);
    LONGS_EQUAL(0, check.excess());
    LONGS_EQUAL(20'000 * share / 1'000'000, check.Chosen.back());
  }
}

// Guards against many routes that each send their first request to the new
// version.
TEST(VersionChoice, ManyQuietRoutesShareOneCap) {
  VersionChoice vm;
  std::vector<VersionChoice> routes(5000);
  WindowCheck check;
  for (VersionChoice &route : routes) {
    bool isNew = chooseNewVersion(vm, route, Ppm(500'000));
    CHECK_FALSE(isNew);
    check.add(isNew, 500'000);
  }
  LONGS_EQUAL(0, check.excess());
}

// Guards against exceeding the share after it changes, on the VM and on each
// route, and against a bound that keeps the choices far below the share.
TEST(VersionChoice, CapHoldsOverRoutesAndShareChanges) {
  std::printf("seed %llu\n", static_cast<unsigned long long>(Seed));
  std::mt19937_64 rng(Seed);
  VersionChoice vm;
  std::vector<VersionChoice> routes(10);
  std::vector<WindowCheck> routeChecks(10);
  WindowCheck check;
  for (std::int64_t share : {10'000, 50'000, 0, 200'000, 500'000, 10'000})
    for (int i = 0; i < 5'000; ++i) {
      std::size_t n = rng() % 10;
      bool isNew = chooseNewVersion(vm, routes[n], Ppm(share));
      CHECK_FALSE(isNew && share == 0);
      check.add(isNew, share);
      routeChecks[n].add(isNew, share);
    }
  LONGS_EQUAL(0, check.excess());
  for (const WindowCheck &item : routeChecks)
    LONGS_EQUAL(0, item.excess());
  auto budget = static_cast<double>(check.Budget.back()) / 1e6;
  std::printf("used %.1f%% of the share over ten routes\n",
              100 * check.Chosen.back() / budget);
  CHECK(check.Chosen.back() > budget / 2);
}

// Guards against more than 10 choices of the new version in 1,000 at a share of
// 1%. Random choice, as a control, exceeds this.
TEST(VersionChoice, RandomChoiceExceedsTheShareWhereDiffusionDoesNot) {
  std::mt19937_64 rng(Seed);
  int randomOver = 0;
  int diffusionOver = 0;
  int worst = 0;
  for (int run = 0; run < 1000; ++run) {
    VersionChoice choice;
    int random = 0;
    int diffusion = 0;
    for (int i = 0; i < 1000; ++i) {
      random += rng() % 1'000'000 < 10'000 ? 1 : 0;
      diffusion += chooseNewVersion(choice, Ppm(10'000)) ? 1 : 0;
    }
    randomOver += random > 10 ? 1 : 0;
    diffusionOver += diffusion > 10 ? 1 : 0;
    worst = std::max(worst, random);
  }
  std::printf("seed %llu: 1000 windows of 1000 at 1%%: over the cap random %d "
              "(worst %d), error diffusion %d\n",
              static_cast<unsigned long long>(Seed), randomOver, worst,
              diffusionOver);
  LONGS_EQUAL(0, diffusionOver);
  CHECK(randomOver > 0);
}
