// Pushes tables: renders the tables of a proxy into a generation, and delivers the generation to the proxy's
// folder or receiver.
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

// Renders the tables of a push into a generation.
Generation generation_of(const config::Config& config, const delivery::PushMessage& push);

class Pusher : public delivery::PushListener {
 public:
  Pusher(const config::Config& config, delivery::PushService& core);
  ~Pusher() override { stop(); }
  void on_push_available() override;
  void stop();

  // Returns the state of a proxy's folder, for operators. Throws net::Error if the receiver does not answer,
  // or if the proxy has neither a folder nor a receiver.
  State fetch_state(ProxyId proxy);
  // Makes a kept version current again. Throws net::Error with the reason if that is rejected. `excluded`:
  // replicas that the version must not list.
  State roll_back(ProxyId proxy, std::uint64_t version, const std::vector<std::string>& excluded);

 private:
  void schedule();
  void process(const delivery::PushMessage& push);
  // Returns the state of a proxy's folder; first renews the lease for the epoch and owner of `renewal`, if
  // given.
  State state_of(ProxyId proxy, const delivery::PushMessage* renewal, net::Deadline deadline);
  LeasedStore* local_store_of(const config::ProxyEntry& proxy);
  std::pair<Delivery, State> deliver(const delivery::PushMessage& push, net::Deadline deadline);

  const config::Config& config_;
  delivery::PushService& core_;
  std::map<std::string, std::unique_ptr<LeasedStore>> local_stores_;  // by path; folders on this host
  std::mutex lock_;
  std::condition_variable changed_;
  bool stopping_ = false;
  bool checked_ = false;          // no push became available or finished since the last check of `core_`
  std::size_t busy_workers_ = 0;  // number of pushes being processed
  std::unique_ptr<net::ThreadPool> workers_;
  net::Thread scheduler_;
};

}  // namespace ospreypost::files
