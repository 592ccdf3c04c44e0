#ifndef TESTS_SOAK_SOAK_STORE_H_
#define TESTS_SOAK_SOAK_STORE_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "citron/base/endpoint.h"
#include "citron/base/time.h"
#include "citron/net/event_loop.h"
#include "citron/net/http_client.h"

namespace citron {

// The operator's and the upstreams' way to the platform's store.
class soak_store {
 public:
  using on_done = std::function<void(bool ok)>;

  soak_store(event_loop& loop, const endpoint& store)
      : loop_(loop), store_(store), client_(loop) {}

  void Put(const std::string& key, const nlohmann::json& value, on_done done,
           std::uint64_t lease = 0);
  void Remove(const std::string& key, on_done done);
  // Again and again until the store has acknowledged it.
  void PutSurely(const std::string& key, const nlohmann::json& value,
                 std::function<void(monotonic_time)> acknowledged);
  void RemoveSurely(const std::string& key,
                    std::function<void(monotonic_time)> acknowledged);
  // 0: none was granted.
  void Grant(double ttl_s, std::function<void(std::uint64_t lease)> done);
  void Keep(std::uint64_t lease, on_done done);

 private:
  using on_answer = std::function<void(int status, const std::string& body)>;
  void Post(const std::string& path, const nlohmann::json& body,
            on_answer done);
  void Transact(const nlohmann::json& call, on_done done);
  void Surely(const nlohmann::json& call,
              std::function<void(monotonic_time)> acknowledged);

  event_loop& loop_;
  endpoint store_;
  http_client client_;
  std::vector<std::unique_ptr<loop_timer>> retries_;
};

}  // namespace citron

#endif  // TESTS_SOAK_SOAK_STORE_H_
