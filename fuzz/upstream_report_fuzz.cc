#include "citron/dispatch/upstream_probe.h"
#include "fuzz/require.h"

namespace citron {
namespace {

void Try(std::string_view text) {
  const upstream_report report = ParseUpstreamReport(text);
  Require(report.in_flight >= 0 && report.queued >= 0);
}

}  // namespace
}  // namespace citron

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  citron::Try(citron::TextOf(data, size));
  return 0;
}
