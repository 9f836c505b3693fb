// The running governor: sources, intake and fronts round the live governor, started and stopped together.
#pragma once

#include <atomic>
#include <memory>

#include "config/config.h"
#include "dns/server.h"
#include "files/pusher.h"
#include "governor/live_governor.h"
#include "governor/log_lines.h"
#include "http/http.h"
#include "intake/intake.h"
#include "record/writer.h"
#include "sources/roll_file.h"

namespace spdlog {
class logger;
}

namespace ospreypost::governor {

class Service : private World, private sources::ListSink, private intake::Receiver {
 public:
  // Throws net::Error if an address cannot be had. Serves from then on.
  Service(const config::Config& config, std::shared_ptr<spdlog::logger> log);
  ~Service() override { stop(); }
  net::Address dns_address() const { return dns_->address(); }
  net::Address http_address() const { return http_->address(); }
  // Within a second.
  void stop();

 private:
  void probe(ReplicaId replica, const net::Address& at) override;
  void look_up_list() override;
  void log(std::string_view line, book::VersionNumber version) override;
  void list_taken(const list::Roll::Taken& taken) override;
  void list_unreadable(const std::string& why) override;
  std::optional<ReplicaId> find_replica(std::string_view name) const override;
  void replica_summed(const ReplicaSum& sum, const record::Origin& origin) override {
    live_->replica_summed(sum, origin);
  }
  void demand_summed(const Demand& demand, const record::Origin& origin) override {
    live_->demand_summed(demand, origin);
  }
  void reported(ProxyId proxy) override { live_->reported(proxy); }

  http::Response answer(const http::Request& request);
  http::Response take_metrics(const http::Request& request);
  // /generations/PROXY, /rollback/PROXY?version=N
  http::Response answer_generations(const std::string& proxy);
  http::Response answer_rollback(const std::string& rest);
  void complain(const std::string& what) { complaints_.add(what); }
  void ask_load(ReplicaId replica, const net::Address& at);

  const config::Config config_;
  const std::shared_ptr<spdlog::logger> log_;
  Complaints complaints_;
  std::unique_ptr<record::Writer> record_;
  std::unique_ptr<LiveGovernor> live_;
  std::unique_ptr<intake::Intake> intake_;
  std::unique_ptr<dns::Responder> responder_;
  std::unique_ptr<net::Crew> probers_;
  std::unique_ptr<dns::Server> dns_;
  std::unique_ptr<http::Server> http_;
  std::unique_ptr<files::Pusher> pusher_;
  std::unique_ptr<sources::RollFile> roll_;
  std::atomic<bool> stopped_ = false;
};

}  // namespace ospreypost::governor
