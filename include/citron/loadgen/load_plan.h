#ifndef CITRON_LOADGEN_LOAD_PLAN_H_
#define CITRON_LOADGEN_LOAD_PLAN_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"

namespace citron {

struct planned_workspace {
  std::string name;
  double rate_per_s = 0;  // Of its contract.
  double burst = 0;
  std::string key;
};

// A kind of request and how often it is sent.
struct planned_request {
  std::string service;
  std::string class_name;
  std::string path_prefix;
  std::string method = "GET";
  bool once = false;  // Sent with a request id.
  int answer_bytes = 0;
  double mix = 0;  // Weight among all kinds.
};

// What callers send: the load.json of an expanded deployment.
struct load_plan {
  std::vector<endpoint> entries;
  std::vector<planned_workspace> workspaces;
  std::vector<planned_request> requests;
};

// Whether the address is in 127.0.0.0/8.
bool IsLoopback(const endpoint& address);

// An entry that is not on loopback is an error.
result<load_plan> ParseLoadPlan(std::string_view text);

// Lines "WORKSPACE KEY". Each workspace of the plan must have one.
status AddKeys(std::string_view lines, load_plan& plan);

// Entries as a look-up ranks them.
struct ranked_entry {
  endpoint address;
  double weight = 1;
};

struct lookup_answer {
  std::vector<ranked_entry> entries;
  double expires_ms = 0;  // From now on.
};

// Only entries on loopback are taken over; none is an error.
result<lookup_answer> ParseLookup(std::string_view body);

result<std::vector<std::string>> ParseRequestIds(std::string_view body);

}  // namespace citron

#endif  // CITRON_LOADGEN_LOAD_PLAN_H_
