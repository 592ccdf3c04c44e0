#ifndef TESTS_PLATFORM_MOCK_PLATFORM_STORE_H_
#define TESTS_PLATFORM_MOCK_PLATFORM_STORE_H_

#include <trompeloeil.hpp>

#include "citron/platform/platform_store.h"

namespace citron {

class mock_platform_store : public trompeloeil::mock_interface<platform_store> {
 public:
  IMPLEMENT_MOCK3(Get);
  IMPLEMENT_MOCK3(Put);
  IMPLEMENT_MOCK4(Remove);
  IMPLEMENT_MOCK3(Range);
  IMPLEMENT_MOCK5(Watch);
  IMPLEMENT_MOCK3(GrantLease);
  IMPLEMENT_MOCK3(RenewLease);
  IMPLEMENT_MOCK3(RevokeLease);
  IMPLEMENT_MOCK2(ListVms);
};

}  // namespace citron

#endif  // TESTS_PLATFORM_MOCK_PLATFORM_STORE_H_
