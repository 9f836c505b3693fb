// The front that pushes: renders what stands for a proxy, and brings it to its folder or its receiver.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

#include "config/config.h"
#include "files/receiver.h"
#include "files/render.h"
#include "front/core.h"

namespace ospreypost::files {

// The generation that carries a push.
Generation generation_of(const config::Config& config, const front::Push& push);

class Pusher : public front::PushFront {
 public:
  Pusher(const config::Config& config, front::PushCore& core);
  ~Pusher() override { stop(); }
  void something_ordered() override;
  void stop();

 private:
  void schedule();
  void carry(const front::Push& push);
  State state_of(const front::Push& push, net::Deadline until);
  std::pair<Delivery, State> deliver(const front::Push& push, net::Deadline until);

  const config::Config& config_;
  front::PushCore& core_;
  std::map<std::string, std::unique_ptr<Shelf>> shelves_;  // by folder, of this host
  std::mutex lock_;
  std::condition_variable changed_;
  bool stopping_ = false;
  bool looked_ = false;   // since something was ordered or came back
  std::size_t busy_ = 0;  // carriers
  std::unique_ptr<net::Crew> carriers_;
  net::Thread scheduler_;
};

}  // namespace ospreypost::files
