#ifndef CITRON_CTL_FLEET_STATUS_H_
#define CITRON_CTL_FLEET_STATUS_H_

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/config/fleet_config.h"
#include "citron/ctl/task_waiter.h"
#include "citron/net/http_client.h"

namespace citron {

// Where a control's status page is; the VM's name is empty until it answered.
struct control_address {
  vm_id vm;
  zone_id zone;
  endpoint status;
};

// What a control says of itself on its page.
struct vm_status {
  vm_id vm;
  zone_id zone;
  region_id region;
  config_revision revision = 0;
  std::string state;
  // Other controls that it knows and whose pages' addresses it tells.
  std::vector<control_address> members;
  nlohmann::json page;
};

result<vm_status> ParseVmStatus(std::string_view body);

// {"vms": [{"vm", "zone", "region", "status": "ip:port"}]}
result<std::vector<control_address>> ParseFleetFile(std::string_view text);

class status_source {
 public:
  using on_status = std::function<void(result<vm_status>)>;

  virtual ~status_source() = default;
  virtual void Fetch(const endpoint& control, monotonic_time deadline,
                     on_status done) = 0;
};

class http_status_source final : public status_source {
 public:
  explicit http_status_source(event_loop& loop) : client_(loop) {}
  void Fetch(const endpoint& control, monotonic_time deadline,
             on_status done) override;

 private:
  http_client client_;
};

// One control, reached or not.
struct control_view {
  control_address address;
  std::optional<vm_status> status;
  std::string problem;  // Why it was not reached.
};

enum class zone_progress { kInForce, kBehind, kNotReached };

std::string_view ZoneProgressName(zone_progress progress);

// How far a revision has come.
struct spread_report {
  std::map<zone_id, zone_progress> zones;
  // Controls that did not answer and whose zone is not known.
  std::vector<endpoint> unknown_controls;

  bool IsInForceEverywhere() const;
  // Whether each control that answers has it.
  bool IsInForceWhereReached() const;
};

spread_report MakeSpreadReport(const std::vector<control_view>& views,
                               config_revision revision);

// Reads the controls' pages.
class fleet_reader {
 public:
  fleet_reader(status_source& source, task_waiter& waiter,
               std::vector<control_address> controls);

  bool IsEmpty() const { return controls_.empty(); }
  // Asks all controls, then those that they tell of.
  std::vector<control_view> Read(duration call_limit);
  // Reads until each control that answers has the revision, or the deadline.
  spread_report WaitFor(config_revision revision, monotonic_time deadline);

 private:
  std::vector<control_view> ReadEach(
      const std::vector<control_address>& controls, duration call_limit);
  std::vector<control_address> AddNewMembers(
      const std::vector<control_view>& views);

  status_source& source_;
  task_waiter& waiter_;
  std::vector<control_address> controls_;
};

}  // namespace citron

#endif  // CITRON_CTL_FLEET_STATUS_H_
