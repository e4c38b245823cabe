#include "savorylb/store_client_http.h"
#include "scripted_server.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

StoreClient makeClient(const ScriptedServer &server) {
  return makeHttpStoreClient("http://" + server.address(), Millis(300));
}

std::string okResponse(const std::string &body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\nX-Consul-Index: 7\r\n\r\n" + body;
}

} // namespace

TEST_GROUP(StoreClient){};

// Guards against reporting a write as failed when its response was lost but it
// may have taken effect.
TEST(StoreClient, LostWriteResponseIsUnknown) {
  ScriptedServer server([](const std::string &) { return ""; });
  auto written = makeClient(server).CompareAndSwap("k", "v", 1);
  CHECK(!written);
  CHECK(written.error().Code == ErrorCode::Unknown);
}

// Guards against retrying a write that took effect although the store reported
// a server error.
TEST(StoreClient, ServerErrorOnWriteIsUnknown) {
  ScriptedServer server([](const std::string &) {
    return "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";
  });
  auto written = makeClient(server).CompareAndSwap("k", "v", 1);
  CHECK(written.error().Code == ErrorCode::Unknown);
}

TEST(StoreClient, FalseIsAConflict) {
  ScriptedServer server(
      [](const std::string &) { return okResponse("false"); });
  auto written = makeClient(server).CompareAndSwap("k", "v", 1);
  CHECK(written.error().Code == ErrorCode::Conflict);
}

TEST(StoreClient, ListsAPrefix) {
  ScriptedServer server([](const std::string &) {
    return okResponse(
        "[{\"Key\":\"p/a\",\"Value\":\"aGk=\",\"ModifyIndex\":5}]");
  });
  auto listing = makeClient(server).List("p/", 0, {});
  CHECK(listing.has_value());
  LONGS_EQUAL(7, listing.value().Index);
  STRCMP_EQUAL("hi", listing.value().Values["p/a"].Content.c_str());
  LONGS_EQUAL(5, listing.value().Values["p/a"].ModifyIndex);
}

// Guards against parsing all values again when a blocking query ends without a
// change, and against missing a change.
TEST(StoreClient, SameIndexIsUnchanged) {
  ScriptedServer server([](const std::string &) {
    return okResponse(
        "[{\"Key\":\"p/a\",\"Value\":\"aGk=\",\"ModifyIndex\":5}]");
  });
  auto same = makeClient(server).List("p/", 7, Millis(10));
  CHECK(same.value().Unchanged);
  LONGS_EQUAL(0, same.value().Values.size());
  for (std::uint64_t index : {0, 6, 8}) {
    auto other = makeClient(server).List("p/", index, Millis(10));
    CHECK(!other.value().Unchanged);
    LONGS_EQUAL(1, other.value().Values.size());
  }
}

// Guards against accepting a truncated listing as complete.
TEST(StoreClient, RejectsTruncatedListing) {
  ScriptedServer server([](const std::string &) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n[]";
  });
  CHECK(!makeClient(server).List("p/", 0, {}));
}
