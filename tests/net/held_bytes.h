#ifndef TESTS_NET_HELD_BYTES_H_
#define TESTS_NET_HELD_BYTES_H_

#include <malloc.h>

#include <cstddef>

namespace citron {

// What the process has allocated; 0 where a sanitizer allocates.
inline std::size_t HeldBytes() {
  const auto state = mallinfo2();
  return state.uordblks + state.hblkhd;
}

}  // namespace citron

#endif  // TESTS_NET_HELD_BYTES_H_
