#ifndef SAVORYLB_STORED_ANSWER_H
#define SAVORYLB_STORED_ANSWER_H

#include <string>
#include <utility>
#include <vector>

namespace savorylb {

/// A target's response, kept to answer repeats.
struct StoredAnswer {
  int Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  bool BodyKept = true;
};

} // namespace savorylb

#endif // SAVORYLB_STORED_ANSWER_H
