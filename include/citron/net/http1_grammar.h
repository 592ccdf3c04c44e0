#ifndef CITRON_NET_HTTP1_GRAMMAR_H_
#define CITRON_NET_HTTP1_GRAMMAR_H_

#include <string_view>

namespace citron {

// Whether the byte may stand in a token, such as the name of a header.
bool IsTokenByte(unsigned char byte);

// Whether the byte may stand in the text of a value or of a reason: no control
// character but the tab.
bool IsTextByte(unsigned char byte);

// Whether the line, without its end, begins an answer of HTTP/1 (RFC 9112,
// section 4) with a status that is defined (RFC 9110, section 15). As most
// clients do, it takes a status without the blank that has to follow it.
bool IsStatusLine(std::string_view line);

}  // namespace citron

#endif  // CITRON_NET_HTTP1_GRAMMAR_H_
