#include "node/status_text.h"

#include <http_parser.h>

namespace citron {

std::string_view StatusText(int status) {
  const char* text = http_status_str(static_cast<http_status>(status));
  const std::string_view known(text);
  return known == "<unknown>" ? std::string_view("Status") : known;
}

}  // namespace citron
