#ifndef CITRON_ENTRY_CLIENT_DIRECTORY_H_
#define CITRON_ENTRY_CLIENT_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "citron/config/fleet_config.h"
#include "citron/net/event_loop.h"
#include "citron/policy/client_table.h"
#include "citron/policy/vm_ranker.h"
#include "citron/wire/messages.h"

namespace citron {

// Where callers are, and which entry VMs to send them to.
class client_directory {
 public:
  // `config` must outlive the directory.
  client_directory(event_loop& loop, const fleet_config& config,
                   const vm_ranker_options& options);

  // The configuration has changed. Its blocks of clients count a few turns of
  // the loop later.
  void OnConfig();
  void OnVms(const std::map<vm_id, vm_seen>& vms);

  // Null for an address in no block; until the next turn of the loop only.
  const client_site* SiteOf(std::uint32_t address) const {
    return clients_->Find(address);
  }
  vm_answer Rank(const client_site& site, std::uint64_t caller,
                 monotonic_time now) const {
    return ranker_.Rank(&site, caller, now);
  }
  // The configuration's client_version whose blocks count.
  std::uint64_t ClientVersion() const { return version_; }

 private:
  void Continue();

  const fleet_config& config_;
  vm_ranker ranker_;
  std::shared_ptr<const client_table> clients_;
  std::uint64_t version_ = 0;

  // The next table: first its routes are read, up to `last_read_`, then it is
  // built from them.
  std::uint64_t next_version_ = 0;
  client_table::route_map routes_;
  std::string last_read_;
  std::optional<client_table_builder> builder_;
  loop_timer timer_;
};

}  // namespace citron

#endif  // CITRON_ENTRY_CLIENT_DIRECTORY_H_
