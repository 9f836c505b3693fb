// What both services do to lines before they are logged.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "policy/controller.h"

namespace spdlog {
class logger;
}

namespace ospreypost::control_plane {

// The module knows numbers only; people know names. Where `name_of` gives none, the number stays.
std::string with_replica_name(std::string_view line,
                              const std::function<std::string_view(ReplicaId)>& name_of);

// Faults of others, which may come by the thousand: no more than one line in each while, with their count.
class RateLimitedLogger {
 public:
  RateLimitedLogger(std::shared_ptr<spdlog::logger> log, Nanos every) : log_(std::move(log)), every_(every) {}
  void add(const std::string& what);  // from any thread

 private:
  const std::shared_ptr<spdlog::logger> log_;
  const Nanos every_;
  std::mutex lock_;
  Nanos last_{};
  std::size_t since_ = 0;
};

}  // namespace ospreypost::control_plane
