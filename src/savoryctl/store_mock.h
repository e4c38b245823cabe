#ifndef SAVORYCTL_STORE_MOCK_H
#define SAVORYCTL_STORE_MOCK_H

#include "mock_fault.h"
#include "tool_context.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace savorylb {

/// An in-memory store for tests that injects faults into its writes, in order.
struct StoreMock {
  std::map<std::string, StoreValue> Values;
  std::uint64_t LastIndex = 0;
  std::deque<MockFault> Faults;
  /// Runs once before the next write, for example to simulate a concurrent
  /// write by another operator.
  std::function<void()> BeforeWrite;
  /// Runs once after a write whose response is lost.
  std::function<void()> AfterLostResponse;
  int Reads = 0;
  /// Number of the next reads that fail.
  int ReadsToFail = 0;
  /// Number of compare-and-swap calls that took effect, by key.
  std::map<std::string, int> AppliedWrites;
};

/// Writes a value as another operator would.
inline void mockPut(StoreMock &mock, const std::string &key,
                    const std::string &content) {
  mock.Values[key] = {content, ++mock.LastIndex};
}

inline Result<void> mockCompareAndSwap(StoreMock &mock, const std::string &key,
                                       const std::string &value,
                                       std::uint64_t expected) {
  MockFault fault = MockFault::None;
  if (!mock.Faults.empty()) {
    fault = mock.Faults.front();
    mock.Faults.pop_front();
  }
  if (auto hook = std::exchange(mock.BeforeWrite, nullptr))
    hook();
  if (fault == MockFault::Unreachable)
    return failure(ErrorCode::Unavailable, "connection refused");
  if (fault == MockFault::Refused)
    return failure(ErrorCode::Refused, "value refused");
  if (fault == MockFault::LostRequest)
    return failure(ErrorCode::Unknown, "no response");
  auto it = mock.Values.find(key);
  std::uint64_t index = it == mock.Values.end() ? 0 : it->second.ModifyIndex;
  if (index != expected)
    return failure(ErrorCode::Conflict, "index is " + std::to_string(index));
  mockPut(mock, key, value);
  ++mock.AppliedWrites[key];
  if (fault != MockFault::LostResponse)
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  if (auto hook = std::exchange(mock.AfterLostResponse, nullptr))
    hook();
  return failure(ErrorCode::Unknown, "no response");
}

inline Result<StoreValue> mockGet(StoreMock &mock, const std::string &key) {
  ++mock.Reads;
  if (mock.ReadsToFail > 0) {
    --mock.ReadsToFail;
    return failure(ErrorCode::Unavailable, "connection refused");
  }
  auto it = mock.Values.find(key);
  if (it == mock.Values.end())
    return failure(ErrorCode::NotFound, key);
  return it->second;
}

/// \returns a context that uses the mock store; daemons are unreachable until a
/// test replaces their functions.
inline ToolContext makeMockContext(StoreMock &mock) {
  ToolContext out;
  out.Store.Get = [&mock](const std::string &key) {
    return mockGet(mock, key);
  };
  out.Store.List = [&mock](const std::string &prefix, std::uint64_t,
                           Duration) -> Result<StoreListing> {
    StoreListing listing;
    for (const auto &[key, value] : mock.Values)
      if (key.rfind(prefix, 0) == 0)
        listing.Values[key] = value;
    listing.Index = mock.LastIndex;
    return listing;
  };
  out.Store.CompareAndSwap = [&mock](const std::string &key,
                                     const std::string &value,
                                     std::uint64_t expected) {
    return mockCompareAndSwap(mock, key, value, expected);
  };
  out.Store.Remove = [&mock](const std::string &key) -> Result<void> {
    mock.Values.erase(key);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  };
  out.DaemonGet = [](const std::string &,
                     const std::string &) -> Result<std::string> {
    return failure(ErrorCode::Unavailable, "connection refused");
  };
  out.DaemonPost = out.DaemonGet;
  out.Now = [] { return WallTime(Millis(1796374800000)); };
  out.Sleep = [](Duration) {};
  out.RandomHex = [] { return std::string(64, 'a'); };
  out.Operator = "tester";
  return out;
}

} // namespace savorylb

#endif // SAVORYCTL_STORE_MOCK_H
