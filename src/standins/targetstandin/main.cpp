#include "fleet.h"
#include "http_handler.h"

#include <CLI/CLI.hpp>
#include <Poco/Exception.h>

#include <cstdlib>
#include <iostream>

using namespace savorylb::standin;

namespace {

// Stack size of a thread; each open connection occupies one.
constexpr int StackBytes = 256 * 1024;

struct Options {
  std::string Host = "127.0.0.1";
  std::string List;
  std::vector<std::string> Names;
  TargetSpec SingleTarget;
  int ControlPort = 0;
  double ServiceMs = 10;
  std::string Distribution = "exponential";
  std::uint64_t Seed = 1;
  std::vector<std::string> ForbiddenValues;
  int MaxConnections = 4000;
};

void serve(const Options &opt) {
  Fleet fleet;
  ServiceTime time;
  time.MeanMicros = static_cast<std::int64_t>(opt.ServiceMs * 1000);
  time.Exponential = opt.Distribution == "exponential";
  time.Seed = opt.Seed;
  std::vector<TargetSpec> specs;
  if (!opt.List.empty())
    specs = readTargetList(opt.List, opt.Names);
  else
    specs.push_back(opt.SingleTarget);

  Poco::ThreadPool pool(16, opt.MaxConnections, 60, StackBytes);
  Poco::ThreadPool controlPool(2, 64, 60, StackBytes);
  std::vector<std::unique_ptr<Poco::Net::HTTPServer>> servers;
  for (auto &spec : specs) {
    fleet.Targets.push_back(
        std::make_unique<Target>(spec, time, fleet.Log, opt.ForbiddenValues));
    auto *t = fleet.Targets.back().get();
    servers.push_back(startHttpServer(
        opt.Host, spec.Port, pool,
        [t](auto &req, auto &resp) { t->handleRequest(req, resp); },
        t->filter()));
  }
  if (opt.ControlPort != 0)
    servers.push_back(startHttpServer(opt.Host, opt.ControlPort, controlPool,
                                      [&fleet](auto &req, auto &resp) {
                                        handleControlCall(fleet, req, resp);
                                      }));
  std::cout << "targetstandin: ready with " << specs.size() << " targets"
            << std::endl;
  waitForStopSignal();
  // Open connections occupy pool threads, so the process exits without joining
  // them.
  std::_Exit(EXIT_SUCCESS);
}

} // namespace

int main(int argc, char **argv) {
  Options opt;
  opt.SingleTarget.Name = "target";
  CLI::App app("Stand-in for targets");
  app.add_option("--host", opt.Host, "address to listen on");
  auto *list = app.add_option("--list", opt.List, "file with the targets");
  app.add_option("--name", opt.Names,
                 "targets to use from --list, or name of one target");
  auto *port =
      app.add_option("--port", opt.SingleTarget.Port, "port of one target");
  port->excludes(list);
  app.add_option("--slots", opt.SingleTarget.Slots, "slots of one target");
  app.add_option("--version", opt.SingleTarget.Version,
                 "version of one target");
  app.add_option("--zone", opt.SingleTarget.Zone, "zone of one target");
  app.add_option("--service", opt.SingleTarget.Service,
                 "service of one target");
  app.add_option("--control-port", opt.ControlPort, "control port");
  app.add_option("--service-ms", opt.ServiceMs,
                 "mean service time in milliseconds");
  app.add_option("--distribution", opt.Distribution,
                 "distribution of the service time")
      ->check(CLI::IsMember({"exponential", "fixed"}));
  app.add_option("--seed", opt.Seed, "seed of all random choices");
  app.add_option("--forbidden-value", opt.ForbiddenValues,
                 "value that must not occur in a header or path");
  app.add_option("--max-connections", opt.MaxConnections,
                 "maximum number of connections of all targets together");
  CLI11_PARSE(app, argc, argv);
  if (opt.List.empty() && opt.SingleTarget.Port == 0) {
    std::cerr << "targetstandin: --list or --port is required" << std::endl;
    return EXIT_FAILURE;
  }
  if (opt.List.empty() && !opt.Names.empty())
    opt.SingleTarget.Name = opt.Names.front();
  blockStopSignals();
  try {
    serve(opt);
  } catch (const Poco::Exception &e) {
    std::cerr << "targetstandin: " << e.displayText() << std::endl;
    return EXIT_FAILURE;
  }
}
