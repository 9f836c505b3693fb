// The front that pushes: renders what stands for a proxy, and brings it to its folder or its receiver.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

#include "config/config.h"
#include "delivery/push_service.h"
#include "files/receiver.h"
#include "files/render.h"

namespace ospreypost::files {

// The generation that carries a push.
Generation generation_of(const config::Config& config, const delivery::PushMessage& push);

class Pusher : public delivery::PushListener {
 public:
  Pusher(const config::Config& config, delivery::PushService& core);
  ~Pusher() override { stop(); }
  void on_push_available() override;
  void stop();

  // By hand. What lies at a proxy; throws net::Error if nobody there can say, or it has neither folder nor
  // receiver.
  State fetch_state(ProxyId proxy);
  // Throws net::Error saying why not. `out`: whom nobody may send to.
  State roll_back(ProxyId proxy, std::uint64_t version, const std::vector<std::string>& out);

 private:
  void schedule();
  void carry(const delivery::PushMessage& push);
  // A sign of life, if a speaker is given.
  State state_of(ProxyId proxy, const delivery::PushMessage* speaker, net::Deadline until);
  GenerationShelf* shelf_of(const config::ProxyEntry& proxy);
  std::pair<Delivery, State> deliver(const delivery::PushMessage& push, net::Deadline until);

  const config::Config& config_;
  delivery::PushService& core_;
  std::map<std::string, std::unique_ptr<GenerationShelf>> shelves_;  // by folder, of this host
  std::mutex lock_;
  std::condition_variable changed_;
  bool stopping_ = false;
  bool looked_ = false;   // since something was ordered or came back
  std::size_t busy_ = 0;  // carriers
  std::unique_ptr<net::ThreadPool> carriers_;
  net::Thread scheduler_;
};

}  // namespace ospreypost::files
