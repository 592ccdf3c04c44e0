#ifndef CITRON_NET_HTTP_TYPES_H_
#define CITRON_NET_HTTP_TYPES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citron {

struct http_header {
  std::string name;
  std::string value;
};

using http_headers = std::vector<http_header>;

// The first header of that name, compared without case.
std::optional<std::string_view> FindHeader(const http_headers& headers,
                                           std::string_view name);

// Whether the names are equal without case.
bool HeaderNameIs(std::string_view name, std::string_view wanted);

struct http_request {
  std::string method;
  std::string target;  // Path with query, as on the request line.
  http_headers headers;
  std::string body;

  std::string_view Path() const;
  // The decoded value of a query parameter.
  std::optional<std::string> Query(std::string_view name) const;
};

struct http_response_head {
  int status = 0;
  http_headers headers;
};

using header_filter = bool (*)(std::string_view name);

// A request made of one that came in: its method, its body, those of its
// headers that `passes` lets through, then `added`. It copies nothing, so that
// what it names must outlive it.
struct passed_request {
  const http_request& from;
  const std::string& target;
  header_filter passes;
  const http_headers& added;
};

// The same for the head of an answer.
struct passed_head {
  const http_response_head& from;
  header_filter passes;
  const http_headers& added;
};

struct http_response {
  http_response_head head;
  std::string body;
};

}  // namespace citron

#endif  // CITRON_NET_HTTP_TYPES_H_
