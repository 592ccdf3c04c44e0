#include "citron/node/answer_signals.h"

#include "fuzz/require.h"

namespace citron {
namespace {

// The text stands for the value of each header.
void Try(std::string_view text) {
  header_names names;
  names.load = "Load";
  names.rate_limit = "Limit";
  names.pause = "Pause";
  names.leaving = "Leaving";
  http1_head head;
  head.status = 503;
  for (const std::string& name :
       {names.load, names.rate_limit, names.pause, names.leaving}) {
    head.headers.push_back({name, std::string(text)});
  }
  const answer_signals signals = ReadAnswerSignals(head, names);
  if (signals.load) Require(signals.load->running >= 0);
  if (signals.rate_limit_per_s.value) {
    Require(*signals.rate_limit_per_s.value >= 0);
  }
  Require(signals.pause.named && signals.pause.text == text);
  if (!signals.pause.value) return;
  Require(*signals.pause.value >= duration::zero());
  Require(*signals.pause.value <= kLongestPause);
}

}  // namespace
}  // namespace citron

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  citron::Try(citron::TextOf(data, size));
  return 0;
}
