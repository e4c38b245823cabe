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

using Driver = Measurements (*)(const Trace &, DecisionLog &);

Driver driverOf(const std::string &kind) {
  static const std::map<std::string, Driver> drivers{
      {"rates", replayRates},         {"slots", replaySlots},
      {"ownership", replayOwnership}, {"once", replayOnce},
      {"documents", replayDocuments}, {"rollout", replayRollout}};
  auto it = drivers.find(kind);
  return it == drivers.end() ? nullptr : it->second;
}

bool checkExpectation(const Expectation &expected,
                      const Measurements &measured) {
  auto it = measured.find(expected.Measurement);
  if (it == measured.end()) {
    std::cout << "FAILED " << expected.Measurement
              << ": not measured by this kind of trace\n";
    return false;
  }
  bool passed = it->second >= expected.Min && it->second <= expected.Max;
  std::cout << (passed ? "ok     " : "FAILED ") << expected.Measurement << " "
            << it->second << " (";
  if (std::isfinite(expected.Min))
    std::cout << "at least " << expected.Min;
  if (std::isfinite(expected.Max))
    std::cout << (std::isfinite(expected.Min) ? ", " : "") << "at most "
              << expected.Max;
  std::cout << ")\n";
  return passed;
}

bool replayFile(const std::string &path, bool printDecisions) {
  std::ifstream in(path);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  Result<Trace> trace =
      in ? parseTrace(text)
         : Result<Trace>(failure(ErrorCode::NotFound, "cannot read the file"));
  if (!trace) {
    std::cout << "FAILED " << path << ": " << trace.error().Message << '\n';
    return false;
  }
  Driver driver = driverOf(trace.value().Kind);
  if (driver == nullptr) {
    std::cout << "FAILED " << path
              << ": unknown kind of trace: " << trace.value().Kind << '\n';
    return false;
  }
  DecisionLog log;
  log.Print = printDecisions;
  std::cout << trace.value().Name << " (seed " << trace.value().Seed << ")\n";
  bool passed = true;
  try {
    Measurements measured = driver(trace.value(), log);
    for (const Expectation &it : trace.value().Expected)
      passed = checkExpectation(it, measured) && passed;
  } catch (const std::exception &e) {
    std::cout << "FAILED " << path << ": " << e.what() << '\n';
    return false;
  }
  std::cout << "decisions " << log.Count << " digest " << std::hex
            << std::setw(16) << std::setfill('0') << log.Digest << std::dec
            << std::setfill(' ') << '\n';
  return passed;
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app{"Simulates the scenarios of trace files with the decision "
               "library on a virtual clock"};
  std::vector<std::string> files;
  bool printDecisions = false;
  app.add_option("trace", files, "trace files")->required();
  app.add_flag("--decisions", printDecisions,
               "print each decision with its time in microseconds");
  CLI11_PARSE(app, argc, argv);
  bool passed = true;
  for (const std::string &it : files)
    passed = replayFile(it, printDecisions) && passed;
  return passed ? 0 : 1;
}
