#include "citron/entry/client_directory.h"

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <utility>

#include "net/loop_fixture.h"

namespace citron {
namespace {

class directory_fixture : public loop_fixture {
 public:
  directory_fixture() : directory_(Loop(), config_, vm_ranker_options{}) {}

  client_directory& Directory() { return directory_; }

  // `count` blocks of 256 addresses from 10.0.0.0 on, all in `region`.
  void SetBlocks(int count, const std::string& region) {
    std::string blocks;
    for (int i = 0; i < count; ++i) {
      blocks += fmt::format(R"({}"10.{}.{}.0/24":{{"region":"{}"}})",
                            i == 0 ? "" : ",", i / 256, i % 256, region);
    }
    const status applied =
        ApplyConfigObject(config_, "config/clients/all",
                          fmt::format(R"({{"blocks":{{{}}}}})", blocks));
    BOOST_REQUIRE(IsOk(applied));
    directory_.OnConfig();
  }

  bool IsUpToDate() const {
    return directory_.ClientVersion() == config_.client_version;
  }
  std::string RegionOf(std::uint32_t address) const {
    const client_site* site = directory_.SiteOf(address);
    return site == nullptr ? "" : site->region.Str();
  }

 private:
  fleet_config config_;
  client_directory directory_;
};

constexpr std::uint32_t kFirst = 0x0a000001;
constexpr int kMany = 20'000;

// Something else that the loop has to do in each of its turns.
class each_turn {
 public:
  each_turn(event_loop& loop, std::function<void(int)> work)
      : timer_(loop, [this, work = std::move(work)] {
          work(++turns_);
          timer_.Arm(MonotonicNow());
        }) {
    timer_.Arm(MonotonicNow());
  }

 private:
  int turns_ = 0;
  loop_timer timer_;
};

BOOST_FIXTURE_TEST_SUITE(client_directory_cases, directory_fixture)

// An operator moves blocks of clients to another region. While the next table
// is being built, which takes many turns of the loop, callers are sent where
// they were sent before, and requests go on being served in between.
BOOST_AUTO_TEST_CASE(OldBlocksCountUntilTheNewOnesAreReady) {
  SetBlocks(kMany, "north");
  BOOST_REQUIRE(RunUntil([&] { return IsUpToDate(); }));
  SetBlocks(kMany, "south");
  int turns_before = 0;
  const each_turn other(Loop(), [&](int) {
    if (IsUpToDate()) return Loop().Stop();
    ++turns_before;
    BOOST_TEST(RegionOf(kFirst) == "north");
  });
  BOOST_REQUIRE(RunUntil([&] { return IsUpToDate(); }));
  BOOST_TEST(turns_before > 10);
  BOOST_TEST(RegionOf(kFirst) == "south");
}

// Two changes follow each other closely; the second comes while the table of
// the first is being built. A table of both would send callers to places that
// no configuration named.
BOOST_AUTO_TEST_CASE(ChangeInTheMiddleBeginsAnew) {
  SetBlocks(kMany, "north");
  const each_turn other(Loop(), [&](int turn) {
    constexpr int kMiddle = 5;
    if (turn == kMiddle) {
      BOOST_TEST(!IsUpToDate());
      SetBlocks(10, "south");
    }
    if (IsUpToDate()) Loop().Stop();
  });
  BOOST_REQUIRE(RunUntil([&] { return IsUpToDate(); }));
  BOOST_TEST(RegionOf(kFirst) == "south");
  constexpr std::uint32_t kEleventh = kFirst + (10u << 8);
  BOOST_TEST(RegionOf(kEleventh) == "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
