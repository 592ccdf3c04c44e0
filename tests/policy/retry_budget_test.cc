#include "citron/policy/retry_budget.h"

#include <boost/test/unit_test.hpp>

// Every first attempt fails for a while. Retries must not multiply the load of
// the upstreams.
BOOST_AUTO_TEST_CASE(RetriesAreAShareOfTheTraffic) {
  citron::retry_budget budget(0.1);
  int retries = 0;
  for (int i = 0; i < 10000; ++i) {
    budget.OnRequest();
    while (budget.TryTake()) ++retries;
  }
  BOOST_TEST(retries <= 1011);
  BOOST_TEST(retries >= 1000);
}
