#ifndef SAVORYLB_LIB_CONFIG_PARTS_H
#define SAVORYLB_LIB_CONFIG_PARTS_H

#include "config_names.h"
#include "json_fields.h"

#include "savorylb/config.h"

namespace savorylb {

/// Reads regions, links, sites and client blocks.
void readNetwork(JsonFields &root, const ConfigNames &names, Config &out);
/// Reads services and their targets.
void readServices(JsonFields &root, const ConfigNames &names, Config &out);
/// Renders templates and reads the teams.
void readTeams(JsonFields &root, const ConfigNames &names, Config &out);
/// Reads rollouts; services must have been read before.
void readRollouts(JsonFields &root, const ConfigNames &names, Config &out);

} // namespace savorylb

#endif // SAVORYLB_LIB_CONFIG_PARTS_H
