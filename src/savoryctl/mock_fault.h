#ifndef SAVORYCTL_MOCK_FAULT_H
#define SAVORYCTL_MOCK_FAULT_H

namespace savorylb {

/// Fault of one compare-and-swap of the mock store.
enum class MockFault {
  None,
  /// Takes effect, but the response is lost.
  LostResponse,
  /// No response and no effect.
  LostRequest,
  /// The store refuses the value.
  Refused,
  /// No connection to the store.
  Unreachable
};

} // namespace savorylb

#endif // SAVORYCTL_MOCK_FAULT_H
