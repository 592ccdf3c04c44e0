#include "citron/net/http1_reader.h"

#include <event2/buffer.h>

#include <algorithm>
#include <utility>

#include "citron/net/http1_grammar.h"

namespace citron {

namespace {

constexpr std::string_view kEndOfLine = "\r\n";
constexpr std::string_view kEndOfHead = "\r\n\r\n";
// What a header counts beside its text; as in HTTP/2 (RFC 9113, 6.5.2).
constexpr std::size_t kHeaderOverhead = 32;
constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// Whether each line ends with CRLF, none is folded and no control character
// stands in it. A reader before or behind this one could see other headers, or
// another end of the message, in such a head: a request could be smuggled.
bool IsPlainHead(std::string_view head) {
  for (std::size_t i = 0; i < head.size(); ++i) {
    const char c = head[i];
    if (c == '\0') return false;
    if (c == '\n' && (i == 0 || head[i - 1] != '\r')) return false;
    if (c != '\r') continue;
    if (i + 1 >= head.size() || head[i + 1] != '\n') return false;
    const bool folded =
        i + 2 < head.size() && (head[i + 2] == ' ' || head[i + 2] == '\t');
    if (folded) return false;
  }
  return true;
}

// The library accepts any number as a status, any version and control
// characters in a reason.
bool BeginsWithStatusLine(std::string_view head) {
  return IsStatusLine(head.substr(0, head.find(kEndOfLine)));
}

int CountHeaders(const http_headers& headers, std::string_view name) {
  return static_cast<int>(std::count_if(
      headers.begin(), headers.end(),
      [&](const http_header& h) { return HeaderNameIs(h.name, name); }));
}

std::size_t ListSize(const http_headers& headers) {
  std::size_t size = 0;
  for (const http_header& header : headers) {
    size += header.name.size() + header.value.size() + kHeaderOverhead;
  }
  return size;
}

// A blank before the colon: some readers drop the header, others take it.
bool HasBlankInName(const http_headers& headers) {
  return std::any_of(headers.begin(), headers.end(), [](const http_header& h) {
    return h.name.find_first_of(" \t") != std::string::npos;
  });
}

// One framing only: a length or chunks, each named once.
bool IsFramedOnce(const http_headers& headers) {
  const int lengths = CountHeaders(headers, "Content-Length");
  const int encodings = CountHeaders(headers, "Transfer-Encoding");
  if (lengths + encodings > 1) return false;
  const auto encoding = FindHeader(headers, "Transfer-Encoding");
  return !encoding || HeaderNameIs(*encoding, "chunked");
}

// The answer ends with its head, whatever its headers say (RFC 9112, section
// 6.3).
bool HasNoBody(int status) {
  return status == kNoContent || status == kNotModified;
}

// Unlike a 304, a 204 may not say how long a body would be.
bool AnnouncesABody(const http_headers& headers) {
  const auto length = FindHeader(headers, "Content-Length");
  if (length && length->find_first_not_of("0 \t") != std::string::npos) {
    return true;
  }
  return FindHeader(headers, "Transfer-Encoding").has_value();
}

}  // namespace

struct http1_reader::callbacks {
  static http1_reader& Self(http_parser* parser) {
    return *static_cast<http1_reader*>(parser->data);
  }

  static int OnUrl(http_parser* parser, const char* at, std::size_t length) {
    Self(parser).head_.target.append(at, length);
    return 0;
  }

  static int OnField(http_parser* parser, const char* at, std::size_t length) {
    http1_reader& self = Self(parser);
    if (self.head_.headers.empty() || self.value_began_) {
      self.head_.headers.emplace_back();
      self.value_began_ = false;
    }
    self.head_.headers.back().name.append(at, length);
    return 0;
  }

  static int OnValue(http_parser* parser, const char* at, std::size_t length) {
    http1_reader& self = Self(parser);
    self.value_began_ = true;
    self.head_.headers.back().value.append(at, length);
    return 0;
  }

  // 1 tells the parser that no body follows.
  static int OnHeadersComplete(http_parser* parser) {
    http1_reader& self = Self(parser);
    self.state_ = state::kBody;
    // No other protocol is spoken here; the request is served as it stands.
    parser->upgrade = 0;
    const int status = static_cast<int>(parser->status_code);
    return self.no_body_ || HasNoBody(status) ? 1 : 0;
  }

  static int OnBody(http_parser* parser, const char* at, std::size_t length) {
    Self(parser).body_bytes_ += length;
    Self(parser).listener_.OnBody({at, length});
    return 0;
  }

  static int OnMessageComplete(http_parser* parser) {
    Self(parser).state_ = state::kComplete;
    http_parser_pause(parser, 1);
    return 0;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings made;
      http_parser_settings_init(&made);
      made.on_url = OnUrl;
      made.on_header_field = OnField;
      made.on_header_value = OnValue;
      made.on_headers_complete = OnHeadersComplete;
      made.on_body = OnBody;
      made.on_message_complete = OnMessageComplete;
      return made;
    }();
    return settings;
  }
};

http1_reader::http1_reader(direction what, std::size_t max_head_bytes,
                           http1_listener& listener)
    : what_(what), max_head_bytes_(max_head_bytes), listener_(listener) {
  Reset();
}

