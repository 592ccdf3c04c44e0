#ifndef CITRON_CTL_DEPLOYMENT_FILES_H_
#define CITRON_CTL_DEPLOYMENT_FILES_H_

#include <map>
#include <string>

#include "citron/base/result.h"
#include "citron/ctl/deployment.h"

namespace citron {

// Names of files, with directories, and what is in them:
//   declarations.json     topology, upstreams and contracts, for apply
//   platform.json         the platform stand-in's list of VMs
//   upstreams-ZONE.json   the upstream stand-in's settings
//   VM/control.json, VM/entry.json, VM/dispatch.json
//   fleet.json            for citronctl --fleet
//   load.json             for citron_load
using file_set = std::map<std::string, std::string>;

// A whole fleet on addresses of 127.0.0.0/8. `address_base` is the first two
// numbers, "127.20"; anything outside of 127 is an error.
//   base.Z.N      VM N of zone Z: control 7101 (peers) and 7102 (pages),
//                 entry 7200, 7201, 7202, dispatch 7300, 7301, 7302
//   base.100+Z.N  upstream N of zone Z, port 8000
//   base.200.1    platform, port 7401
result<file_set> MakeDeploymentFiles(const deployment& deployed,
                                     const std::string& address_base);

}  // namespace citron

#endif  // CITRON_CTL_DEPLOYMENT_FILES_H_
