#include "scenario/child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <utility>

extern char** environ;

namespace ospreypost::scenario {
namespace {

constexpr int kStartTimeoutMilliseconds = 5000;

// Waits for the first line of the process. Returns true if the line begins with "ready".
bool read_ready(int pipe_end) {
  std::string text;
  std::array<char, 512> buffer{};
  pollfd readable{pipe_end, POLLIN, 0};
  while (::poll(&readable, 1, kStartTimeoutMilliseconds) > 0) {
    const auto bytes = ::read(pipe_end, buffer.data(), buffer.size());
    if (bytes <= 0) return false;
    text.append(buffer.data(), static_cast<std::size_t>(bytes));
    if (text.find('\n') != std::string::npos) return text.starts_with("ready");
  }
  return false;
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program, std::vector<std::string> arguments) {
  std::array<int, 2> pipe_ends{};
  if (::pipe2(pipe_ends.data(), O_CLOEXEC) != 0)
    throw net::Error("cannot create a pipe for the output of the child process");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
  // The child process must not inherit the signal mask of this thread.
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t no_signals;
  sigemptyset(&no_signals);
  posix_spawnattr_setsigmask(&attributes, &no_signals);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  arguments.insert(arguments.begin(), program);
  std::vector<char*> argument_pointers;
  for (auto& argument : arguments) argument_pointers.push_back(argument.data());
  argument_pointers.push_back(nullptr);
  const int error =
      posix_spawn(&process_, program.c_str(), &actions, &attributes, argument_pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  posix_spawnattr_destroy(&attributes);
  ::close(pipe_ends[1]);
  const bool ready = error == 0 && read_ready(pipe_ends[0]);
  ::close(pipe_ends[0]);
  if (error != 0) process_ = -1;
  if (ready) return;
  kill();
  throw net::Error("`" + arguments[1] + "` exited or did not report that it is ready");
}

int ChildProcess::wait_for_exit() {
  int status = 0;
  while (::waitpid(process_, &status, 0) < 0 && errno == EINTR) {
  }
  process_ = -1;
  return status;
}

void ChildProcess::fill_disk(bool full) {
  rlimit limit{};
  if (process_ < 0 || ::prlimit(process_, RLIMIT_FSIZE, nullptr, &limit) != 0) return;
  limit.rlim_cur = full ? 0 : limit.rlim_max;
  ::prlimit(process_, RLIMIT_FSIZE, &limit, nullptr);
}

void ChildProcess::pause(bool paused) {
  if (process_ >= 0) ::kill(process_, paused ? SIGSTOP : SIGCONT);
}

void ChildProcess::kill() {
  if (process_ < 0) return;
  ::kill(process_, SIGKILL);
  wait_for_exit();
}

net::Steady::duration ChildProcess::stop() {
  const auto requested_at = net::Steady::now();
  if (process_ < 0) return {};
  ::kill(process_, SIGTERM);
  const int status = wait_for_exit();
  if (status != 0) throw net::Error("the child process exited with wait status " + std::to_string(status));
  return net::Steady::now() - requested_at;
}

}  // namespace ospreypost::scenario
