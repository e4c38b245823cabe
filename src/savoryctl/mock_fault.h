#ifndef SAVORYCTL_MOCK_FAULT_H
#define SAVORYCTL_MOCK_FAULT_H

namespace savorylb {

/// Fault of one compare-and-swap of the mock store.
enum class MockFault { None, LostResponse, LostRequest, Refused, Unreachable };

} // namespace savorylb

#endif // SAVORYCTL_MOCK_FAULT_H
