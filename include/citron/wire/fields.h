#ifndef CITRON_WIRE_FIELDS_H_
#define CITRON_WIRE_FIELDS_H_

#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <tuple>
#include <type_traits>
#include <utility>

#include "citron/base/endpoint.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

// A struct travels as the array of its fields. It takes part by a function
// `auto WireFields(T& value)` that ties them together, so that structs of the
// protocols needn't know of the codec.
template <class T>
concept has_wire_fields = requires(T& value) {
  WireFields(value);
};

inline auto WireFields(endpoint& e) { return std::tie(e.address, e.port); }

}  // namespace citron

// The names below are those that the codec library looks for.
// NOLINTBEGIN(readability-identifier-naming)
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <class T>
  struct pack<T, std::enable_if_t<citron::has_wire_fields<T>>> {
    template <class Stream>
    packer<Stream>& operator()(packer<Stream>& out, const T& value) const {
      auto fields = WireFields(const_cast<T&>(value));
      out.pack_array(std::tuple_size_v<decltype(fields)>);
      std::apply([&out](auto&... field) { (out.pack(field), ...); }, fields);
      return out;
    }
  };

  template <class T>
  struct convert<T, std::enable_if_t<citron::has_wire_fields<T>>> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      T& value) const {
      auto fields = WireFields(value);
      if (in.type != type::ARRAY ||
          in.via.array.size != std::tuple_size_v<decltype(fields)>) {
        throw type_error();
      }
      const msgpack::object* next = in.via.array.ptr;
      std::apply([&next](auto&... field) { ((next++)->convert(field), ...); },
                 fields);
      return in;
    }
  };

  template <class Tag>
  struct pack<citron::strong_id<Tag>> {
    template <class Stream>
    packer<Stream>& operator()(packer<Stream>& out,
                               const citron::strong_id<Tag>& id) const {
      return out.pack(id.Str());
    }
  };

  template <class Tag>
  struct convert<citron::strong_id<Tag>> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      citron::strong_id<Tag>& id) const {
      id = citron::strong_id<Tag>(in.as<std::string>());
      return in;
    }
  };

  // A length of time travels as nanoseconds.
  template <>
  struct pack<citron::duration> {
    template <class Stream>
    packer<Stream>& operator()(packer<Stream>& out,
                               const citron::duration& length) const {
      return out.pack(static_cast<std::int64_t>(length.count()));
    }
  };

  template <>
  struct convert<citron::duration> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      citron::duration& length) const {
      length = citron::duration(in.as<std::int64_t>());
      return in;
    }
  };

  // A moment of the monotonic clock means something to processes of the same
  // machine only.
  template <>
  struct pack<citron::monotonic_time> {
    template <class Stream>
    packer<Stream>& operator()(packer<Stream>& out,
                               const citron::monotonic_time& moment) const {
      return out.pack(
          static_cast<std::int64_t>(moment.time_since_epoch().count()));
    }
  };

  template <>
  struct convert<citron::monotonic_time> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      citron::monotonic_time& moment) const {
      moment = citron::monotonic_time(citron::duration(in.as<std::int64_t>()));
      return in;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack
// NOLINTEND(readability-identifier-naming)

#endif  // CITRON_WIRE_FIELDS_H_
