#include "http_handler.h"
#include "http_io.h"
#include "store_interface.h"

#include <CLI/CLI.hpp>
#include <Poco/Exception.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>

using namespace savorylb::standin;

namespace {

// Each connection occupies a thread: up to 900 waiting watches, plus other
// calls at the same time.
constexpr int MaxConnections = 1200;
// Stack size of a thread; each open connection occupies one.
constexpr int StackBytes = 256 * 1024;

struct Options {
  std::string Host = "127.0.0.1";
  int Port = 0;
  int ControlPort = 0;
  std::string VmFile;
  std::uint64_t WriteLimit = 300;
  std::uint64_t ReadLimit = 2000;
};

void serve(const Options &opt) {
  StoreState state{{}, {}, {}, {opt.WriteLimit, opt.ReadLimit}};
  if (!opt.VmFile.empty())
    state.Vms.replace(readJsonFile(opt.VmFile));

  Poco::ThreadPool pool(16, MaxConnections, 60, StackBytes);
  Poco::ThreadPool controlPool(2, 64, 60, StackBytes);
  auto data = startHttpServer(
      opt.Host, opt.Port, pool,
      [&state](auto &req, auto &resp) { handleStoreCall(state, req, resp); });
  std::unique_ptr<Poco::Net::HTTPServer> control;
  if (opt.ControlPort != 0)
    control = startHttpServer(opt.Host, opt.ControlPort, controlPool,
                              [&state](auto &req, auto &resp) {
                                handleControlCall(state, req, resp);
                              });

  std::thread([&state] {
    while (true) {
      state.Store.expireSessions();
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }).detach();
  std::cout << "kvstandin: ready on port " << opt.Port << std::endl;
  waitForStopSignal();
  // Waiting calls occupy pool threads, so the process exits without joining
  // them; there is no state to save.
  std::_Exit(EXIT_SUCCESS);
}

} // namespace

int main(int argc, char **argv) {
  Options opt;
  CLI::App app("Stand-in for the platform's key-value store and VM list");
  app.add_option("--host", opt.Host, "address to listen on");
  app.add_option("--port", opt.Port, "data port")->required();
  app.add_option("--control-port", opt.ControlPort, "control port");
  app.add_option("--vms", opt.VmFile, "file with the VM list");
  app.add_option("--write-limit", opt.WriteLimit, "maximum writes per second");
  app.add_option("--read-limit", opt.ReadLimit, "maximum reads per second");
  CLI11_PARSE(app, argc, argv);
  blockStopSignals();
  try {
    serve(opt);
  } catch (const Poco::Exception &e) {
    std::cerr << "kvstandin: " << e.displayText() << std::endl;
    return EXIT_FAILURE;
  }
}
