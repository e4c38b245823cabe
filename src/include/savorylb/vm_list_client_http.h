#ifndef SAVORYLB_VM_LIST_CLIENT_HTTP_H
#define SAVORYLB_VM_LIST_CLIENT_HTTP_H

#include "savorylb/vm_list_client.h"

#include <string>

namespace savorylb {

/// Creates an HTTP client for the platform's VM list.
/// \param url URL of the list, such as `http://127.0.0.1:8500/v1/vms`.
/// \param timeout limit of each call.
/// \returns the client, which is thread-safe.
VmListClient makeHttpVmListClient(const std::string &url, Duration timeout);

} // namespace savorylb

#endif // SAVORYLB_VM_LIST_CLIENT_HTTP_H
