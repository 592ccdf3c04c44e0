#ifndef CITRON_NET_COPY_HEADERS_H_
#define CITRON_NET_COPY_HEADERS_H_

#include "citron/net/http_types.h"

struct evkeyvalq;

namespace citron {

// The library's list of headers as our own.
http_headers CopyHeaders(const evkeyvalq* headers);

}  // namespace citron

#endif  // CITRON_NET_COPY_HEADERS_H_
