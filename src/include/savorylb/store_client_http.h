#ifndef SAVORYLB_STORE_CLIENT_HTTP_H
#define SAVORYLB_STORE_CLIENT_HTTP_H

#include "savorylb/store_client.h"
#include "savorylb/units.h"

#include <string>

namespace savorylb {

/// Connects the store client to a store's HTTP interface (section 11 of the
/// design page).
/// \param baseUrl such as `http://127.0.0.1:8500`.
/// \param timeout limit of one call; a watch adds its own waiting time.
/// \returns the client; it connects on its first call.
StoreClient makeHttpStoreClient(const std::string &baseUrl, Duration timeout);

} // namespace savorylb

#endif // SAVORYLB_STORE_CLIENT_HTTP_H
