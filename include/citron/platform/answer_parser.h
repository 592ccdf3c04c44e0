#ifndef CITRON_PLATFORM_ANSWER_PARSER_H_
#define CITRON_PLATFORM_ANSWER_PARSER_H_

#include <string_view>
#include <vector>

#include "citron/base/result.h"
#include "citron/platform/platform_store.h"

namespace citron {

// Bodies of the platform's answers. Any bytes may come in; whatever is not
// exactly of the expected form is an error of kind kInvalid.
result<store_item> ParseStoreItem(std::string_view body);
result<store_revision> ParseRevision(std::string_view body);
result<write_conflict> ParseConflict(std::string_view body);
result<store_range> ParseRange(std::string_view body);
result<store_events> ParseEvents(std::string_view body);
result<lease_id> ParseLease(std::string_view body);
result<std::vector<vm_record>> ParseVms(std::string_view body);

}  // namespace citron

#endif  // CITRON_PLATFORM_ANSWER_PARSER_H_
