#include "citron/node/file_watch.h"

#include <system_error>
#include <utility>

namespace citron {

file_watch::file_watch(event_loop& loop, std::string file, duration interval,
                       std::function<void()> changed)
    : file_(std::move(file)),
      interval_(interval),
      changed_(std::move(changed)),
      seen_(Look()),
      timer_(loop, [this] { OnTime(); }) {
  timer_.Arm(MonotonicNow() + interval_);
}

// None while the file is missing, as between its removal and its replacement.
std::optional<file_watch::version> file_watch::Look() const {
  std::error_code problem;
  version found;
  found.written_at = std::filesystem::last_write_time(file_, problem);
  if (problem) return std::nullopt;
  found.size = std::filesystem::file_size(file_, problem);
  if (problem) return std::nullopt;
  return found;
}

void file_watch::OnTime() {
  timer_.Arm(MonotonicNow() + interval_);
  const std::optional<version> found = Look();
  if (!found || found == seen_) return;
  seen_ = found;
  changed_();
}

}  // namespace citron
