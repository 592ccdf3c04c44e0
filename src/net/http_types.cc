#include "citron/net/http_types.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include "net/copy_headers.h"

namespace citron {

bool HeaderNameIs(std::string_view name, std::string_view wanted) {
  return name.size() == wanted.size() &&
         strncasecmp(name.data(), wanted.data(), name.size()) == 0;
}

std::optional<std::string_view> FindHeader(const http_headers& headers,
                                           std::string_view name) {
  for (const http_header& header : headers) {
    if (HeaderNameIs(header.name, name)) return header.value;
  }
  return std::nullopt;
}

http_headers CopyHeaders(const evkeyvalq* headers) {
  std::size_t count = 0;
  for (const evkeyval* h = headers->tqh_first; h != nullptr;
       h = h->next.tqe_next) {
    ++count;
  }
  http_headers copied;
  copied.reserve(count);
  for (const evkeyval* h = headers->tqh_first; h != nullptr;
       h = h->next.tqe_next) {
    copied.push_back({h->key, h->value});
  }
  return copied;
}

void AddHeaders(const http_headers& from, header_filter passes,
                const http_headers& added, evkeyvalq* headers) {
  for (const http_header& header : from) {
    if (!passes(header.name)) continue;
    evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
  }
  for (const http_header& header : added) {
    evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
  }
}

bool EveryHeaderPasses(std::string_view) { return true; }

std::string_view http_request::Path() const {
  const std::string_view whole = target;
  return whole.substr(0, whole.find('?'));
}

std::optional<std::string> http_request::Query(std::string_view name) const {
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) return std::nullopt;
  evkeyvalq parameters;
  const std::string query = target.substr(mark + 1);
  if (evhttp_parse_query_str(query.c_str(), &parameters) != 0) {
    return std::nullopt;
  }
  const char* value =
      evhttp_find_header(&parameters, std::string(name).c_str());
  std::optional<std::string> found;
  if (value != nullptr) found = value;
  evhttp_clear_headers(&parameters);
  return found;
}

}  // namespace citron
