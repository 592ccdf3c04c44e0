#include "citron/link/forward_head.h"
#include "fuzz/require.h"

namespace citron {
namespace {

constexpr char kSecret[] = "a secret of the fleet";

// The lines are headers of a caller's, then one is added to a sealed head.
void Try(std::string_view text) {
  http_headers headers;
  forward_head head;
  head.id = request_id(std::string(TakeLine(text)));
  head.workspace = workspace_id(std::string(TakeLine(text)));
  head.service = service_id(std::string(TakeLine(text)));
  head.caller_request_id = std::string(TakeLine(text));
  head.time_left = FromMilliseconds(static_cast<double>(text.size()));
  while (!text.empty()) {
    const std::string_view line = TakeLine(text);
    const std::size_t colon = line.find(':');
    const std::string name(line.substr(0, colon));
    const std::string value(
        colon == std::string_view::npos ? "" : line.substr(colon + 1));
    MayReturnHeader(name);
    if (MayForwardHeader(name)) headers.push_back({name, value});
  }
  const forward_subject subject{"GET", "/target", "body"};
  Require(!IsOk(ReadForwardHeaders(headers, subject, kSecret)));
  AddForwardHeaders(head, subject, kSecret, headers);
  const result<forward_head> read =
      ReadForwardHeaders(headers, subject, kSecret);
  Require(IsOk(read));
  Require(ValueOf(read).workspace == head.workspace);
  Require(ValueOf(read).caller_request_id == head.caller_request_id);
  Require(
      !IsOk(ReadForwardHeaders(headers, {"GET", "/other", "body"}, kSecret)));
  forward_replay_window window;
  if (window.Accept(head.id)) Require(!window.Accept(head.id));
}

}  // namespace
}  // namespace citron

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  citron::Try(citron::TextOf(data, size));
  return 0;
}
