#ifndef NODE_STATUS_TEXT_H_
#define NODE_STATUS_TEXT_H_

#include <string_view>

namespace citron {

// The usual words beside a status code.
std::string_view StatusText(int status);

}  // namespace citron

#endif  // NODE_STATUS_TEXT_H_
