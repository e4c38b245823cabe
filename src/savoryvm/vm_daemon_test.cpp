#include <csignal>

#include "vm_fixture.h"

using namespace savorylb;
using namespace savorylb::standin;

TEST_GROUP(VmDaemon){};

// Guards against a break anywhere on the path from the caller to the target and
// back.
TEST(VmDaemon, ServesARequestEndToEnd) {
  VmFixture fixture;
  PlatformTarget &target = fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  CallerRequest request;
  request.Attempt = "a-1";
  CallerResult result = fixture.call(2, request);
  LONGS_EQUAL(200, result.Status);
  CHECK_TRUE(result.HasSignature);
  STRCMP_EQUAL("answer to a-1", result.Body.c_str());
  STRCMP_EQUAL("port", target.LastTeam.c_str());
  LONGS_EQUAL(0, target.KeysSeen);
}

// Guards against running an at-most-once request twice after its response was
// lost.
TEST(VmDaemon, DoesNotRetryAtMostOnceAfterLostResponse) {
  VmFixture fixture;
  for (int i = 0; i < 3; ++i)
    fixture.Platform.addTarget("permits", "tema-a").Mode =
        TargetMode::DropResponse;
  fixture.addVm(2);
  fixture.waitReady(2);
  CallerResult result = fixture.call(2, permitRequest("p-1"));
  LONGS_EQUAL(502, result.Status);
  LONGS_EQUAL(1, fixture.Platform.runCount("p-1"));
}

// Guards against failing a retryable request after a lost response.
TEST(VmDaemon, RetriesRetryableRequestAfterLostResponse) {
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  for (auto &it : fixture.Platform.Targets) {
    it->Mode = TargetMode::DropResponse;
    CallerResult result = fixture.call(2, CallerRequest());
    LONGS_EQUAL(200, result.Status);
    it->Mode = TargetMode::Serve;
  }
}

