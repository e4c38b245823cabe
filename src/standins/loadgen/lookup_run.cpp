#include "lookup_run.h"

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

struct Tally {
  std::uint64_t Good = 0;
  std::uint64_t Failed = 0;
  std::vector<std::uint32_t> Micros;
};

std::string requestText(const LookupRun &run, std::uint32_t address) {
  return "GET /v1/lookup?service=" + run.Service +
         "&client=" + std::to_string(address >> 24) + "." +
         std::to_string(address >> 16 & 255) + "." +
         std::to_string(address >> 8 & 255) + "." +
         std::to_string(address & 255) + " HTTP/1.1\r\nHost: " + run.Daemon +
         "\r\n\r\n";
}

/// Parsing by hand keeps the client cheaper than the daemon that it measures.
bool readAnswer(Poco::Net::StreamSocket &socket, std::string &buf) {
  buf.clear();
  std::size_t whole = std::string::npos;
  while (whole == std::string::npos || buf.size() < whole) {
    char part[ReceiveBytes];
    int n = socket.receiveBytes(part, ReceiveBytes);
    if (n <= 0)
      return false;
    buf.append(part, static_cast<std::size_t>(n));
    auto end = buf.find("\r\n\r\n");
    if (whole != std::string::npos || end == std::string::npos)
      continue;
    auto length = buf.find("Content-Length: ");
    if (length == std::string::npos || length > end)
      return false;
    whole = end + 4 + std::strtoul(buf.c_str() + length + 16, nullptr, 10);
  }
  return buf.compare(0, 12, "HTTP/1.1 200") == 0;
}

void ask(const LookupRun &run, std::uint64_t seed,
         steady_clock::time_point until, Tally &out) {
  std::mt19937_64 random(seed);
  std::string buf;
  while (steady_clock::now() < until) {
    try {
      Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(run.Daemon)};
      socket.setReceiveTimeout(Poco::Timespan(1, 0));
      socket.setNoDelay(true);
      while (steady_clock::now() < until) {
        auto text = requestText(run, static_cast<std::uint32_t>(random()));
        auto start = steady_clock::now();
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        bool good = readAnswer(socket, buf);
        out.Good += good ? 1 : 0;
        out.Failed += good ? 0 : 1;
        out.Micros.push_back(static_cast<std::uint32_t>(
            duration_cast<microseconds>(steady_clock::now() - start).count()));
        // The daemon ends a connection after a number of requests.
        if (!good || buf.find("Connection: Close") != std::string::npos)
          break;
      }
    } catch (const Poco::Exception &) {
      ++out.Failed;
    }
  }
}

} // namespace

std::string runLookups(const LookupRun &run) {
  auto start = steady_clock::now();
  auto until =
      start + microseconds(static_cast<std::int64_t>(run.Seconds * 1e6));
  std::vector<Tally> tallies(static_cast<std::size_t>(run.Connections));
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < tallies.size(); ++i)
    threads.emplace_back(
        [&, i] { ask(run, run.Seed * 1000 + i, until, tallies[i]); });
  for (auto &it : threads)
    it.join();
  Tally all;
  for (auto &it : tallies) {
    all.Good += it.Good;
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
  out["lookups"] = Json::UInt64(all.Good);
  out["failed"] = Json::UInt64(all.Failed);
  out["per_second"] = static_cast<double>(all.Good) /
                      duration<double>(steady_clock::now() - start).count();
  out["p50_us"] = percentile(50);
  out["p99_us"] = percentile(99);
  return compactJson(out);
}

} // namespace savorylb::standin
