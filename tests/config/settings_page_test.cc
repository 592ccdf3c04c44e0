#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <set>
#include <string>
#include <vector>

#include "citron/config/fleet_config.h"
#include "citron/config/settings.h"

namespace citron {
namespace {

std::string ReadPage() {
  std::ifstream in(std::string(CITRON_SOURCE_DIR) + "/docs/CONFIGURATION.md");
  return {std::istreambuf_iterator<char>(in), {}};
}

// The part of the page between a heading and the next one of its level.
std::string Section(const std::string& page, const std::string& heading) {
  const std::size_t begin = page.find("\n## " + heading + "\n");
  BOOST_REQUIRE_MESSAGE(begin != std::string::npos, heading);
  return page.substr(begin, page.find("\n## ", begin + 1) - begin);
}

// The rows of a section's tables, without their heads.
std::vector<std::string> Rows(const std::string& section) {
  std::vector<std::string> rows;
  std::size_t at = 0;
  while ((at = section.find("\n| `", at)) != std::string::npos) {
    const std::size_t end = section.find('\n', at + 1);
    rows.push_back(section.substr(at + 1, end - at - 1));
    at += 1;
  }
  return rows;
}

std::string RowOf(const setting_description& s) {
  std::string row = "| `";
  row.append(s.name).append("` | ").append(s.type).append(" | ");
  row.append(s.range).append(" | ").append(s.default_value).append(" | ");
  return row.append(s.help).append(" |");
}

void ExpectTable(const std::string& heading,
                 const std::vector<setting_description>& settings) {
  std::vector<std::string> expected;
  for (const setting_description& s : settings) expected.push_back(RowOf(s));
  const std::vector<std::string> found = Rows(Section(ReadPage(), heading));
  BOOST_TEST(found == expected, boost::test_tools::per_element());
}

// An operator sets what the page says. A default or a range that the code no
// longer has would be noticed only when a daemon refuses its file.
BOOST_AUTO_TEST_CASE(TablesAreThoseOfTheDaemons) {
  ExpectTable("citron_control", DescribeControlSettings());
  ExpectTable("citron_entry", DescribeEntrySettings());
  ExpectTable("citron_dispatch", DescribeDispatchSettings());
}

// Each object's section ends with an example, which has to be a good one that
// names every field of the section's table.
BOOST_AUTO_TEST_CASE(ExamplesAreAcceptedAndNameEveryField) {
  const std::string page = ReadPage();
  const std::set<std::string> objects = {
      "config/topology",           "config/upstream/ID",
      "config/contract/WORKSPACE", "config/key/DIGEST",
      "config/drain/KIND/ID",      "config/gone/VM",
      "config/shift/SERVICE",      "config/clients/GROUP"};
  for (const std::string& object : objects) {
    const std::string section = Section(page, object);
    const std::string fence = "```json\n";
    const std::size_t begin = section.find(fence);
    BOOST_REQUIRE_MESSAGE(begin != std::string::npos, object);
    const std::size_t text = begin + fence.size();
    const std::string example =
        section.substr(text, section.find("```", text) - text);
    std::string key = object;
    if (object == "config/key/DIGEST") {
      key = "config/key/" + std::string(64, 'a');
    } else if (object == "config/drain/KIND/ID") {
      key = "config/drain/vm/a";
    }
    const status checked = CheckConfigObject(key, example);
    BOOST_TEST(IsOk(checked),
               object + (IsOk(checked) ? std::string()
                                       : ": " + ErrorOf(checked).message));
    for (const std::string& row : Rows(section)) {
      const std::string name = row.substr(3, row.find('`', 3) - 3);
      const std::string field = name.substr(name.rfind('.') + 1);
      BOOST_TEST(example.find("\"" + field + "\"") != std::string::npos,
                 object + " has no " + name + " in its example");
    }
  }
}

}  // namespace
}  // namespace citron
