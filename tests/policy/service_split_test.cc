#include "citron/policy/service_split.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "citron/base/digest.h"

namespace citron {
namespace {

service_weight Weighted(const char* service, double weight) {
  return {service_id(service), weight};
}

BOOST_AUTO_TEST_CASE(OneServiceGetsAllRequests) {
  service_split split;
  split.SetServices({Weighted("a", 0)});
  BOOST_TEST(split.Choose(1).Str() == "a");
}

// One object has nine of ten requests. By hash alone its whole load would go to
// one service, and the weights of the operator would be missed by far.
BOOST_AUTO_TEST_CASE(AHotObjectKeepsTheWeights) {
  service_split split;
  split.SetServices({Weighted("a", 70), Weighted("b", 30)});
  std::map<std::string, int> counts;
  for (int i = 0; i < 1000; ++i) {
    const int object = i % 10 == 0 ? i : -1;
    ++counts[split.Choose(HashBytes(std::to_string(object))).Str()];
  }
  BOOST_TEST(counts["a"] >= 690);
  BOOST_TEST(counts["a"] <= 710);
}

BOOST_AUTO_TEST_CASE(AServiceWithoutWeightGetsNoRequests) {
  service_split split;
  split.SetServices({Weighted("a", 0), Weighted("b", 10)});
  for (std::uint64_t i = 0; i < 200; ++i) {
    BOOST_TEST(split.Choose(HashBytes(std::to_string(i))).Str() == "b");
  }
}

}  // namespace
}  // namespace citron
