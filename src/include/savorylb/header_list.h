#ifndef SAVORYLB_HEADER_LIST_H
#define SAVORYLB_HEADER_LIST_H

#include <string>
#include <utility>
#include <vector>

namespace savorylb {

/// HTTP header fields in their order; a name may occur more than once.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

} // namespace savorylb

#endif // SAVORYLB_HEADER_LIST_H
