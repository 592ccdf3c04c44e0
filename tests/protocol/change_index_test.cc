#include "citron/protocol/change_index.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <pcg_random.hpp>
#include <string>

namespace citron {
namespace {

using kind = key_change::kind;

constexpr std::uint64_t kLog = 17;

store_item Item(const std::string& key, const std::string& value,
                store_revision revision) {
  return {key, value, revision, ""};
}

// Returns the text of all changes, for comparison.
std::string Text(const std::optional<std::vector<key_change>>& changes) {
  if (!changes) return "gone";
  std::string text;
  for (const key_change& change : *changes) {
    const char* const sign = change.what == kind::kWritten   ? "="
                             : change.what == kind::kRemoved ? "-"
                                                             : "~";
    text += change.item.key + sign + change.item.value + " ";
  }
  return text;
}

// The position after so many changes of the index.
log_position At(std::uint64_t offset) { return {kLog, offset}; }

BOOST_AUTO_TEST_SUITE(change_index_cases)

BOOST_AUTO_TEST_CASE(ReturnsTheLastStateOfChangedKeys) {
  change_index index(kLog);
  index.OnFullCopy({Item("a", "1", 3), Item("b", "1", 4)}, 5);
  index.OnWritten(Item("a", "2", 6));
  index.OnWritten(Item("a", "3", 7));
  index.OnRemoved("b", 8);
  index.OnRevision(8);
  BOOST_TEST(Text(index.ChangesAfter(At(2))) == "a=3 b- ");
  BOOST_TEST(Text(index.ChangesAfter(At(4))) == "b- ");
  BOOST_TEST(Text(index.ChangesAfter(At(5))) == "");
  BOOST_TEST(!index.HasChangesAfter(At(5)));
  BOOST_CHECK(index.Head() == At(5));
  BOOST_TEST(Text(index.ChangesSince(5)) == "a=3 b- ");
  BOOST_TEST(Text(index.ChangesSince(7)) == "b- ");
  BOOST_TEST(Text(index.ChangesSince(8)) == "");
}

// An upstream renews its entry again and again. A reader that has the entry
// needs the confirmation, not the entry.
BOOST_AUTO_TEST_CASE(UnchangedWritesAreOnlyConfirmed) {
  change_index index(kLog);
  index.OnFullCopy({Item("a", "long", 3)}, 5);
  BOOST_TEST(index.OnConfirmed("a", 6));
  BOOST_TEST(Text(index.ChangesAfter(At(1))) == "a~ ");
  BOOST_TEST(!index.HasChangesAfter(At(1)));
  index.OnWritten(Item("a", "new", 7));
  BOOST_TEST(index.OnConfirmed("a", 9));
  BOOST_TEST(Text(index.ChangesAfter(At(1))) == "a=new ");
  BOOST_TEST(Text(index.ChangesAfter(At(3))) == "a~ ");
  BOOST_TEST(!index.OnConfirmed("b", 10));
}

BOOST_AUTO_TEST_CASE(BeforeTheFirstCopyNothingIsKnown) {
  change_index index(kLog);
  index.OnFullCopy({Item("a", "1", 3)}, 5);
  BOOST_TEST(Text(index.ChangesSince(4)) == "gone");
  BOOST_TEST(Text(index.ChangesSince(5)) == "");
}

// The store compacted its history, and a full copy was read. Keys that are not
// in the copy were removed earlier, and readers must receive these removals.
BOOST_AUTO_TEST_CASE(ACopyRemovesMissingKeys) {
  change_index index(kLog);
  index.OnFullCopy({Item("a", "1", 3), Item("b", "1", 4)}, 5);
  const auto changes =
      index.OnFullCopy({Item("b", "1", 4), Item("c", "1", 8)}, 9);
  BOOST_TEST(Text(changes) == "c=1 a- ");
  BOOST_TEST(Text(index.ChangesAfter(At(2))) == "c=1 a- ");
}

BOOST_AUTO_TEST_CASE(AKeyWrittenAfterRemovalIsPresent) {
  change_index index(kLog);
  index.OnFullCopy({Item("a", "1", 3)}, 5);
  index.OnRemoved("a", 6);
  BOOST_TEST(!index.OnConfirmed("a", 7));
  BOOST_TEST(Text(index.ChangesAfter(At(1))) == "a- ");
  index.OnWritten(Item("a", "1", 8));
  BOOST_TEST(Text(index.ChangesAfter(At(1))) == "a=1 ");
  BOOST_TEST(Text(index.ChangesAfter(At(2))) == "a=1 ");
}

// Removed keys can't be kept for ever. A reader at a revision before a dropped
// removal must read a full copy, or would keep the key for good.
BOOST_AUTO_TEST_CASE(DroppedRemovalsNeedAFullCopy) {
  change_index index(kLog, 2);
  index.OnFullCopy({Item("a", "1", 1), Item("b", "1", 2), Item("c", "1", 3)},
                   5);
  index.OnRemoved("a", 6);
  index.OnRemoved("b", 7);
  BOOST_TEST(Text(index.ChangesAfter(At(3))) == "a- b- ");
  index.OnRemoved("c", 8);
  BOOST_TEST(Text(index.ChangesAfter(At(3))) == "gone");
  BOOST_TEST(Text(index.ChangesAfter(At(4))) == "b- c- ");
  BOOST_TEST(Text(index.ChangesSince(5)) == "gone");
  BOOST_TEST(Text(index.ChangesSince(6)) == "b- c- ");
}

// Changes that arrive by two paths overtake each other.
BOOST_AUTO_TEST_CASE(OlderChangesOfAKeyAreIgnored) {
  change_index index(kLog);
  index.OnFullCopy({Item("a", "1", 3)}, 5);
  index.OnWritten(Item("a", "3", 8));
  index.OnWritten(Item("a", "2", 7));
  index.OnRemoved("a", 6);
  BOOST_TEST(Text(index.ChangesAfter(At(1))) == "a=3 ");
  // Nor does a copy that was read earlier remove the key.
  BOOST_TEST(Text(index.OnFullCopy({}, 7)) == "");
}

// Guards against a change that is lost to readers since its source learned it
// after later ones.
BOOST_AUTO_TEST_CASE(ChangeLearnedLateReachesReadersOfALaterRevision) {
  change_index index(kLog);
  index.OnFullCopy({Item("a", "1", 3)}, 5);
  index.OnRevision(9);
  const log_position reader = index.Head();
  index.OnFullCopy({Item("a", "2", 7)}, 9);
  BOOST_TEST(index.HasChangesAfter(reader));
  BOOST_TEST(Text(index.ChangesAfter(reader)) == "a=2 ");
}

BOOST_AUTO_TEST_CASE(PositionOfAnotherLogIsUnknown) {
  change_index index(kLog);
  index.OnFullCopy({Item("a", "1", 3)}, 5);
  BOOST_TEST(Text(index.ChangesAfter({kLog + 1, 1})) == "gone");
  BOOST_TEST(index.HasChangesAfter({kLog + 1, 1}));
  BOOST_TEST(Text(index.ChangesAfter(At(2))) == "gone");
  BOOST_TEST(Text(index.WholeCopy()) == "a=1 ");
}

// Two copies agree if and only if they have the same writes, in whatever order
// they came.
BOOST_AUTO_TEST_CASE(DigestTellsCopiesApart) {
  change_index one(kLog);
  change_index other(kLog + 1);
  one.OnFullCopy({Item("a", "1", 3), Item("b", "1", 4)}, 5);
  other.OnFullCopy({Item("b", "1", 4), Item("c", "1", 2)}, 5);
  BOOST_TEST(one.Digest() != other.Digest());
  other.OnRemoved("c", 6);
  other.OnWritten(Item("a", "1", 3));
  BOOST_TEST(one.Digest() == other.Digest());
  one.OnConfirmed("a", 7);
  BOOST_TEST(one.Digest() != other.Digest());
  other.OnWritten(Item("a", "2", 7));
  BOOST_TEST(one.Digest() == other.Digest());
}

// A follower that reads at random moments, from either of two indexes that
// follow the same store in different ways, has the keys and values of the
// store. When it changes the index it goes by the store's revision.
BOOST_AUTO_TEST_CASE(AFollowerEndsWithWhatTheStoreHas) {
  pcg32 random(7);
  std::map<std::string, store_item> store;
  change_index indexes[2] = {change_index(kLog), change_index(kLog + 1)};
  for (change_index& index : indexes) index.OnFullCopy({}, 1);
  store_revision revision = 1;
  std::map<std::string, std::string> follower;
  store_revision follower_at = 1;
  log_position head;
  for (int step = 0; step < 3000; ++step) {
    const std::string key = std::to_string(random(12));
    ++revision;
    if (random(3) == 0) {
      store.erase(key);
      for (change_index& index : indexes) index.OnRemoved(key, revision);
    } else {
      store[key] = Item(key, std::to_string(random(1000)), revision);
      indexes[0].OnWritten(store[key]);
      // The other index sometimes reads a full copy instead of the change.
      if (random(4) == 0) {
        std::vector<store_item> items;
        for (const auto& [name, item] : store) items.push_back(item);
        indexes[1].OnFullCopy(items, revision);
      } else {
        indexes[1].OnWritten(store[key]);
      }
    }
    for (change_index& index : indexes) index.OnRevision(revision);
    if (random(5) != 0) continue;
    const change_index& source = indexes[random(2)];
    auto changes = source.ChangesAfter(head);
    if (!changes) changes = source.ChangesSince(follower_at);
    BOOST_REQUIRE(changes);
    head = source.Head();
    for (const key_change& change : *changes) {
      if (change.what == kind::kRemoved) {
        follower.erase(change.item.key);
      } else if (change.what == kind::kWritten) {
        follower[change.item.key] = change.item.value;
      }
    }
    follower_at = revision;
    BOOST_REQUIRE(follower.size() == store.size());
    for (const auto& [name, item] : store) {
      BOOST_REQUIRE(follower[name] == item.value);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
