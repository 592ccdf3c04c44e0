#ifndef NODE_OWN_ANSWER_H_
#define NODE_OWN_ANSWER_H_

#include <string>

#include "citron/base/time.h"
#include "citron/base/verdict.h"
#include "citron/node/caller_exchange.h"
#include "citron/node/header_names.h"

namespace citron {

// An answer that this system gives in place of an upstream's.
struct own_answer {
  int status = 0;
  const char* reason = "";
  verdict ran = verdict::kNotRun;
  duration retry_after{};  // Zero: not said.
};

void ReplyOwn(const own_answer& answer, const std::string& request_id,
              const header_names& names, caller_exchange& exchange);

}  // namespace citron

#endif  // NODE_OWN_ANSWER_H_
