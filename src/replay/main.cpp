#include "drivers.h"

#include <CLI/CLI.hpp>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <stdexcept>

using namespace savorylb;
using namespace savorylb::replay;

namespace {

using Driver = Figures (*)(const Trace &, DecisionLog &);

Driver driverOf(const std::string &kind) {
  static const std::map<std::string, Driver> drivers{
      {"rates", replayRates},         {"slots", replaySlots},
      {"ownership", replayOwnership}, {"once", replayOnce},
      {"documents", replayDocuments}, {"rollout", replayRollout}};
  auto it = drivers.find(kind);
  return it == drivers.end() ? nullptr : it->second;
}

bool checkOutcome(const Expectation &expected, const Figures &figures) {
  auto it = figures.find(expected.Figure);
  if (it == figures.end()) {
    std::cout << "FAILED " << expected.Figure << ": not measured\n";
    return false;
  }
  bool held = it->second >= expected.Min && it->second <= expected.Max;
  std::cout << (held ? "ok     " : "FAILED ") << expected.Figure << " "
            << it->second << " (";
  if (std::isfinite(expected.Min))
    std::cout << "at least " << expected.Min;
  if (std::isfinite(expected.Max))
    std::cout << (std::isfinite(expected.Min) ? ", " : "") << "at most "
              << expected.Max;
  std::cout << ")\n";
  return held;
}

bool replayFile(const std::string &path, bool printDecisions) {
  std::ifstream in(path);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  Result<Trace> trace =
      in ? parseTrace(text)
         : Result<Trace>(failure(ErrorCode::NotFound, "cannot be read"));
  if (!trace) {
    std::cout << "FAILED " << path << ": " << trace.error().Message << '\n';
    return false;
  }
  Driver driver = driverOf(trace.value().Kind);
  if (driver == nullptr) {
    std::cout << "FAILED " << path << ": unknown kind " << trace.value().Kind
              << '\n';
    return false;
  }
  DecisionLog log;
  log.Print = printDecisions;
  std::cout << trace.value().Name << " (seed " << trace.value().Seed << ")\n";
  bool held = true;
  try {
    Figures figures = driver(trace.value(), log);
    for (const Expectation &it : trace.value().Expected)
      held = checkOutcome(it, figures) && held;
  } catch (const std::exception &e) {
    std::cout << "FAILED " << path << ": " << e.what() << '\n';
    return false;
  }
  std::cout << "decisions " << log.Count << " digest " << std::hex
            << std::setw(16) << std::setfill('0') << log.Digest << std::dec
            << std::setfill(' ') << '\n';
  return held;
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app{"Replays recorded traces against the decision library"};
  std::vector<std::string> files;
  bool printDecisions = false;
  app.add_option("trace", files, "trace files")->required();
  app.add_flag("--decisions", printDecisions, "print each decision");
  CLI11_PARSE(app, argc, argv);
  bool held = true;
  for (const std::string &it : files)
    held = replayFile(it, printDecisions) && held;
  return held ? 0 : 1;
}