// Guards against failing a shed request that another target could have run, and
// against answering that a request was not run when it may have been.
TEST(VmDaemon, RetriesOrRefusesShedRequest) {
  VmFixture fixture;
  PlatformTarget &first = fixture.Platform.addTarget("permits", "tema-a");
  PlatformTarget &second = fixture.Platform.addTarget("permits", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  first.Mode = TargetMode::Shed;
  LONGS_EQUAL(200, fixture.call(2, permitRequest("p-1")).Status);
  LONGS_EQUAL(1, fixture.Platform.runCount("p-1"));
  second.Mode = TargetMode::Shed;
  CallerResult result = fixture.call(2, permitRequest("p-2"));
  LONGS_EQUAL(503, result.Status);
  CHECK_FALSE(result.RetryAfter.empty());
  LONGS_EQUAL(0, fixture.Platform.runCount("p-2"));
  // Refused at once, not at the deadline.
  CHECK_TRUE(result.Took < Millis(500));
}

// Guards against delivering a response to another request, or one without the
// target's signature.
TEST(VmDaemon, DiscardsForeignResponses) {
  VmFixture fixture;
  PlatformTarget &target = fixture.Platform.addTarget("permits", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  for (TargetMode it : {TargetMode::WrongAttemptId, TargetMode::Unsigned}) {
    target.Mode = it;
    CallerRequest request = permitRequest("");
    request.Timeout = Millis(400);
    CallerResult result = fixture.call(2, request);
    CHECK_TRUE(result.Status == 502 || result.Status == 504);
    CHECK_FALSE(result.HasSignature);
  }
}

// Guards against keeping a caller waiting past its deadline, and against a
// response other than 504 that would claim that nothing ran.
TEST(VmDaemon, TimesOutOnSilentTarget) {
  VmFixture fixture;
  fixture.Platform.addTarget("permits", "tema-a").Mode = TargetMode::Silent;
  fixture.addVm(2);
  fixture.waitReady(2);
  CallerRequest request = permitRequest("p-1");
  request.Timeout = Millis(600);
  CallerResult result = fixture.call(2, request);
  LONGS_EQUAL(504, result.Status);
  CHECK_TRUE(result.Took < Millis(1100));
}

// Guards against a target that keeps working for a caller that has
// disconnected.
TEST(VmDaemon, CallerDisconnectCancelsRequest) {
  VmFixture fixture;
  PlatformTarget &target = fixture.Platform.addTarget("tiles", "tema-a");
  target.ServiceTime = Seconds(2);
  fixture.addVm(2);
  fixture.waitReady(2);
  CallerRequest request;
  request.Attempt = "a-1";
  auto connection = callVm(fixture.Io, fixture.Platform.callerAddress(2),
                           request, [](const CallerResult &) {});
  CHECK_TRUE(
      fixture.waitUntil([&] { return fixture.Platform.runCount("a-1") == 1; }));
  connection->close();
  CHECK_TRUE(
      fixture.waitUntil([&] { return target.Cancelled == 1; }, Millis(500)));
}

// Guards against accepting a withdrawn tenant key, and against missing a
// configuration when the store has discarded its history.
TEST(VmDaemon, RejectsWithdrawnKey) {
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  LONGS_EQUAL(200, fixture.call(2, CallerRequest()).Status);
  fixture.Platform.configure({"key-2"});
  fixture.Platform.Store.compactHistory();
  CHECK_TRUE(fixture.waitUntil(
      [&] { return fixture.call(2, CallerRequest()).Status == 401; },
      Millis(2500)));
  CallerRequest request;
  request.Key = "key-2";
  LONGS_EQUAL(200, fixture.call(2, request).Status);
}

// Guards against failing requests during an outage of the store, and against
// dropping targets whose leases lapsed in the outage.
TEST(VmDaemon, ServesDuringStoreOutage) {
  VmFixture fixture;
  PlatformTarget &target = fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  StoreFaults faults;
  faults.Busy = true;
  fixture.Platform.Store.setFaults(faults);
  fixture.waitUntil([] { return false; }, Millis(1500));
  LONGS_EQUAL(200, fixture.call(2, CallerRequest()).Status);
  target.removeEntry();
  fixture.Platform.Store.setFaults(StoreFaults());
  fixture.waitUntil([] { return false; }, Millis(800));
  LONGS_EQUAL(200, fixture.call(2, CallerRequest()).Status);
  // The entry does not reappear in time, so the target is dropped.
  CHECK_TRUE(fixture.waitUntil(
      [&] { return fixture.call(2, CallerRequest()).Status == 503; }));
}

// Guards against sending new requests to a target that is draining.
TEST(VmDaemon, SendsNothingToDrainingTarget) {
  VmFixture fixture;
  PlatformTarget &first = fixture.Platform.addTarget("tiles", "tema-a");
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  first.registerEntry("draining");
  fixture.waitUntil([] { return false; }, Millis(900));
  first.Runs.clear();
  for (int i = 0; i < 20; ++i) {
    CallerRequest request;
    request.AffinityKey = std::to_string(i);
    LONGS_EQUAL(200, fixture.call(2, request).Status);
  }
  LONGS_EQUAL(0, first.Runs.size());
}

// Guards against losing requests when another target has taken over the address
// of the chosen one and rejects them with status 421.
TEST(VmDaemon, RetriesMisdirectedRequests) {
  VmFixture fixture;
  PlatformTarget &first = fixture.Platform.addTarget("permits", "tema-a");
  fixture.Platform.addTarget("permits", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  first.Mode = TargetMode::Misdirected;
  for (int i = 0; i < 6; ++i) {
    CallerRequest request = permitRequest("p-" + std::to_string(i));
    request.AffinityKey = std::to_string(i);
    LONGS_EQUAL(200, fixture.call(2, request).Status);
  }
  LONGS_EQUAL(0, first.Runs.size());
}

// Guards against VMs that do not learn of each other, so that lookups name only
// some of them.
TEST(VmDaemon, LookupsNameAllVms) {
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.addVm(3, "tema-b");
  fixture.waitReady(2);
  fixture.waitReady(3);
  auto lookupListsBoth = [&](int n) {
    CallerRequest request;
    request.Path = "/resolve?name=maps.example&region=tema&zone=tema-a";
    std::string body;
    callVm(fixture.Io, fixture.Platform.lookupAddress(n), request,
           [&](const CallerResult &it) { body = it.Body + " "; });
    fixture.waitUntil([&] { return !body.empty(); });
    return body.find(fixture.Platform.callerAddress(2)) != std::string::npos &&
           body.find(fixture.Platform.callerAddress(3)) != std::string::npos;
  };
  CHECK_TRUE(fixture.waitUntil(
      [&] { return lookupListsBoth(2) && lookupListsBoth(3); }));
}

// Guards against answering 404 or 401 before a configuration is known.
TEST(VmDaemon, IsNotReadyWithoutStore) {
  VmFixture fixture;
  StoreFaults faults;
  faults.Silent = true;
  fixture.Platform.Store.setFaults(faults);
  fixture.addVm(2);
  CHECK_FALSE(fixture.ready(2));
  LONGS_EQUAL(503, fixture.call(2, CallerRequest()).Status);
}

// Guards against a process that ends while a response is still being written.
TEST(VmDaemon, StopWaitsForResponsesBeingWritten) {
  VmFixture fixture;
  fixture.Platform.addTarget("tiles", "tema-a").PaddingBytes = 24 << 20;
  fixture.addVm(2);
  fixture.waitReady(2);
  asio::ip::tcp::socket socket(fixture.Io);
  socket.connect(*parseEndpoint(fixture.Platform.callerAddress(2)));
  std::string text = "GET /tiles/1 HTTP/1.1\r\nHost: maps.example\r\n"
                     "Savorylb-Attempt-Id: a-1\r\n"
                     "Authorization: Token key-1\r\n\r\n";
  asio::write(socket, asio::buffer(text));
  CHECK_TRUE(
      fixture.waitUntil([&] { return fixture.Platform.runCount("a-1") == 1; }));
  std::raise(SIGTERM);
  fixture.Io.run_for(std::chrono::milliseconds(3300));
  CHECK_FALSE(fixture.Io.stopped());
  std::size_t received = 0;
  std::vector<char> buf(1 << 20);
  boost::system::error_code ec;
  socket.non_blocking(true);
  while (!fixture.Io.stopped() && (!ec || ec == asio::error::would_block)) {
    fixture.Io.run_for(std::chrono::milliseconds(5));
    received += socket.read_some(asio::buffer(buf), ec);
  }
  CHECK_TRUE(received > (24 << 20));
  // The process ends soon after the response has been written.
  fixture.Io.run_for(std::chrono::milliseconds(1000));
  CHECK_TRUE(fixture.Io.stopped());
}

// Guards against requests to a target after it announced its departure in any
// response, while its entry still says that it is ready.
TEST(VmDaemon, SendsNothingToLeavingTargetUntilItsRestart) {
  VmFixture fixture;
  PlatformTarget &first = fixture.Platform.addTarget("tiles", "tema-a");
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  for (TargetMode it : {TargetMode::Serve, TargetMode::Shed, TargetMode::Fail,
                        TargetMode::Unsigned}) {
    first.Mode = it;
    first.Leaving = true;
    first.Received = 0;
    fixture.callMany(40);
    LONGS_EQUAL(1, first.Received);
    // The entry is written again, as by a heartbeat of the same start.
    first.registerEntry();
    fixture.waitUntil([] { return false; }, Millis(900));
    fixture.callMany(40);
    LONGS_EQUAL(1, first.Received);
    first.Mode = TargetMode::Serve;
    first.Leaving = false;
    ++first.StartedAt;
    first.registerEntry();
    CHECK_TRUE(fixture.waitUntil([&] {
      fixture.callMany(10);
      return first.Received > 1;
    }));
  }
}

// Guards against forgetting a departure when the entry of the same start is
// removed and written again.
TEST(VmDaemon, TargetIsStillLeavingWhenItsEntryReturns) {
  VmFixture fixture;
  PlatformTarget &target = fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  target.Leaving = true;
  LONGS_EQUAL(200, fixture.call(2, CallerRequest()).Status);
  target.removeEntry();
  fixture.waitUntil([] { return false; }, Millis(3200));
  target.registerEntry();
  fixture.waitUntil([] { return false; }, Millis(900));
  CallerResult result = fixture.call(2, CallerRequest());
  LONGS_EQUAL(503, result.Status);
  CHECK_FALSE(result.RetryAfter.empty());
  CHECK_TRUE(result.Took < Millis(500));
  LONGS_EQUAL(1, target.Received);
}

// Guards against idle connections to a leaving target that stay open, and
// against breaking its requests in flight.
TEST(VmDaemon, OnlyIdleConnectionsToLeavingTargetAreClosed) {
  VmFixture fixture;
  PlatformTarget &target = fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  std::map<std::string, int> statuses;
  auto start = [&](const std::string &attempt, Millis serviceTime) {
    target.ServiceTime = serviceTime;
    CallerRequest request;
    request.Attempt = attempt;
    callVm(fixture.Io, fixture.Platform.callerAddress(2), request,
           [&, attempt](const CallerResult &it) {
             statuses[attempt] = it.Status;
           });
    CHECK_TRUE(fixture.waitUntil(
        [&] { return fixture.Platform.runCount(attempt) == 1; }));
  };
  start("slow", Millis(600));
  start("first", Millis(100));
  start("second", Millis(100));
  CHECK_TRUE(fixture.waitUntil([&] { return statuses.size() == 2; }));
  LONGS_EQUAL(3, target.connections());
  target.Leaving = true;
  LONGS_EQUAL(200, fixture.call(2, CallerRequest()).Status);
  CHECK_TRUE(fixture.waitUntil([&] { return target.connections() == 1; },
                               Millis(200)));
  LONGS_EQUAL(0, statuses.count("slow"));
  CHECK_TRUE(fixture.waitUntil([&] { return statuses["slow"] == 200; }));
  CHECK_TRUE(fixture.waitUntil([&] { return target.connections() == 0; },
                               Millis(200)));
}

// Guards against requests to a target during the time for which it refused
// them, and against not using it afterwards.
TEST(VmDaemon, PausedTargetGetsNothingUntilThePauseEnds) {
  VmFixture fixture;
  PlatformTarget &target = fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  target.Mode = TargetMode::Shed;
  target.RetryAfter = "0.9";
  CallerResult first = fixture.call(2, CallerRequest());
  MonoTime pausedAt = monoNow();
  LONGS_EQUAL(503, first.Status);
  DOUBLES_EQUAL(0.95, std::stod(first.RetryAfter), 0.15);
  target.Mode = TargetMode::Serve;
  while (monoNow() < pausedAt + Millis(700)) {
    CallerResult result = fixture.call(2, CallerRequest());
    LONGS_EQUAL(503, result.Status);
    CHECK_TRUE(result.Took < Millis(100));
    double left =
        std::chrono::duration<double>(pausedAt + Millis(900) - monoNow())
            .count();
    DOUBLES_EQUAL(left + 0.05, std::stod(result.RetryAfter), 0.15);
  }
  LONGS_EQUAL(1, target.Received);
  fixture.waitUntil([] { return false; }, Millis(300));
  LONGS_EQUAL(200, fixture.call(2, CallerRequest()).Status);
}

// Guards against failing requests while another target can serve them, and
// against retries at a paused target.
TEST(VmDaemon, OtherTargetsServeDuringAPause) {
  VmFixture fixture;
  PlatformTarget &first = fixture.Platform.addTarget("permits", "tema-a");
  PlatformTarget &second = fixture.Platform.addTarget("permits", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  first.RetryAfter = second.RetryAfter = "0.6";
  first.Mode = second.Mode = TargetMode::Shed;
  LONGS_EQUAL(503, fixture.call(2, permitRequest("")).Status);
  for (int i = 0; i < 5; ++i)
    LONGS_EQUAL(503, fixture.call(2, permitRequest("")).Status);
  LONGS_EQUAL(1, first.Received);
  LONGS_EQUAL(1, second.Received);
  fixture.waitUntil([] { return false; }, Millis(700));
  first.RetryAfter = "5";
  second.Mode = TargetMode::Serve;
  for (int i = 0; i < 20; ++i) {
    CallerRequest request = permitRequest("");
    request.AffinityKey = std::to_string(i);
    LONGS_EQUAL(200, fixture.call(2, request).Status);
  }
  CHECK_TRUE(first.Received <= 2);
}

// Guards against a restarted target that is not used because its predecessor
// had asked for a pause.
TEST(VmDaemon, RestartEndsAPause) {
  VmFixture fixture;
  PlatformTarget &target = fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  target.Mode = TargetMode::Shed;
  target.RetryAfter = "20";
  LONGS_EQUAL(503, fixture.call(2, CallerRequest()).Status);
  target.Mode = TargetMode::Serve;
  fixture.waitUntil([] { return false; }, Millis(900));
  LONGS_EQUAL(503, fixture.call(2, CallerRequest()).Status);
  ++target.StartedAt;
  target.registerEntry();
  CHECK_TRUE(fixture.waitUntil(
      [&] { return fixture.call(2, CallerRequest()).Status == 200; },
      Millis(1500)));
}
