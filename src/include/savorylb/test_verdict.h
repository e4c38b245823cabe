#ifndef SAVORYLB_TEST_VERDICT_H
#define SAVORYLB_TEST_VERDICT_H

namespace savorylb {

/// What a sequential test says so far.
enum class TestVerdict { Undecided, NoWorse, Worse };

} // namespace savorylb

#endif // SAVORYLB_TEST_VERDICT_H
