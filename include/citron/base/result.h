#ifndef CITRON_BASE_RESULT_H_
#define CITRON_BASE_RESULT_H_

#include <cassert>
#include <string>
#include <utility>
#include <variant>

namespace citron {

enum class error_code {
  kInvalid,      // The input is malformed; the same call fails again.
  kNotFound,     // The thing named does not exist.
  kConflict,     // A compare-and-swap lost to another writer.
  kUnavailable,  // The far side did not answer; nothing took effect.
  kUnknown,      // The far side did not answer; the effect may have happened.
};

struct error {
  error_code code = error_code::kInvalid;
  std::string message;
};

template <class T>
using result = std::variant<T, error>;

// For calls that return nothing but may fail.
using status = result<std::monostate>;

template <class T>
bool IsOk(const result<T>& r) {
  return !std::holds_alternative<error>(r);
}

// Asserts that the result holds a value.
template <class T>
T& ValueOf(result<T>& r) {
  assert(IsOk(r));
  return *std::get_if<0>(&r);
}

template <class T>
const T& ValueOf(const result<T>& r) {
  assert(IsOk(r));
  return *std::get_if<0>(&r);
}

template <class T>
const error& ErrorOf(const result<T>& r) {
  assert(!IsOk(r));
  return *std::get_if<1>(&r);
}

inline error MakeError(error_code code, std::string message) {
  return error{code, std::move(message)};
}

}  // namespace citron

#endif  // CITRON_BASE_RESULT_H_
