// Named threads with small, stated stacks, each with an owner that joins it.
#pragma once

#include <pthread.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace ospreypost::net {

inline constexpr std::size_t kSmallStack = 256 * 1024;  // bytes

// Joined by its owner at the latest when it is destroyed.
class Thread {
 public:
  Thread() = default;
  // `name` is cut to the 15 characters that the system shows. Throws Error if no thread can be had.
  Thread(const std::string& name, std::function<void()> work, std::size_t stack = kSmallStack);
  Thread(Thread&& other) noexcept;
  Thread& operator=(Thread&& other) noexcept;
  ~Thread() { join(); }
  void join();

 private:
  pthread_t handle_{};
  bool joinable_ = false;
};

// A fixed number of threads that work off jobs; no more jobs wait than stated.
class ThreadPool {
 public:
  // Throws Error if not all threads can be had.
  ThreadPool(const std::string& name, std::size_t threads, std::size_t most_waiting,
             std::size_t stack = kSmallStack);
  ~ThreadPool() { stop(); }
  // False, and the job is not taken, when as many wait as may or the crew has stopped.
  bool take(std::function<void()> job);
  // Drops what waits, ends when the jobs at work have.
  void stop();

 private:
  void work();

  std::mutex lock_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> waiting_;
  const std::size_t most_waiting_;
  bool stopping_ = false;
  std::vector<Thread> threads_;
};

}  // namespace ospreypost::net