void http1_reader::Reset() {
  http_parser_init(
      &parser_, what_ == direction::kRequests ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  state_ = state::kHead;
  fault_ = http1_fault::kNone;
  head_ = {};
  value_began_ = false;
  no_body_ = false;
  chunks_.reset();
}

http1_reader::progress http1_reader::Read(evbuffer* input) {
  if (fault_ != http1_fault::kNone) return progress::kFault;
  if (state_ == state::kHead) {
    const progress made = ReadHead(input);
    if (made != progress::kMessageComplete) return made;
  }
  return ReadBody(input);
}

// kMessageComplete stands for a complete head here. Interim answers are passed
// over one by one.
http1_reader::progress http1_reader::ReadHead(evbuffer* input) {
  progress made = progress::kMessageComplete;
  while (state_ == state::kHead && made == progress::kMessageComplete) {
    made = ReadOneHead(input);
  }
  return made;
}

http1_reader::progress http1_reader::ReadOneHead(evbuffer* input) {
  // Callers may send an empty line before a request.
  while (what_ == direction::kRequests) {
    char start[2];
    if (evbuffer_copyout(input, start, 2) < 2) break;
    if (start[0] != '\r' || start[1] != '\n') break;
    evbuffer_drain(input, 2);
  }
  const evbuffer_ptr end =
      evbuffer_search(input, kEndOfHead.data(), kEndOfHead.size(), nullptr);
  const std::size_t present = evbuffer_get_length(input);
  if (end.pos < 0) {
    if (present > max_head_bytes_) return Fail(http1_fault::kHeadTooLarge);
    // A line feed alone would keep a sloppy sender waiting for its deadline.
    const evbuffer_ptr bare = evbuffer_search(input, "\n\n", 2, nullptr);
    return bare.pos < 0 ? progress::kNeedsMore : Fail(http1_fault::kMalformed);
  }
  const std::size_t size =
      static_cast<std::size_t>(end.pos) + kEndOfHead.size();
  if (size > max_head_bytes_) return Fail(http1_fault::kHeadTooLarge);
  const auto* bytes = reinterpret_cast<const char*>(
      evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
  if (!IsPlainHead({bytes, size})) return Fail(http1_fault::kMalformed);
  if (what_ == direction::kAnswers && !BeginsWithStatusLine({bytes, size})) {
    return Fail(http1_fault::kMalformed);
  }
  std::size_t taken = 0;
  if (!Feed(bytes, size, &taken) || state_ == state::kHead) {
    return Fail(http1_fault::kMalformed);
  }
  evbuffer_drain(input, size);
  // What callers may send is bounded by bytes alone.
  if (what_ == direction::kAnswers &&
      ListSize(head_.headers) > max_head_bytes_) {
    return Fail(http1_fault::kHeadTooLarge);
  }
  if (!IsFramedOnce(head_.headers) || HasBlankInName(head_.headers)) {
    return Fail(http1_fault::kMalformed);
  }
  if (what_ == direction::kRequests) {
    head_.method = http_method_str(static_cast<http_method>(parser_.method));
  } else {
    head_.status = parser_.status_code;
    if (head_.status == kNoContent && AnnouncesABody(head_.headers)) {
      return Fail(http1_fault::kMalformed);
    }
    // Nobody asked for another protocol, and what follows is of that one.
    if (head_.status == kSwitchingProtocols) {
      return Fail(http1_fault::kMalformed);
    }
  }
  const bool informational = head_.status >= 100 && head_.status < 200;
  if (informational) {
    // An interim answer; the one that counts follows.
    const bool no_body = no_body_;
    Reset();
    no_body_ = no_body;
    listener_.OnInterimHead(size);
    return progress::kMessageComplete;
  }
  head_.keep_alive = http_should_keep_alive(&parser_) != 0;
  head_.chunked = FindHeader(head_.headers, "Transfer-Encoding").has_value();
  if (head_.chunked) chunks_.emplace();
  // The parser has counted a body that is complete with its head as read.
  const bool has_length =
      FindHeader(head_.headers, "Content-Length").has_value();
  is_framed_ = has_length || head_.chunked;
  if (has_length) {
    head_.body_length = state_ == state::kComplete ? 0 : parser_.content_length;
  }
  listener_.OnHead(std::move(head_));
  return progress::kMessageComplete;
}

http1_reader::progress http1_reader::ReadBody(evbuffer* input) {
  while (state_ == state::kBody) {
    const std::size_t count = evbuffer_get_contiguous_space(input);
    if (count == 0) return progress::kNeedsMore;
    const auto* bytes = reinterpret_cast<const char*>(
        evbuffer_pullup(input, static_cast<ev_ssize_t>(count)));
    // The library checks neither chunk extensions nor the names of trailers.
    if (chunks_ && !chunks_->Read({bytes, count})) {
      return Fail(http1_fault::kMalformed);
    }
    std::size_t taken = 0;
    body_bytes_ = 0;
    const bool fed = Feed(bytes, count, &taken);
    if (taken > body_bytes_) listener_.OnFraming(taken - body_bytes_);
    evbuffer_drain(input, taken);
    if (!fed) return Fail(http1_fault::kMalformed);
  }
  return progress::kMessageComplete;
}

bool http1_reader::Feed(const char* bytes, std::size_t count,
                        std::size_t* taken) {
  *taken = http_parser_execute(&parser_, &callbacks::Settings(), bytes, count);
  if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) {
    http_parser_pause(&parser_, 0);
    return true;
  }
  return HTTP_PARSER_ERRNO(&parser_) == HPE_OK && parser_.upgrade == 0 &&
         *taken == count;
}

bool http1_reader::CompletesAtEnd() const {
  return what_ == direction::kAnswers && state_ == state::kBody && !is_framed_;
}

http1_reader::progress http1_reader::Fail(http1_fault fault) {
  fault_ = fault;
  return progress::kFault;
}

}  // namespace citron
