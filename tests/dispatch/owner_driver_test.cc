#include "citron/dispatch/owner_driver.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace citron {
namespace {

// Each loop of a dispatch owns upstreams by itself; two with one name would
// both take those of the other for theirs.
BOOST_AUTO_TEST_CASE(EachLoopHasANameOfItsOwn) {
  const vm_id vm("scl-a-1");
  BOOST_TEST(owner_driver::MemberName(vm, 0).Str() == "scl-a-1");
  BOOST_TEST(owner_driver::MemberName(vm, 1).Str() == "scl-a-1/1");
  std::set<std::string> names;
  for (const char* name : {"a", "a1", "a11"}) {
    for (int loop = 0; loop < 12; ++loop) {
      names.insert(owner_driver::MemberName(vm_id(name), loop).Str());
    }
  }
  BOOST_TEST(names.size() == 36u);
}

}  // namespace
}  // namespace citron
