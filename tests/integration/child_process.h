#ifndef TESTS_INTEGRATION_CHILD_PROCESS_H_
#define TESTS_INTEGRATION_CHILD_PROCESS_H_

#include <sys/types.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "citron/base/endpoint.h"

namespace citron {

struct child_exit {
  int status = 0;  // Of exit; only without a signal.
  int signal = 0;  // That ended the process; 0: none.
};

// A real program under test, with what it wrote kept in memory. It is killed
// with this object, and by the kernel if the test itself dies.
class child_process {
 public:
  child_process(std::string name, const std::string& binary,
                const std::vector<std::string>& arguments);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  const std::string& Name() const { return name_; }
  pid_t Pid() const { return pid_; }

  void Signal(int signal_number) const;
  // SIGKILL, and waits for the end.
  void Kill();
  // How it ended; none while it runs. Never waits.
  std::optional<child_exit> Exit();

  // All that it wrote to standard output and standard error so far.
  std::string Output() const;
  bool HasWritten(const std::string& text) const;
  // Addresses from lines "listening on ip:port", in order.
  std::vector<endpoint> ListenAddresses() const;

 private:
  void ReadOutput(int fd);

  std::string name_;
  pid_t pid_ = -1;
  std::optional<child_exit> exit_;
  mutable std::mutex mutex_;
  std::string output_;
  std::thread reader_;
};

}  // namespace citron

#endif  // TESTS_INTEGRATION_CHILD_PROCESS_H_
