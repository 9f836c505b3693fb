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

Thread::Thread(const std::string& name, std::function<void()> work, std::size_t stack) {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, stack);
  auto handed = std::make_unique<std::function<void()>>(std::move(work));
  const int error = pthread_create(&handle_, &attributes, run, handed.get());
  pthread_attr_destroy(&attributes);
  if (error != 0) throw Error("no thread for " + name + ": " + std::strerror(error));
  [[maybe_unused]] const auto* const theirs = handed.release();
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

ThreadPool::ThreadPool(const std::string& name, std::size_t threads, std::size_t most_waiting,
                       std::size_t stack)
    : most_waiting_(most_waiting) {
  try {
    for (std::size_t n = 0; n < threads; ++n)
      threads_.emplace_back(
          name, [this] { work(); }, stack);
  } catch (...) {
    // Those that were had would wait for work for ever, and whoever joins them with them.
    stop();
    throw;
  }
}

bool ThreadPool::take(std::function<void()> job) {
  const std::lock_guard held(lock_);
  if (stopping_ || waiting_.size() >= most_waiting_) return false;
  waiting_.push_back(std::move(job));
  changed_.notify_one();
  return true;
}

void ThreadPool::stop() {
  {
    const std::lock_guard held(lock_);
    stopping_ = true;
    waiting_.clear();
  }
  changed_.notify_all();
  for (auto& thread : threads_) thread.join();
}

void ThreadPool::work() {
  std::unique_lock held(lock_);
  for (;;) {
    changed_.wait(held, [this] { return stopping_ || !waiting_.empty(); });
    if (stopping_) return;
    const auto job = std::move(waiting_.front());
    waiting_.pop_front();
    held.unlock();
    job();
    held.lock();
  }
}

}  // namespace ospreypost::net
