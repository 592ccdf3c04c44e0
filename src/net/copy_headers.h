#ifndef CITRON_NET_COPY_HEADERS_H_
#define CITRON_NET_COPY_HEADERS_H_

#include "citron/net/http_types.h"

struct evkeyvalq;

namespace citron {

// The library's list of headers as our own.
http_headers CopyHeaders(const evkeyvalq* headers);
// Adds to the library's list those that `passes` lets through, then `added`.
void AddHeaders(const http_headers& from, header_filter passes,
                const http_headers& added, evkeyvalq* headers);
bool EveryHeaderPasses(std::string_view name);

}  // namespace citron

#endif  // CITRON_NET_COPY_HEADERS_H_
