#include "citron/node/feed_relay.h"

#include <algorithm>
#include <utility>

namespace citron {

namespace {

// Whatever is asked for: connections of those who have gone without a word must
// not pile up.
constexpr duration kLongestHold = std::chrono::milliseconds(2000);

http_response Refusal(int status, const char* reason) {
  return {{status, {{"Content-Type", "text/plain"}}}, reason};
}

}  // namespace

feed_relay::feed_relay(node_context& context, const change_index& index,
                       std::string secret)
    : context_(context), index_(index), secret_(std::move(secret)) {}

bool feed_relay::IsCurrent(monotonic_time now) const {
  return context_.feed.CanServeOthers(now);
}

void feed_relay::OnQuestion(http_exchange& exchange) {
  const monotonic_time now = MonotonicNow();
  result<feed_question> read = ReadFeedRequest(exchange.Request(), secret_);
  if (!IsOk(read)) {
    context_.log.Write(
        "relay", "question_rejected",
        {{"from", exchange.PeerAddress()}, {"problem", ErrorOf(read).message}},
        now);
    return exchange.Reply(Refusal(401, "not_from_the_fleet"));
  }
  if (!IsCurrent(now)) return exchange.Reply(Refusal(503, "not_current"));
  const std::uint64_t place = ++last_place_;
  waiting_.push_back({place, &exchange, std::move(ValueOf(read)), now,
                      *context_.feed.ProvenAt()});
  exchange.OnGone([this, place] {
    std::erase_if(waiting_, [place](const waiting_question& waiting) {
      return waiting.place == place;
    });
  });
  Run(now);
}

void feed_relay::Run(monotonic_time now) {
  const bool current = IsCurrent(now);
  const auto is_due = [&](const waiting_question& waiting) {
    const duration wait = std::min(waiting.question.wait, kLongestHold);
    const bool has_new_proof =
        current && *context_.feed.ProvenAt() - waiting.proven_at >=
                       context_.feed.Options().proof_step;
    return !current || now >= waiting.asked_at + wait || has_new_proof ||
           waiting.question.wants_whole_copy ||
           index_.HasChangesAfter(waiting.question.after);
  };
  // An answer may bring the next question before this returns.
  const auto first_due =
      std::partition(waiting_.begin(), waiting_.end(),
                     [&](const auto& waiting) { return !is_due(waiting); });
  const std::vector<waiting_question> due(first_due, waiting_.end());
  waiting_.erase(first_due, waiting_.end());
  for (const waiting_question& waiting : due) {
    if (current) {
      Answer(waiting, now);
    } else {
      waiting.exchange->Reply(Refusal(503, "not_current"));
    }
  }
}

// Returns std::nullopt if only a whole copy helps.
std::optional<std::vector<key_change>> feed_relay::ChangesFor(
    const feed_question& question) const {
  if (question.wants_whole_copy) return std::nullopt;
  auto changes = index_.ChangesAfter(question.after);
  return changes ? changes : index_.ChangesSince(question.revision);
}

void feed_relay::Answer(const waiting_question& waiting, monotonic_time now) {
  feed_answer answer;
  answer.number = waiting.question.number;
  answer.revision = index_.Revision();
  answer.head = index_.Head();
  answer.digest = index_.Digest();
  answer.held = now - waiting.asked_at;
  answer.proof_age = now - *context_.feed.ProvenAt();
  answer.lapsed_left =
      std::max(duration::zero(), context_.feed.ExpiryGraceUntil() - now);
  std::optional<std::vector<key_change>> changes = ChangesFor(waiting.question);
  answer.is_whole_copy = !changes.has_value();
  answer.changes = changes ? std::move(*changes) : index_.WholeCopy();
  context_.stats.Count("citron_feed_answers_total", {});
  waiting.exchange->Reply(MakeFeedResponse(answer, secret_));
}

}  // namespace citron
