#include <boost/test/unit_test.hpp>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

namespace citron {
namespace {

std::string ReadFile(const std::filesystem::path& file) {
  std::ifstream in(file);
  return {std::istreambuf_iterator<char>(in), {}};
}

// The words that stand between `quote` marks and begin with "citron_".
std::set<std::string> QuotedNames(const std::string& text, char quote) {
  std::set<std::string> names;
  const std::string begin = quote + std::string("citron_");
  std::size_t at = 0;
  while ((at = text.find(begin, at)) != std::string::npos) {
    std::size_t end = ++at;
    while (std::isalnum(static_cast<unsigned char>(text[end])) != 0 ||
           text[end] == '_') {
      ++end;
    }
    if (text[end] == quote) names.insert(text.substr(at, end - at));
  }
  return names;
}

std::set<std::string> NamesInTheCode() {
  std::set<std::string> names;
  const std::filesystem::path source(CITRON_SOURCE_DIR);
  for (const char* part : {"src", "include"}) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(source / part)) {
      if (!entry.is_regular_file()) continue;
      names.merge(QuotedNames(ReadFile(entry.path()), '"'));
    }
  }
  return names;
}

// Names at the beginning of a table's row.
std::set<std::string> NamesOfThePage() {
  const std::filesystem::path source(CITRON_SOURCE_DIR);
  const std::string page = ReadFile(source / "docs" / "METRICS.md");
  std::set<std::string> names;
  std::size_t at = 0;
  while ((at = page.find("\n| `citron_", at)) != std::string::npos) {
    at += 4;
    names.insert(page.substr(at, page.find('`', at) - at));
  }
  return names;
}

// Somebody who is woken by a number looks it up on the page; one that stands
// there and is gone from the code would make an alarm that never sounds.
BOOST_AUTO_TEST_CASE(PageNamesEveryMetricAndNoOther) {
  const std::set<std::string> in_code = NamesInTheCode();
  const std::set<std::string> on_page = NamesOfThePage();
  BOOST_TEST(in_code.size() > 20u);
  for (const std::string& name : in_code) {
    BOOST_TEST(on_page.contains(name), name + " is not on the page");
  }
  for (const std::string& name : on_page) {
    BOOST_TEST(in_code.contains(name), name + " is not in the code");
  }
}

}  // namespace
}  // namespace citron
