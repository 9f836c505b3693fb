#include "net/threads.h"

#include <cstring>
#include <memory>
#include <utility>

#include "net/socket.h"

namespace ospreypost::net {
namespace {

void* run(void* argument) {
  const std::unique_ptr<std::function<void()>> work(static_cast<std::function<void()>*>(argument));
  (*work)();
  return nullptr;
}

}  // namespace

Thread::Thread(const std::string& name, std::function<void()> work, std::size_t stack_bytes) {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, stack_bytes);
  auto owned_work = std::make_unique<std::function<void()>>(std::move(work));
  const int error = pthread_create(&handle_, &attributes, run, owned_work.get());
  pthread_attr_destroy(&attributes);
  if (error != 0) throw Error("cannot create thread " + name + ": " + std::strerror(error));
  [[maybe_unused]] const auto* const released = owned_work.release();
  joinable_ = true;
  pthread_setname_np(handle_, name.substr(0, 15).c_str());
}

Thread::Thread(Thread&& other) noexcept
    : handle_(other.handle_), joinable_(std::exchange(other.joinable_, false)) {}

Thread& Thread::operator=(Thread&& other) noexcept {
  if (this != &other) {
    join();
    handle_ = other.handle_;
    joinable_ = std::exchange(other.joinable_, false);
  }
  return *this;
}

void Thread::join() {
  if (std::exchange(joinable_, false)) pthread_join(handle_, nullptr);
}

ThreadPool::ThreadPool(const std::string& name, std::size_t threads, std::size_t max_queued_jobs,
                       std::size_t stack_bytes)
    : max_queued_jobs_(max_queued_jobs) {
  try {
    for (std::size_t index = 0; index < threads; ++index) {
      threads_.emplace_back(
          name, [this] { run_jobs(); }, stack_bytes);
    }
  } catch (...) {
    // Stops the threads that were created; otherwise joining them would wait forever.
    stop();
    throw;
  }
}

bool ThreadPool::take(std::function<void()> job) {
  const std::lock_guard lock(mutex_);
  if (stopping_ || queue_.size() >= max_queued_jobs_) return false;
  queue_.push_back(std::move(job));
  changed_.notify_one();
  return true;
}

void ThreadPool::stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    queue_.clear();
  }
  changed_.notify_all();
  for (auto& thread : threads_) thread.join();
}

void ThreadPool::run_jobs() {
  std::unique_lock lock(mutex_);
  for (;;) {
    changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    if (stopping_) return;
    const auto job = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    job();
    lock.lock();
  }
}

}  // namespace ospreypost::net
