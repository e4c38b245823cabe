#ifndef SAVORYLB_ERROR_H
#define SAVORYLB_ERROR_H

#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/result.hpp>
#include <string>

namespace savorylb {

/// Kinds of errors that callers handle differently.
enum class ErrorCode {
  InvalidArgument,
  NotFound,
  Conflict,
  Unavailable,
  Timeout,
  /// The call may or may not have taken effect.
  Unknown,
  Refused,
  Malformed,
};

/// An error with a message for operators.
struct Error {
  ErrorCode Code = ErrorCode::Unknown;
  std::string Message;
};

/// A value or an Error.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Creates the error of a Result.
inline auto failure(ErrorCode code, std::string message) {
  return BOOST_OUTCOME_V2_NAMESPACE::failure(Error{code, std::move(message)});
}

} // namespace savorylb

#endif // SAVORYLB_ERROR_H
