#ifndef SAVORYLB_STANDINS_STORE_INTERFACE_H
#define SAVORYLB_STANDINS_STORE_INTERFACE_H

#include "store_state.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace savorylb::standin {

/// Handles a call on the data port: keys, sessions and the VM list.
void handleStoreCall(StoreState &state, Poco::Net::HTTPServerRequest &req,
                     Poco::Net::HTTPServerResponse &resp);

/// Handles a call on the control port: faults, the VM list and counts.
void handleControlCall(StoreState &state, Poco::Net::HTTPServerRequest &req,
                       Poco::Net::HTTPServerResponse &resp);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_STORE_INTERFACE_H
