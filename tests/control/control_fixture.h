#ifndef TESTS_CONTROL_CONTROL_FIXTURE_H_
#define TESTS_CONTROL_CONTROL_FIXTURE_H_

#include <boost/test/unit_test.hpp>
#include <memory>
#include <trompeloeil.hpp>

#include "citron/control/control_context.h"
#include "net/loop_fixture.h"
#include "platform/mock_platform_store.h"

namespace citron {

// What the parts of a control share, with a mock in the store's place.
class control_fixture : public loop_fixture {
 public:
  control_fixture() {
    settings_.common.vm = vm_id("a");
    settings_.common.zone = zone_id("z1");
    peer_socket_options options;
    options.name = "a/control/0";
    options.secret = "a secret of the fleet";
    options.listen = {"127.0.0.1", 0};
    auto made = peer_socket::Make(Loop(), options, [](const envelope&) {});
    BOOST_REQUIRE(IsOk(made));
    peers_ = std::move(ValueOf(made));
    context_ = std::make_unique<control_context>(
        control_context{Loop(), settings_, store_, *peers_, stats_, 1});
  }

  mock_platform_store& Store() { return store_; }
  const control_context& Context() const { return *context_; }

 private:
  control_settings settings_;
  mock_platform_store store_;
  metrics stats_;
  std::unique_ptr<peer_socket> peers_;
  std::unique_ptr<control_context> context_;
};

}  // namespace citron

#endif  // TESTS_CONTROL_CONTROL_FIXTURE_H_
