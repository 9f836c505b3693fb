// The stand-ins of a day, on loopback addresses of their own, and the roll that lists them.
#pragma once

#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "fakes/caching_client.h"
#include "fakes/faulty_link.h"
#include "fakes/proxy.h"
#include "fakes/replica.h"
#include "fakes/resolver.h"
#include "scenario/child_process.h"
#include "scenario/scenario.h"

namespace ospreypost::scenario {

// A block of loopback addresses that no other day on this machine uses at the time.
class Block {
 public:
  Block();  // throws net::Error if all are taken
  net::Address address(int group, std::size_t number, std::uint16_t port) const;

 private:
  int second_ = 0;
  net::Socket claim_;
};

// The roll file as the day wants it read; whatever changes is written at once and whole, but for what a
// trouble makes of it.
class RollWriter {
 public:
  RollWriter(std::filesystem::path path, checker::Trace& trace) : path_(std::move(path)), trace_(trace) {}
  void put(const fakes::ReplicaShape& shape, const std::string& zone, const std::string& kind);
  void list(const std::string& replica, checker::EndpointPhase phase, bool started_now);
  // Empty: whole again.
  void spoil(const std::string& becomes);

 private:
  struct Entry {
    std::string zone, kind, address;
    checker::EndpointPhase phase = checker::EndpointPhase::ready;
    double started = 0;  // seconds since 1970; 0: long ago
  };
  void write();

  const std::filesystem::path path_;
  checker::Trace& trace_;
  std::mutex lock_;
  std::map<std::string, Entry> entries_;
  std::string spoiled_;
};

class TestEnvironment {
 public:
  TestEnvironment(const Scenario& script, const config::Config& config, const std::filesystem::path& folder,
                  checker::Trace& trace, const fakes::InjectedDefects& defects);
  ~TestEnvironment() { stop(); }
  // The governor's configuration for this stage, from the text of the original.
  // `number`: 1, or 2 for one that runs beside it.
  std::string configuration(const std::string& text, const std::string& label, std::size_t number) const;
  void start();
  // Without a governor: every proxy goes by all replicas with equal weights, all day.
  void start_with_equal_weights();
  void stop();
  // One proxy, or one replica, by name.
  fakes::Proxy& proxy(const std::string& name) { return *proxies_.at(name); }
  fakes::Replica& replica(const std::string& name) { return *replicas_.at(name); }
  RollWriter& roll() { return roll_; }
  net::Address dns() const { return block_.address(0, 1, 5300); }
  net::Address reports() const { return block_.address(0, 1, 4318); }
  void cut(const std::string& proxy, bool cut);
  // In processes of their own, for the proxies that have one.
  void start_receivers(const std::string& program);
  void start_receiver(const std::string& program, const std::string& proxy);
  void kill_receiver(const std::string& proxy);
  // Of proxies with a receiver; nobody can bring them anything while what is pushed does not arrive.
  void push_fault(const std::string& proxy, fakes::LinkFault carriage, Nanos by);
  void be_still(const std::string& proxy, bool still);
  // Between the zone and the others: proxies to replicas, and proxies to the governor.
  void cut_zone(const std::string& zone, bool cut);
  void be_deaf(const std::string& proxy, bool deaf);
  // False if no receiver writes that proxy's folder.
  bool fill_disk(const std::string& proxy, bool full);

 private:
  // For what keeps the governor from reaching a proxy.
  void note_cut(const std::string& proxy, bool cut);
  fakes::ControlPlaneAddresses reach_of(const std::string& proxy) const;

  const config::Config& config_;
  checker::Trace& trace_;
  Block block_;
  RollWriter roll_;
  std::filesystem::path roll_path_, log_path_;
  std::map<std::string, net::Address> entries_;
  std::map<std::string, std::string> zones_;          // of the replicas
  std::map<std::string, std::string> folders_;        // of proxies that are pushed to
  std::map<std::string, net::Address> receivers_at_;  // of those with a receiver
  std::map<std::string, std::unique_ptr<ChildProcess>> receivers_;
  std::map<std::string, std::unique_ptr<fakes::FaultyLink>> couriers_;  // before them
  std::map<std::string, std::unique_ptr<fakes::Replica>> replicas_;
  std::map<std::string, std::unique_ptr<fakes::Proxy>> proxies_;
  std::vector<std::unique_ptr<fakes::Resolver>> resolvers_;
  std::map<std::string, net::Address> dns_of_;  // of those behind a resolver
  std::vector<std::unique_ptr<fakes::CachingClient>> terminals_;
};

}  // namespace ospreypost::scenario
