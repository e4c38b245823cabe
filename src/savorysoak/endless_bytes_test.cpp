// Runs a daemon process whose targets send bytes that never become a response,
// on many connections at a time, and measures its memory.
#include "simulated_platform.h"
#include "vm_process.h"

#include "savorylb/clock.h"

#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>

// Redefines operator new by a macro, so it must follow the standard headers.
#include <CppUTest/TestHarness.h>

using namespace savorylb;
using namespace savorylb::standin;

namespace {

/// Each part has a subnet of its own, 127.0.240.x and following; other tests
/// use others.
int NextNet = 240;
/// The smallest VMs have 160 MB for the process and its sockets. A fifth is
/// left for bytes that the kernel holds.
constexpr std::int64_t MaxResidentBytes = std::int64_t(160) * 1'000'000 * 4 / 5;
constexpr int GoodTargets = 4;
constexpr int FaultyTargetsOfAKind = 3;
constexpr int PermitRequests = 1200;
constexpr int PermitsAtOnce = 300;
/// Body of the good target's responses.
constexpr std::size_t TileBytes = 200'000;

const std::string OkLine = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = OkLine + "Transfer-Encoding: chunked\r\n\r\n";

std::string repeat(const std::string &part, std::size_t bytes) {
  std::string text;
  while (text.size() + part.size() <= bytes)
    text += part;
  return text;
}

struct FaultyCase {
  const char *Name;
  std::vector<ScriptedReply> Replies;
};

std::vector<FaultyCase> faultyCases() {
  const std::string head = OkLine + "Content-Length: 30000000\r\n\r\n";
  return {
      {"endless heads",
       {{"HTTP/1.1 200 ", "x"},
        {OkLine, "A: b\r\n"},
        {OkLine + "A: ", "x"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"}}},
      {"endless bodies",
       {{OkLine + "\r\n", "x"},
        {Chunked, "5\r\nhello\r\n"},
        {Chunked + "5;", "x"},
        {Chunked, "1;" + std::string(10'000, 'x') + "\r\na\r\n"},
        {Chunked + "0\r\n", "T: x\r\n"}}},
      {"many fields, then silence", {{OkLine + repeat("A:\r\n", 65'000), ""}}},
      {"a part of a head, then silence",
       {{OkLine + "A: " + std::string(65'000, 'x'), ""}}},
      {"a part of a body, then silence",
       {{head + std::string(100'000, 'x'), ""},
        {head + std::string(3'000'000, 'x'), ""},
        {Chunked + "f00000\r\n" + repeat("x", 10'000'000), ""}}},
  };
}

struct ProcessFixture {
  asio::io_context Io;
  SimulatedPlatform Platform{Io};
  std::string Folder =
      (std::filesystem::temp_directory_path() / "savory-endless-bytes")
          .string();
  std::unique_ptr<soak::VmProcess> Vm;
  std::map<std::string, int> Received;
  int PermitsSent = 0;
  int PermitsDone = 0;
  int PermitsWithoutAnswer = 0;
  int TilesSent = 0;
  int TilesDone = 0;
  int TilesServed = 0;
  int TilesRefused = 0;

  explicit ProcessFixture(int net) {
    std::filesystem::remove_all(Folder);
    std::filesystem::create_directories(Folder);
    CHECK_TRUE(Platform.start(net));
  }

  void runFor(Duration span) {
    Io.run_for(std::chrono::microseconds(span.count()));
    Io.restart();
  }

  void addFaulty(const ScriptedReply &reply) {
    Platform.addScriptedTarget(
        "permits", [this, reply](const HttpMessage &request, int) {
          ++Received[*findField(request, "Savorylb-Attempt-Id")];
          return reply;
        });
  }

  void sendTile() {
    CallerRequest request;
    request.Attempt = "tile-" + std::to_string(++TilesSent);
    request.AffinityKey = std::to_string(TilesSent % 8);
    callVm(Io, Platform.callerAddress(2), request,
           [this](const CallerResult &it) {
             ++TilesDone;
             TilesServed += it.Status == 200 && it.Body.size() >= TileBytes;
             TilesRefused += it.Status == 503;
           });
  }

  void sendPermit() {
    CallerRequest request;
    request.Method = "POST";
    request.Path = "/permits/1";
    request.Body = "zone 7";
    request.Attempt = "permit-" + std::to_string(++PermitsSent);
    request.AffinityKey = std::to_string(PermitsSent);
    callVm(Io, Platform.callerAddress(2), request,
           [this](const CallerResult &it) {
             ++PermitsDone;
             PermitsWithoutAnswer += it.Status == 0;
           });
  }

  /// Starts the daemon and waits until a request succeeds.
  void start() {
    std::string settings = Folder + "/vm-2.json";
    std::ofstream(settings) << Platform.vmSettings(2, "tema-a");
    Vm = std::make_unique<soak::VmProcess>(SAVORY_VM_PROGRAM, settings,
                                           Folder + "/vm-2.log");
    CHECK_TRUE(Vm->start());
    MonoTime end = monoNow() + Seconds(10);
    while (TilesServed == 0 && monoNow() < end) {
      sendTile();
      runFor(Millis(50));
    }
    CHECK_TRUE(TilesServed > 0);
    while (TilesDone < TilesSent && monoNow() < end)
      runFor(Millis(5));
    TilesSent = TilesDone = TilesServed = TilesRefused = 0;
  }

  void sendAll() {
    MonoTime end = monoNow() + Seconds(40);
    MonoTime nextTile = monoNow();
    while (monoNow() < end &&
           (PermitsDone < PermitRequests || TilesDone < TilesSent)) {
      while (PermitsSent < PermitRequests &&
             PermitsSent - PermitsDone < PermitsAtOnce)
        sendPermit();
      if (PermitsDone < PermitRequests && monoNow() >= nextTile) {
        sendTile();
        nextTile = monoNow() + Millis(30);
      }
      runFor(Millis(2));
    }
  }
};

} // namespace

TEST_GROUP(EndlessBytes){};

// Guards against the end of the process for lack of memory, and with it of all
// other callers' requests, when targets send bytes that are no response.
TEST(EndlessBytes, FaultyTargetsExhaustTheMemory) {
  for (const FaultyCase &it : faultyCases()) {
    ProcessFixture fixture(NextNet++);
    for (int i = 0; i < GoodTargets; ++i)
      fixture.Platform.addTarget("tiles", "tema-a").PaddingBytes = TileBytes;
    for (int i = 0; i < FaultyTargetsOfAKind; ++i)
      for (const ScriptedReply &reply : it.Replies)
        fixture.addFaulty(reply);
    fixture.start();
    fixture.sendAll();
    std::int64_t peak = fixture.Vm->peakResidentBytes();
    std::cout << it.Name << ": peak " << peak / 1000 << " kB, "
              << fixture.Received.size() << " of " << fixture.PermitsSent
              << " requests at faulty targets, " << fixture.TilesServed
              << " of " << fixture.TilesSent << " others served, "
              << fixture.TilesRefused << " refused\n";
    CHECK_TRUE_TEXT(fixture.Vm->running(), it.Name);
    CHECK_TRUE_TEXT(peak > 0 && peak < MaxResidentBytes, it.Name);
    LONGS_EQUAL_TEXT(PermitRequests, fixture.PermitsDone, it.Name);
    LONGS_EQUAL_TEXT(0, fixture.PermitsWithoutAnswer, it.Name);
    LONGS_EQUAL_TEXT(fixture.TilesSent, fixture.TilesServed, it.Name);
    for (const auto &[attempt, count] : fixture.Received)
      LONGS_EQUAL_TEXT(1, count, attempt.c_str());
  }
}

// Guards against bodies that occupy more memory than their budgets, because
// they are copied when they grow or memory is not returned to the system.
TEST(EndlessBytes, LargeBodiesExhaustTheMemory) {
  ProcessFixture fixture(NextNet++);
  fixture.Platform.MaxBodyBytes = 64 << 20;
  fixture.Platform.configure({"key-1"});
  PlatformTarget &good = fixture.Platform.addTarget("tiles", "tema-a");
  good.PaddingBytes = TileBytes;
  for (int bytes : {18'000'000, 19'000'000, 17'000'000})
    fixture.addFaulty({OkLine + "\r\n" + std::string(bytes, 'x'), ""});
  fixture.start();
  int answers = 0;
  int sent = 0;
  for (int round = 0; round < 4; ++round) {
    for (int bytes : {33'000'000, 34'000'000, 6'000'000, 30'000'000}) {
      CallerRequest request;
      request.Method = "POST";
      request.Path = "/permits/1";
      request.Body.assign(bytes, 'x');
      request.Attempt = "upload-" + std::to_string(++sent);
      request.AffinityKey = std::to_string(sent);
      callVm(fixture.Io, fixture.Platform.callerAddress(2), request,
             [&](const CallerResult &it) { answers += it.Status != 0; });
    }
    MonoTime end = monoNow() + Seconds(8);
    while (answers < sent && monoNow() < end)
      fixture.runFor(Millis(5));
    fixture.sendTile();
    fixture.runFor(Millis(200));
  }
  std::int64_t peak = fixture.Vm->peakResidentBytes();
  std::cout << "large bodies: peak " << peak / 1000 << " kB, "
            << fixture.Received.size() << " of " << sent << " sent on\n";
  LONGS_EQUAL(sent, answers);
  LONGS_EQUAL(fixture.TilesSent, fixture.TilesServed);
  CHECK_TRUE(peak > 0 && peak < MaxResidentBytes);
}

// Guards against memory that each open connection of a caller occupies,
// although it has no request.
TEST(EndlessBytes, ConnectionsExhaustTheMemory) {
  constexpr int Connections = 3000;
  ProcessFixture fixture(NextNet++);
  PlatformTarget &good = fixture.Platform.addTarget("tiles", "tema-a");
  good.PaddingBytes = TileBytes;
  fixture.start();
  std::vector<std::shared_ptr<HttpConnection>> open;
  int served = 0;
  for (int i = 0; i < Connections; ++i) {
    auto connection =
        std::make_shared<HttpConnection>(fixture.Io.get_executor(), 1 << 20);
    connection->connect(fixture.Platform.callerAddress(2), Seconds(5),
                        [&](bool connected) { served += connected; });
    open.push_back(connection);
    if (i % 50 == 0)
      fixture.runFor(Millis(5));
  }
  MonoTime end = monoNow() + Seconds(10);
  while (served < Connections && monoNow() < end)
    fixture.runFor(Millis(5));
  fixture.sendTile();
  fixture.runFor(Millis(500));
  std::int64_t peak = fixture.Vm->peakResidentBytes();
  std::cout << "idle connections: peak " << peak / 1000 << " kB\n";
  LONGS_EQUAL(Connections, served);
  LONGS_EQUAL(fixture.TilesSent, fixture.TilesServed);
  // A quarter of the limit for the connections of callers without a request.
  CHECK_TRUE(peak > 0 && peak < MaxResidentBytes / 4);
  for (const auto &it : open)
    it->close();
}
