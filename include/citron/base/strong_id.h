#ifndef CITRON_BASE_STRONG_ID_H_
#define CITRON_BASE_STRONG_ID_H_

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace citron {

// A name that can't be mistaken for a name of another kind.
template <class Tag>
class strong_id {
 public:
  strong_id() = default;
  explicit strong_id(std::string value) : value_(std::move(value)) {}

  const std::string& Str() const { return value_; }
  bool IsEmpty() const { return value_.empty(); }

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a default <=>.
  friend auto operator<=>(const strong_id&, const strong_id&) = default;

 private:
  std::string value_;
};

using workspace_id = strong_id<struct workspace_tag>;
using vm_id = strong_id<struct vm_tag>;
using zone_id = strong_id<struct zone_tag>;
using region_id = strong_id<struct region_tag>;
using upstream_id = strong_id<struct upstream_tag>;
using service_id = strong_id<struct service_tag>;
using request_id = strong_id<struct request_tag>;

}  // namespace citron

template <class Tag>
struct std::hash<citron::strong_id<Tag>> {
  std::size_t operator()(const citron::strong_id<Tag>& id) const {
    return std::hash<std::string>()(id.Str());
  }
};

#endif  // CITRON_BASE_STRONG_ID_H_
