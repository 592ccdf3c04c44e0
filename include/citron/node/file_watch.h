#ifndef CITRON_NODE_FILE_WATCH_H_
#define CITRON_NODE_FILE_WATCH_H_

#include <filesystem>
#include <functional>
#include <optional>
#include <string>

#include "citron/base/time.h"
#include "citron/net/event_loop.h"

namespace citron {

// Calls back when a file has changed. It looks at the file now and then, since
// settings are also replaced without any signal.
class file_watch {
 public:
  file_watch(event_loop& loop, std::string file, duration interval,
             std::function<void()> changed);

 private:
  struct version {
    std::filesystem::file_time_type written_at;
    std::uintmax_t size = 0;

    friend bool operator==(const version&, const version&) = default;
  };

  std::optional<version> Look() const;
  void OnTime();

  std::string file_;
  duration interval_;
  std::function<void()> changed_;
  std::optional<version> seen_;
  loop_timer timer_;
};

}  // namespace citron

#endif  // CITRON_NODE_FILE_WATCH_H_
