// Test environment of a scenario: fake replicas, proxies, resolvers and clients on loopback addresses, and
// the endpoint list file that the control plane reads.
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

// A block of loopback addresses that no other running scenario on this machine uses.
class Block {
 public:
  Block();  // throws net::Error if all blocks are in use
  net::Address address(int group, std::size_t number, std::uint16_t port) const;

 private:
  int second_octet_ = 0;
  net::Socket claimed_socket_;
};

// Writes the endpoint list file. Each change replaces the whole file atomically, unless a fault of the
// scenario damages the file.
class EndpointListWriter {
 public:
  EndpointListWriter(std::filesystem::path path, checker::Trace& trace)
      : path_(std::move(path)), trace_(trace) {}
  void add(const fakes::ReplicaConfig& replica, const std::string& zone, const std::string& kind);
  void set_phase(const std::string& replica, checker::EndpointPhase phase, bool started_now);
  // Damages the file in the way that `kind` names (the values of `becomes` in a scenario file). An empty
  // `kind` restores the file.
  void damage(const std::string& kind);

 private:
  struct Entry {
    std::string zone, kind, address;
    checker::EndpointPhase phase = checker::EndpointPhase::ready;
    double started_at = 0;  // start time in seconds since 1970; 0: the file states no start time
  };
  void write();

  const std::filesystem::path path_;
  checker::Trace& trace_;
  std::mutex lock_;
  std::map<std::string, Entry> entries_;
  std::string damage_;
};

class TestEnvironment {
 public:
  TestEnvironment(const Scenario& scenario, const config::Config& config, const std::filesystem::path& folder,
                  checker::Trace& trace, const fakes::InjectedDefects& defects);
  ~TestEnvironment() { stop(); }
  // Returns `text`, a configuration of the control plane, with the addresses and paths of this environment.
  // `number`: 1, or 2 for a second control plane that runs at the same time.
  std::string configuration(const std::string& text, const std::string& label, std::size_t number) const;
  void start();
  // Starts without a control plane: all proxies use all replicas with equal weights for the whole run.
  void start_with_equal_weights();
  void stop();
  fakes::Proxy& proxy(const std::string& name) { return *proxies_.at(name); }
  fakes::Replica& replica(const std::string& name) { return *replicas_.at(name); }
  EndpointListWriter& endpoint_list() { return endpoint_list_; }
  net::Address dns() const { return block_.address(0, 1, 5300); }
  net::Address reports() const { return block_.address(0, 1, 4318); }
  void cut(const std::string& proxy, bool cut);
  // Starts the receiver processes of the proxies that have a receiver.
  void start_receivers(const std::string& program);
  void start_receiver(const std::string& program, const std::string& proxy);
  void kill_receiver(const std::string& proxy);
  // Sets the fault of the link to the receiver of a proxy. While pushes don't arrive, the proxy counts as cut
  // off.
  void push_fault(const std::string& proxy, fakes::LinkFault fault, Nanos delay);
  void pause_proxy(const std::string& proxy, bool paused);
  // Cuts or restores the connections from proxies to replicas and to the control plane that cross the border
  // of the zone.
  void cut_zone(const std::string& zone, bool cut);
  void ignore_files(const std::string& proxy, bool ignored);
  // Makes the writes of the proxy's receiver fail or succeed again. Returns false if the proxy has no
  // receiver: then the control plane itself writes the folder of the proxy.
  bool fill_disk(const std::string& proxy, bool full);

 private:
  // Adds to the trace that the control plane can't reach the proxy (`cut`), or can again.
  void note_cut(const std::string& proxy, bool cut);
  fakes::ControlPlaneAddresses addresses_of(const std::string& proxy) const;

  const config::Config& config_;
  checker::Trace& trace_;
  Block block_;
  EndpointListWriter endpoint_list_;
  std::filesystem::path endpoint_list_path_, log_path_;
  std::map<std::string, net::Address> entry_addresses_;
  std::map<std::string, std::string> replica_zones_;  // zone of each replica, by its name
  // By proxy, for proxies that read their tables from files: the folder of the tables.
  std::map<std::string, std::string> table_folders_;
  // By proxy, for proxies with a receiver: the address of the receiver.
  std::map<std::string, net::Address> receiver_addresses_;
  std::map<std::string, std::unique_ptr<ChildProcess>> receivers_;
  // By proxy: the link that forwards pushes to the receiver of the proxy.
  std::map<std::string, std::unique_ptr<fakes::FaultyLink>> faulty_links_;
  std::map<std::string, std::unique_ptr<fakes::Replica>> replicas_;
  std::map<std::string, std::unique_ptr<fakes::Proxy>> proxies_;
  std::vector<std::unique_ptr<fakes::Resolver>> resolvers_;
  // By proxy, for proxies that query a caching resolver: the address of the resolver.
  std::map<std::string, net::Address> resolver_addresses_;
  std::vector<std::unique_ptr<fakes::CachingClient>> caching_clients_;
};

}  // namespace ospreypost::scenario
