#include "citron/node/feed_client.h"

#include <fmt/format.h>

#include <utility>

#include "citron/base/digest.h"

namespace citron {

feed_client::feed_client(event_loop& loop, const vm_id& own)
    : own_(own),
      // Another start counts from elsewhere: an answer that was recorded before
      // it is no answer now.
      last_number_(HashBytes(RandomHex(8))),
      client_(loop) {}

void feed_client::Ask(const vm_listing& relay, feed_question question,
                      monotonic_time deadline, on_answer done) {
  question.asker = own_;
  question.number = ++last_number_;
  client_.Call(
      relay.peer, MakeFeedRequest(question, relay.secret), deadline,
      [done = std::move(done), secret = relay.secret, number = question.number](
          const http_response* response, const call_failure& failure) {
        if (response == nullptr) {
          return done(MakeError(error_code::kUnavailable,
                                std::string(CallProblemName(failure.problem))));
        }
        const result<feed_answer> answer = ReadFeedResponse(*response, secret);
        if (IsOk(answer) && ValueOf(answer).number != number) {
          return done(
              MakeError(error_code::kInvalid, "answers another question"));
        }
        done(answer);
      });
}

}  // namespace citron
