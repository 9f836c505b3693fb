// Named threads with small stacks of a given size. Each thread has an owner that joins it.
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

inline constexpr std::size_t kSmallStack = std::size_t{256} * 1024;  // Default stack size in bytes.

// A thread that is joined when its owner destroys this object, if join() was not called before.
class Thread {
 public:
  Thread() = default;
  // Starts a thread that runs `work`. Only the first 15 characters of `name` are used, as the system allows
  // no more. Throws Error if the thread cannot be created.
  Thread(const std::string& name, std::function<void()> work, std::size_t stack_bytes = kSmallStack);
  Thread(Thread&& other) noexcept;
  Thread& operator=(Thread&& other) noexcept;
  ~Thread() { join(); }
  void join();

 private:
  pthread_t handle_{};
  bool joinable_ = false;
};

// A fixed number of threads that run jobs from a queue of limited length.
class ThreadPool {
 public:
  // Throws Error if any of the threads cannot be created.
  ThreadPool(const std::string& name, std::size_t threads, std::size_t max_queued_jobs,
             std::size_t stack_bytes = kSmallStack);
  ~ThreadPool() { stop(); }
  // Queues a job. Returns false, and does not queue the job, if the queue is full or stop() was called.
  bool take(std::function<void()> job);
  // Drops the queued jobs, and returns when the running jobs have ended.
  void stop();

 private:
  void run_jobs();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> queue_;
  const std::size_t max_queued_jobs_;
  bool stopping_ = false;
  std::vector<Thread> threads_;
};

}  // namespace ospreypost::net
