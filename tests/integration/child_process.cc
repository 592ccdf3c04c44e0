#include "integration/child_process.h"

#include <fcntl.h>
#include <linux/close_range.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <sstream>

namespace citron {

namespace {

constexpr int kExecFailed = 127;
constexpr char kListeningOn[] = "listening on ";

child_exit ExitOf(int status) {
  if (WIFSIGNALED(status)) return {0, WTERMSIG(status)};
  return {WEXITSTATUS(status), 0};
}

[[noreturn]] void Become(const std::string& binary, char** arguments,
                         int output) {
  // A test that crashes must leave no process behind.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  // A program that held the test's sockets would keep connections open that
  // the test has closed.
  close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
  execv(binary.c_str(), arguments);
  _exit(kExecFailed);
}

}  // namespace

child_process::child_process(std::string name, const std::string& binary,
                             const std::vector<std::string>& arguments)
    : name_(std::move(name)) {
  std::vector<std::string> held = {binary};
  held.insert(held.end(), arguments.begin(), arguments.end());
  std::vector<char*> pointers;
  for (std::string& argument : held) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  int output[2] = {-1, -1};
  if (pipe2(output, O_CLOEXEC) != 0) std::abort();
  pid_ = fork();
  if (pid_ == 0) Become(binary, pointers.data(), output[1]);
  close(output[1]);
  // A full pipe would make the program wait for the test, so a thread of its
  // own reads.
  reader_ = std::thread([this, fd = output[0]] { ReadOutput(fd); });
}

child_process::~child_process() {
  Kill();
  reader_.join();
}

void child_process::Signal(int signal_number) const {
  if (!exit_) kill(pid_, signal_number);
}

void child_process::Kill() {
  if (exit_) return;
  kill(pid_, SIGKILL);
  int status = 0;
  while (waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
  }
  exit_ = ExitOf(status);
}

std::optional<child_exit> child_process::Exit() {
  if (exit_) return exit_;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == pid_) exit_ = ExitOf(status);
  return exit_;
}

std::string child_process::Output() const {
  const std::lock_guard lock(mutex_);
  return output_;
}

bool child_process::HasWritten(const std::string& text) const {
  const std::lock_guard lock(mutex_);
  return output_.find(text) != std::string::npos;
}

std::vector<endpoint> child_process::ListenAddresses() const {
  std::istringstream lines(Output());
  std::vector<endpoint> addresses;
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.starts_with(kListeningOn)) continue;
    const auto address = ParseEndpoint(line.substr(sizeof(kListeningOn) - 1));
    if (address) addresses.push_back(*address);
  }
  return addresses;
}

void child_process::ReadOutput(int fd) {
  char buffer[4096];
  while (true) {
    const ssize_t got = read(fd, buffer, sizeof(buffer));
    if (got < 0 && errno == EINTR) continue;
    if (got <= 0) break;
    const std::lock_guard lock(mutex_);
    output_.append(buffer, static_cast<std::size_t>(got));
  }
  close(fd);
}

}  // namespace citron
