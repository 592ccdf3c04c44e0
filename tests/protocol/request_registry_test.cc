#include "citron/protocol/request_registry.h"

#include <boost/test/unit_test.hpp>
#include <trompeloeil.hpp>

#include "citron/base/digest.h"

namespace citron {

using begin_answer::already_running;
using begin_answer::answered;
using begin_answer::expired;
using begin_answer::fingerprint_differs;
using begin_answer::full;
using begin_answer::other_issuer;
using begin_answer::refused;
using begin_answer::run;

namespace {

class mock_mac : public request_id_mac {
 public:
  MAKE_CONST_MOCK1(Compute, std::string(std::string_view), override);
};

// Provides a MAC that computes the fleet's HMAC.
struct fixture {
  mock_mac mac;
  std::unique_ptr<trompeloeil::expectation> computes =
      NAMED_ALLOW_CALL(mac, Compute(trompeloeil::_))
          .RETURN(HmacSha256Hex("secret", _1));

  request_registry Make(incarnation_number incarnation,
                        std::size_t max_ids = 100) {
    request_registry_options options;
    options.vm = vm_id("vm-1.scl");
    options.incarnation = incarnation;
    options.lifetime = FromSeconds(60);
    options.max_ids = max_ids;
    return {options, mac};
  }
};

monotonic_time At(double seconds) {
  return monotonic_time() + FromSeconds(seconds);
}

request_id Issue(request_registry& registry, double seconds) {
  const result<request_id> issued = registry.IssueId(At(seconds));
  BOOST_REQUIRE(IsOk(issued));
  return ValueOf(issued);
}

template <class T>
bool Is(const begin_result& answer) {
  return std::holds_alternative<T>(answer);
}

}  // namespace

// The answer of a booking is lost, and the caller repeats the request once
// while the first is in flight and once after. The request must run once.
BOOST_FIXTURE_TEST_CASE(RepeatedRequestRunsOnce, fixture) {
  request_registry registry = Make(7);
  const request_id id = Issue(registry, 1);
  BOOST_TEST(Is<run>(registry.Begin(id, 5, At(2))));
  BOOST_TEST(Is<already_running>(registry.Begin(id, 5, At(3))));
  registry.OnOutcome(id, verdict::kRan, 201);
  const begin_result again = registry.Begin(id, 5, At(4));
  BOOST_REQUIRE(Is<answered>(again));
  BOOST_TEST((std::get<answered>(again).ran == verdict::kRan));
  BOOST_TEST(std::get<answered>(again).status == 201);
  // A late kNotRun doesn't undo the outcome kRan.
  registry.OnOutcome(id, verdict::kNotRun, 503);
  BOOST_TEST(Is<answered>(registry.Begin(id, 5, At(5))));
}

// A request was rejected before any byte of it was sent. The caller may try
// again.
BOOST_FIXTURE_TEST_CASE(NotRunFreesTheId, fixture) {
  request_registry registry = Make(7);
  const request_id id = Issue(registry, 1);
  registry.Begin(id, 5, At(2));
  registry.OnOutcome(id, verdict::kNotRun, 503);
  BOOST_TEST(Is<run>(registry.Begin(id, 5, At(3))));
}

// The process that ran a request is replaced. The successor can't know whether
// the request ran and must not run it.
BOOST_FIXTURE_TEST_CASE(OnlyTheIssuerRuns, fixture) {
  request_registry old = Make(7);
  request_registry successor = Make(8);
  const request_id id = Issue(old, 1);
  const begin_result answer = successor.Begin(id, 5, At(2));
  BOOST_REQUIRE(Is<other_issuer>(answer));
  BOOST_TEST(std::get<other_issuer>(answer).incarnation == 7u);
}

// A caller keeps an id until the registry has dropped it, then sends it.
BOOST_FIXTURE_TEST_CASE(ExpiredIdIsNeverRun, fixture) {
  request_registry registry = Make(7);
  const request_id used = Issue(registry, 1);
  const request_id unused = Issue(registry, 1);
  registry.Begin(used, 5, At(2));
  BOOST_TEST(Is<already_running>(registry.Begin(used, 5, At(60.9))));
  BOOST_TEST(Is<expired>(registry.Begin(used, 5, At(61))));
  BOOST_TEST(Is<expired>(registry.Begin(unused, 5, At(61))));
  BOOST_TEST(registry.Size() == 0u);
}

// A client reuses an id for another request by mistake. An answer with the
// outcome of the first request would silently lose the second.
BOOST_FIXTURE_TEST_CASE(OtherRequestWithTheSameIdIsDetected, fixture) {
  request_registry registry = Make(7);
  const request_id id = Issue(registry, 1);
  registry.Begin(id, 5, At(2));
  BOOST_TEST(Is<fingerprint_differs>(registry.Begin(id, 6, At(3))));
}

// More ids are run than the registry can hold. Dropping an id would let it run
// twice.
BOOST_FIXTURE_TEST_CASE(FullRegistryRefusesInsteadOfDropping, fixture) {
  request_registry registry = Make(7, 2);
  const request_id a = Issue(registry, 1);
  const request_id b = Issue(registry, 2);
  const request_id c = Issue(registry, 3);
  registry.Begin(a, 1, At(4));
  registry.Begin(b, 1, At(4));
  BOOST_TEST(Is<full>(registry.Begin(c, 1, At(4))));
  BOOST_TEST(!IsOk(registry.IssueId(At(4))));
  BOOST_TEST(Is<already_running>(registry.Begin(a, 1, At(5))));
  BOOST_TEST(Is<run>(registry.Begin(c, 1, At(61))));
}

// Ids are forged, altered or malformed.
BOOST_FIXTURE_TEST_CASE(ForgedAndMalformedIdsAreRefused, fixture) {
  request_registry registry = Make(7);
  const std::string good = Issue(registry, 1).Str();
  for (std::size_t at = 0; at < good.size(); ++at) {
    for (const char c : {'0', '1', 'a', '.', '\0', '\xff'}) {
      std::string bad = good;
      bad[at] = c;
      if (bad == good) continue;
      BOOST_TEST_INFO(bad);
      BOOST_TEST(Is<refused>(registry.Begin(request_id(bad), 5, At(2))));
    }
    const request_id cut(good.substr(0, at));
    BOOST_TEST(Is<refused>(registry.Begin(cut, 5, At(2))));
  }
  for (const char* bad :
       {"", "....", "a.1.1.1.", "a.01.1.1.ab", "a.1.+1.1.ab", ".1.1.1.ab",
        "a.1.1.99999999999999999999.ab", "a b.1.1.1.ab", "a.1.1.1.AB"}) {
    BOOST_TEST_INFO(bad);
    BOOST_TEST(!ParseRequestId(bad).has_value());
  }
  BOOST_TEST(!ParseRequestId(std::string(10000, '1')).has_value());
  BOOST_TEST(ParseRequestId(good)->vm.Str() == "vm-1.scl");
  BOOST_TEST(registry.Size() == 0u);
}

}  // namespace citron
