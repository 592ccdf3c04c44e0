#ifndef CITRON_NET_HTTP1_GRAMMAR_H_
#define CITRON_NET_HTTP1_GRAMMAR_H_

#include <string_view>

namespace citron {

// Whether the byte may stand in a token, such as the name of a header.
bool IsTokenByte(unsigned char byte);

// Whether the byte may stand in the text of a value or of a reason: no control
// character but the tab.
bool IsTextByte(unsigned char byte);

// Whether the line, without its CRLF, is a status line of HTTP/1 (RFC 9112,
// section 4) with a status from 100 to 599 (RFC 9110, section 15). The blank
// before an empty reason may be missing, as many servers leave it out.
bool IsStatusLine(std::string_view line);

}  // namespace citron

#endif  // CITRON_NET_HTTP1_GRAMMAR_H_
