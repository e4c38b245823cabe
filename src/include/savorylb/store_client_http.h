#ifndef SAVORYLB_STORE_CLIENT_HTTP_H
#define SAVORYLB_STORE_CLIENT_HTTP_H

#include "savorylb/store_client.h"

#include <string>

namespace savorylb {

/// Makes a client for the store's HTTP interface.
/// \param baseUrl such as `http://127.0.0.1:8500`.
/// \param timeout limit for each call, beyond the wait of a blocking query.
/// \returns the client; it may be used by several threads.
StoreClient makeHttpStoreClient(const std::string &baseUrl, Duration timeout);

} // namespace savorylb

#endif // SAVORYLB_STORE_CLIENT_HTTP_H
