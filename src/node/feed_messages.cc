#include "citron/node/feed_messages.h"

#include <fmt/format.h>

#include <tuple>

#include "citron/base/digest.h"
#include "citron/wire/codec.h"
#include "citron/wire/fields.h"

namespace citron {

// Found by the codec as functions of this namespace.
auto WireFields(log_position& position) {
  return std::tie(position.log, position.offset);
}

auto WireFields(feed_question& question) {
  return std::tie(question.asker, question.number, question.after,
                  question.revision, question.wants_whole_copy, question.wait);
}

auto WireFields(feed_answer& answer) {
  return std::tie(answer.number, answer.is_whole_copy, answer.revision,
                  answer.head, answer.digest, answer.held, answer.proof_age,
                  answer.lapsed_left, answer.changes);
}

auto WireFields(store_item& item) {
  return std::tie(item.key, item.value, item.revision);
}

auto WireFields(key_change& change) {
  return std::tie(change.what, change.item);
}

}  // namespace citron

MSGPACK_ADD_ENUM(citron::key_change::kind)

namespace citron {

namespace {

constexpr char kSealHeader[] = "Citron-Seal";
// Sealed before the bytes, so that no question can be sent back as an answer.
constexpr std::string_view kQuestion = "question\n";
constexpr std::string_view kAnswer = "answer\n";
constexpr int kOk = 200;
constexpr int kNotCurrent = 503;

http_headers SealedHeaders(std::string_view direction, std::string_view body,
                           std::string_view secret) {
  return {{"Content-Type", "application/msgpack"},
          {kSealHeader, HmacSha256Hex(secret, direction, body)}};
}

bool IsSealed(const http_headers& headers, std::string_view direction,
              std::string_view body, std::string_view secret) {
  const std::string_view seal = FindHeader(headers, kSealHeader).value_or("");
  return !secret.empty() &&
         EqualInConstantTime(seal, HmacSha256Hex(secret, direction, body));
}

}  // namespace

http_request MakeFeedRequest(const feed_question& question,
                             std::string_view secret) {
  std::string body = EncodeWire(question);
  http_headers headers = SealedHeaders(kQuestion, body, secret);
  return {"POST", kFeedPath, std::move(headers), std::move(body)};
}

result<feed_question> ReadFeedRequest(const http_request& request,
                                      std::string_view secret) {
  if (!IsSealed(request.headers, kQuestion, request.body, secret)) {
    return MakeError(error_code::kInvalid, "the seal does not match");
  }
  return DecodeWire<feed_question>(request.body);
}

http_response MakeFeedResponse(const feed_answer& answer,
                               std::string_view secret) {
  std::string body = EncodeWire(answer);
  http_headers headers = SealedHeaders(kAnswer, body, secret);
  return {{kOk, std::move(headers)}, std::move(body)};
}

result<feed_answer> ReadFeedResponse(const http_response& response,
                                     std::string_view secret) {
  if (response.head.status != kOk) {
    return MakeError(response.head.status == kNotCurrent
                         ? error_code::kNotFound
                         : error_code::kUnavailable,
                     fmt::format("HTTP status {}", response.head.status));
  }
  if (!IsSealed(response.head.headers, kAnswer, response.body, secret)) {
    return MakeError(error_code::kInvalid, "the seal does not match");
  }
  return DecodeWire<feed_answer>(response.body);
}

}  // namespace citron
