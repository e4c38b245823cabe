#include "lookup_benchmark.h"

#include "http_io.h"

#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <random>
#include <thread>
#include <vector>

using namespace std::chrono;

namespace savorylb::standin {

namespace {

constexpr int ReceiveBytes = 8192;

struct ConnectionResults {
  std::uint64_t Succeeded = 0;
  std::uint64_t Failed = 0;
  std::vector<std::uint32_t> Micros;
};

std::string makeRequest(const LookupBenchmark &bench, std::uint32_t address) {
  return "GET /v1/lookup?service=" + bench.Service +
         "&client=" + std::to_string(address >> 24) + "." +
         std::to_string(address >> 16 & 255) + "." +
         std::to_string(address >> 8 & 255) + "." +
         std::to_string(address & 255) + " HTTP/1.1\r\nHost: " + bench.Daemon +
         "\r\n\r\n";
}

// Parses the response by hand, so that the client needs less processor time
// than the daemon that it measures.
// \returns whether a complete response with status 200 was received.
bool readResponse(Poco::Net::StreamSocket &socket, std::string &buf) {
  buf.clear();
  std::size_t totalBytes = std::string::npos;
  while (totalBytes == std::string::npos || buf.size() < totalBytes) {
    char part[ReceiveBytes];
    int n = socket.receiveBytes(part, ReceiveBytes);
    if (n <= 0)
      return false;
    buf.append(part, static_cast<std::size_t>(n));
    auto end = buf.find("\r\n\r\n");
    if (totalBytes != std::string::npos || end == std::string::npos)
      continue;
    auto length = buf.find("Content-Length: ");
    if (length == std::string::npos || length > end)
      return false;
    totalBytes = end + 4 + std::strtoul(buf.c_str() + length + 16, nullptr, 10);
  }
  return buf.compare(0, 12, "HTTP/1.1 200") == 0;
}

void runConnection(const LookupBenchmark &bench, std::uint64_t seed,
                   steady_clock::time_point until, ConnectionResults &out) {
  std::mt19937_64 random(seed);
  std::string buf;
  while (steady_clock::now() < until) {
    try {
      Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(bench.Daemon)};
      socket.setReceiveTimeout(Poco::Timespan(1, 0));
      socket.setNoDelay(true);
      while (steady_clock::now() < until) {
        auto text = makeRequest(bench, static_cast<std::uint32_t>(random()));
        auto start = steady_clock::now();
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        bool succeeded = readResponse(socket, buf);
        out.Succeeded += succeeded ? 1 : 0;
        out.Failed += succeeded ? 0 : 1;
        out.Micros.push_back(static_cast<std::uint32_t>(
            duration_cast<microseconds>(steady_clock::now() - start).count()));
        // The daemon closes a connection after a number of requests.
        if (!succeeded || buf.find("Connection: Close") != std::string::npos)
          break;
      }
    } catch (const Poco::Exception &) {
      ++out.Failed;
    }
  }
}

} // namespace

std::string runLookupBenchmark(const LookupBenchmark &bench) {
  auto start = steady_clock::now();
  auto until =
      start + microseconds(static_cast<std::int64_t>(bench.Seconds * 1e6));
  std::vector<ConnectionResults> results(
      static_cast<std::size_t>(bench.Connections));
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < results.size(); ++i)
    threads.emplace_back([&, i] {
      runConnection(bench, bench.Seed * 1000 + i, until, results[i]);
    });
  for (auto &it : threads)
    it.join();
  ConnectionResults all;
  for (auto &it : results) {
    all.Succeeded += it.Succeeded;
    all.Failed += it.Failed;
    all.Micros.insert(all.Micros.end(), it.Micros.begin(), it.Micros.end());
  }
  std::sort(all.Micros.begin(), all.Micros.end());
  auto percentile = [&](std::size_t per100) {
    return all.Micros.empty()
               ? Json::Value()
               : Json::Value(
                     all.Micros[(all.Micros.size() - 1) * per100 / 100]);
  };
  Json::Value out;
  out["lookups"] = Json::UInt64(all.Succeeded);
  out["failed"] = Json::UInt64(all.Failed);
  out["per_second"] = static_cast<double>(all.Succeeded) /
                      duration<double>(steady_clock::now() - start).count();
  out["p50_us"] = percentile(50);
  out["p99_us"] = percentile(99);
  return compactJson(out);
}

} // namespace savorylb::standin
