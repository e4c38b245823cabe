#ifndef SAVORYLB_STORED_ANSWER_H
#define SAVORYLB_STORED_ANSWER_H

#include <string>
#include <utility>
#include <vector>

namespace savorylb {

/// A target's response, stored to answer repeats of the request.
struct StoredAnswer {
  int Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  /// False when the body was too large to be stored.
  bool BodyKept = true;
};

} // namespace savorylb

#endif // SAVORYLB_STORED_ANSWER_H
