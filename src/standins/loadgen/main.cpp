#include "generator.h"
#include "http_io.h"
#include "load_options.h"
#include "lookup_benchmark.h"
#include "report_table.h"

#include <CLI/CLI.hpp>
#include <Poco/Exception.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>

using namespace savorylb::standin;

namespace {

// An overload test needs a thread for each waiting request.
constexpr int MaxThreads = 800;

void generate(LoadOptions opt) {
  if (opt.RunId.empty())
    opt.RunId =
        std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count());
  opt.Threads = std::min(opt.Threads, opt.MaxInFlight);
  Generator it(opt, readPlan(opt.PlanFile));
  std::ofstream file;
  if (!opt.ReportFile.empty()) {
    file.open(opt.ReportFile);
    if (!file)
      throw Poco::OpenFileException(opt.ReportFile);
  }
  it.run();
  auto summary = it.report(false);
  if (file.is_open())
    file << compactJson(it.report(true)) << '\n';
  std::cout << compactJson(summary) << std::endl;
  std::cerr << reportTable(summary);
}

} // namespace

int main(int argc, char **argv) {
  LoadOptions opt;
  CLI::App app("Generates traffic and reports the outcome of each request");
  app.add_option("--daemon", opt.Daemons, "host:port of a daemon")->required();
  std::string lookups;
  auto *plan = app.add_option("--plan", opt.PlanFile, "file with the streams");
  app.add_option("--lookups", lookups,
                 "only send lookups for this service to the first daemon, "
                 "without pause on --threads connections")
      ->excludes(plan);
  app.add_option("--seconds", opt.Seconds, "duration of the run in seconds")
      ->required()
      ->check(CLI::PositiveNumber);
  app.add_option("--seed", opt.Seed, "seed of arrivals and repeats");
  app.add_option("--report", opt.ReportFile, "file for the full report");
  app.add_option("--max-in-flight", opt.MaxInFlight,
                 "maximum number of requests queued or being performed; "
                 "further ones are skipped")
      ->check(CLI::PositiveNumber);
  app.add_option("--threads", opt.Threads,
                 "maximum number of requests sent at the same time; with "
                 "--lookups, number of connections")
      ->check(CLI::Range(1, MaxThreads));
  app.add_option("--run-id", opt.RunId, "part of all request identities");
  app.add_flag("--no-lookup", opt.NoLookup,
               "use the daemons in order without a lookup");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  if (opt.PlanFile.empty() && lookups.empty()) {
    std::cerr << "loadgen: --plan or --lookups is required" << std::endl;
    return EXIT_FAILURE;
  }
  try {
    if (!lookups.empty())
      std::cout << runLookupBenchmark({opt.Daemons.front(), lookups,
                                       opt.Threads, opt.Seconds, opt.Seed})
                << std::endl;
    else
      generate(opt);
  } catch (const Poco::Exception &e) {
    std::cerr << "loadgen: " << e.displayText() << std::endl;
    return EXIT_FAILURE;
  }
}
