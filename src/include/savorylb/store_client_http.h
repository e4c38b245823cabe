#ifndef SAVORYLB_STORE_CLIENT_HTTP_H
#define SAVORYLB_STORE_CLIENT_HTTP_H

#include "savorylb/store_client.h"

#include <string>

namespace savorylb {

/// Creates a client for the store's HTTP interface.
/// \param baseUrl URL of the store, such as `http://127.0.0.1:8500`.
/// \param timeout limit of each call, in addition to the wait of a blocking
/// query.
/// \returns the client, which is thread-safe.
StoreClient makeHttpStoreClient(const std::string &baseUrl, Duration timeout);

} // namespace savorylb

#endif // SAVORYLB_STORE_CLIENT_HTTP_H
