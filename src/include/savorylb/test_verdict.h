#ifndef SAVORYLB_TEST_VERDICT_H
#define SAVORYLB_TEST_VERDICT_H

namespace savorylb {

/// Result of a sequential test so far.
enum class TestVerdict { Undecided, NoWorse, Worse };

} // namespace savorylb

#endif // SAVORYLB_TEST_VERDICT_H
