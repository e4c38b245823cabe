#include "command_line.h"
#include "daemon_http.h"
#include "json_text.h"

#include "savorylb/store_client_http.h"

#include <array>
#include <chrono>
#include <exception>
#include <iostream>
#include <sys/random.h>
#include <thread>

namespace {

using namespace savorylb;

// \returns 64 hexadecimal digits from the kernel's random source, empty on
// failure.
std::string randomHex() {
  constexpr const char *Digits = "0123456789abcdef";
  std::array<unsigned char, 32> bytes{};
  if (getentropy(bytes.data(), bytes.size()) != 0)
    return "";
  std::string out;
  for (unsigned char it : bytes) {
    out += Digits[it >> 4];
    out += Digits[it & 15];
  }
  return out;
}

WallTime wallNow() {
  return WallTime(std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch()));
}

ToolContext makeContext(const CommandLine &cmd) {
  ToolContext out;
  out.Store = makeHttpStoreClient(cmd.StoreUrl, cmd.Timeout);
  out.DaemonGet = [timeout = cmd.Timeout](const std::string &endpoint,
                                          const std::string &path) {
    return callDaemon("GET", endpoint, path, timeout);
  };
  out.DaemonPost = [timeout = cmd.Timeout](const std::string &endpoint,
                                           const std::string &path) {
    return callDaemon("POST", endpoint, path, timeout);
  };
  out.Now = wallNow;
  out.Sleep = [](Duration time) { std::this_thread::sleep_for(time); };
  out.RandomHex = randomHex;
  out.Operator = cmd.Operator;
  return out;
}

int run(int argc, char **argv) {
  CommandLine cmd;
  if (std::optional<ExitCode> code = parseCommandLine(argc, argv, cmd))
    return static_cast<int>(*code);
  CommandResult result = cmd.Command(makeContext(cmd));
  bool failed = result.Code != ExitCode::Ok;
  if (cmd.Json)
    std::cout << writePretty(result.Data);
  else
    (failed ? std::cerr : std::cout) << result.Text;
  return static_cast<int>(result.Code);
}

} // namespace

int main(int argc, char **argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception &ex) {
    // The command may have written before the exception, so the outcome is
    // unknown.
    std::cerr << "savoryctl: " << ex.what() << "\n";
    return static_cast<int>(ExitCode::Unknown);
  }
}
