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

constexpr int kStartMilliseconds = 5000;

// True once a line that begins with "ready" came.
bool read_ready(int from) {
  std::string text;
  std::array<char, 512> buffer{};
  pollfd asked{from, POLLIN, 0};
  while (::poll(&asked, 1, kStartMilliseconds) > 0) {
    const auto got = ::read(from, buffer.data(), buffer.size());
    if (got <= 0) return false;
    text.append(buffer.data(), static_cast<std::size_t>(got));
    if (text.find('\n') != std::string::npos) return text.starts_with("ready");
  }
  return false;
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program, std::vector<std::string> words) {
  std::array<int, 2> ends{};
  if (::pipe2(ends.data(), O_CLOEXEC) != 0) throw net::Error("no pipe for the governor");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  // It must not inherit what its parent's threads block.
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  words.insert(words.begin(), program);
  std::vector<char*> arguments;
  for (auto& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const int error = posix_spawn(&process_, program.c_str(), &actions, &attributes, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  posix_spawnattr_destroy(&attributes);
  ::close(ends[1]);
  const bool ready = error == 0 && read_ready(ends[0]);
  ::close(ends[0]);
  if (error != 0) process_ = -1;
  if (ready) return;
  kill();
  throw net::Error("`" + words[1] + "` did not start");
}

int ChildProcess::wait() {
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
  wait();
}

net::Steady::duration ChildProcess::stop() {
  const auto asked = net::Steady::now();
  if (process_ < 0) return {};
  ::kill(process_, SIGTERM);
  const int status = wait();
  if (status != 0) throw net::Error("the governor ended with status " + std::to_string(status));
  return net::Steady::now() - asked;
}

}  // namespace ospreypost::scenario
