// A governor in service on the platform: streams, discovery and probes round the module's desk.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "governor/desk.h"
#include "governor/log_lines.h"
#include "net/interrupt.h"
#include "net/threads.h"
#include "platform/channel.h"
#include "platform/environment.h"
#include "platform/peers.h"
#include "platform/places.h"
#include "platform/streams.h"
#include "sources/registry.h"

namespace spdlog {
class logger;
}

namespace ospreypost::platform {

class Service : private governor::Door, private StreamSink, private sources::RegistrySink {
 public:
  // Throws net::Error if an address cannot be had. Serves from then on.
  Service(const Environment& environment, std::shared_ptr<spdlog::logger> log);
  ~Service() override { stop(); }
  net::Address address() const { return streams_->address(); }
  // Takes what may change while it serves: where discovery is.
  void renew(const Environment& environment);
  void stop();

 private:
  void ordered(Nanos now, const std::optional<book::OrderBook::Published>& published,
               const std::vector<std::pair<MarkId, bool>>& marks) override;
  void withdrawn(ReplicaId, bool) override {}
  void probe(ReplicaId replica) override;
  void watch_list(bool) override {}
  void look_up_list() override { wants_list_ = true; }
  void tell(std::optional<PeerId> peer, std::string_view message) override;
  void log(std::string_view line) override;

  void proxy_joined(ProxyId proxy, ZoneId zone, double operations_per_second, bool fresh) override;
  void proxy_left(ProxyId proxy) override;
  void replica_summed(const ReplicaSum& sum) override;
  void demand_summed(ProxyId proxy, const Demand& demand) override;
  void mark_answered(ProxyId proxy, std::uint64_t nonce, Nanos took) override;
  std::vector<ProxyId> due() override;
  std::string next_for(ProxyId proxy) override;
  std::string_view name_of(ReplicaId id) const;
  void complain(const std::string& what) override { complaints_.add(what); }

  void roster_received(const sources::Roster& roster) override;
  void registry_silent(const std::string& why) override { complain("no news of the list: " + why); }
  void take_list(const sources::Roster& roster, bool at_start);
  void log_list(const sources::Roster& roster, bool at_start);

  void ask_load(ReplicaId replica, const net::Address& at);
  void look_round();

  const Environment environment_;
  const std::shared_ptr<spdlog::logger> log_;
  governor::Complaints complaints_;
  // What is written and to whom; held for a few instructions, after the desk's lock where both are.
  std::mutex lock_;
  Channel channel_;
  Places places_;
  std::shared_ptr<const book::Version> version_ = std::make_shared<book::Version>();
  std::set<ReplicaId> probed_;  // whose probes wait for their turn
  std::atomic<bool> wants_list_ = false;
  std::unique_ptr<governor::Desk> desk_;
  net::Interrupt interrupt_;  // of probes, at the end
  std::unique_ptr<net::Crew> probers_, teller_;
  std::unique_ptr<Peers> peers_;  // null where governors may not talk
  std::unique_ptr<Streams> streams_;
  std::unique_ptr<sources::Registry> registry_;
  std::atomic<bool> stopped_ = false;
};

}  // namespace ospreypost::platform
