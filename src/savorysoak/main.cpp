#include "soak_run.h"

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

int main(int argc, char **argv) {
  CLI::App app("soak test of savorylb's VM daemon with fault injection");
  savorylb::soak::SoakOptions options;
  int seeds = 1;
  options.Folder = std::filesystem::temp_directory_path() / "savorysoak";
  app.add_option("--seed", options.Seed, "first seed");
  app.add_option("--seeds", seeds, "number of seeds, one after the other");
  app.add_option("--seconds", options.Seconds, "duration of fault injection");
  app.add_option("--vms", options.Vms, "number of daemons");
  app.add_option("--targets", options.Targets, "targets of each service");
  app.add_option("--rate", options.Rate, "requests a second over all daemons");
  app.add_option("--program", options.Program, "path of the daemon")
      ->required();
  app.add_option("--folder", options.Folder, "folder for settings and logs");
  app.add_option("--net", options.Net, "addresses are 127.0.NET.x");
  CLI11_PARSE(app, argc, argv);
  int failed = 0;
  std::string folder = options.Folder;
  for (int i = 0; i < seeds; ++i, ++options.Seed) {
    options.Folder = folder + "/seed-" + std::to_string(options.Seed);
    std::filesystem::create_directories(options.Folder);
    savorylb::soak::SoakReport report = savorylb::soak::runSoak(options);
    std::cout << "seed " << options.Seed << ": " << report.Sent << " sent, "
              << report.Served << " served, " << report.Refused << " refused, "
              << report.Unknown << " unknown, " << report.Kept
              << " on kept connections, " << report.AtIdleTimeout
              << " at the idle timeout, " << report.Excused
              << " lost beside disruptions, " << report.UsageWindows
              << " usage windows, " << report.Faults << " faults, "
              << report.Violations.size() << " violations\n";
    for (const std::string &it : report.Violations)
      std::cout << "  " << it << "\n";
    std::cout.flush();
    failed += !report.Violations.empty();
  }
  std::cout << "logs in " << folder << "\n";
  std::cout << seeds - failed << " passed, " << failed << " failed\n";
  return failed ? 1 : 0;
}
