#ifndef SAVORYCTL_MOCK_FAULT_H
#define SAVORYCTL_MOCK_FAULT_H

namespace savorylb {

/// How one compare-and-swap of the mock goes wrong.
enum class MockFault { None, LostResponse, LostRequest, Refused, Unreachable };

} // namespace savorylb

#endif // SAVORYCTL_MOCK_FAULT_H
