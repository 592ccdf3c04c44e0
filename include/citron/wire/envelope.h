#ifndef CITRON_WIRE_ENVELOPE_H_
#define CITRON_WIRE_ENVELOPE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "citron/base/result.h"

namespace citron {

// What every message between daemons is wrapped in. The sender's name is
// "vm/role/loop"; the incarnation is larger in each later process of that name.
struct envelope {
  std::string sender;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::string to;  // The listening endpoint that the message is meant for.
  std::uint32_t type = 0;
  std::string body;
};

inline constexpr std::size_t kMaxEnvelopeBytes = 8u << 20;

// Encodes the envelope with an HMAC over all of it.
std::string SealEnvelope(std::string_view secret, const envelope& message);

// Takes hostile bytes: an error for anything that is not an envelope sealed
// with the same secret for the endpoint `to`.
result<envelope> OpenEnvelope(std::string_view secret, std::string_view to,
                              std::string_view bytes);

// Drops a message that was seen before, or that an earlier incarnation of its
// sender sent. Without it a recorded message could be played again.
class replay_guard {
 public:
  // Whether the message is new; remembers it if so.
  bool Accept(const envelope& message);

 private:
  struct last_seen {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };
  std::unordered_map<std::string, last_seen> senders_;
};

}  // namespace citron

#endif  // CITRON_WIRE_ENVELOPE_H_
