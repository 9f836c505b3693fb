// Fake plain proxy: it resolves its routing tables over DNS or reads them from files, uses each DNS answer
// until its TTL ends, picks targets by weight, retries as the table allows, and sends load reports. It makes
// no decisions about replicas.
#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "checker/trace.h"
#include "fakes/stub_resolver.h"
#include "http/http.h"
#include "load_reports/otlp_metrics.h"

namespace ospreypost::fakes {

struct OperationClass {
  std::string name;
  bool at_most_once = true;
  std::chrono::nanoseconds latency_objective{}, request_deadline{};
  double work_seconds = 0;  // time to execute the operation on a core of speed 1
};

// Addresses at which the proxy reaches the control plane; `dns` may be the address of a caching resolver.
struct ControlPlaneAddresses {
  net::Address dns, reports;
  std::string folder;  // folder of the routing tables; empty: the tables are resolved over DNS
  bool cut = false;    // true: the proxy reaches neither DNS nor the receiver of load reports
};

// Defects of a proxy that the tests of the invariant checker inject. All are off in other scenarios.
struct InjectedDefects {
  bool keeps_removed_entries = false;  // continues to send to targets that were removed from its table
  bool retries_after_timeout = false;  // retries after a timeout, also if the class is at-most-once
  bool ignores_ttl = false;            // queries DNS at a short interval, without regard to the TTL
  bool prefers_new_targets = false;    // picks the target that was added last, without regard to weights
};

struct ProxyConfig {
  std::string name, zone, apex;
  std::vector<OperationClass> classes;
  net::Address entry;
  std::chrono::nanoseconds report_interval{};
  std::size_t workers = 24;
  InjectedDefects defects;
};

class Proxy {
 public:
  Proxy(const ProxyConfig& config, checker::Trace& trace, std::uint32_t seed);
  ~Proxy() { stop(); }
  void set_addresses(const ControlPlaneAddresses& addresses);
  // While `ignored`, the proxy doesn't read new table files.
  void ignore_files(bool ignored);
  // Delays the sending of reports that are collected from now on. After a change to 0, new reports may
  // overtake delayed ones.
  void set_report_delay(std::chrono::nanoseconds delay);
  // New attempts at these replicas fail as if no connection could be established. Replaces the previous set.
  void set_unreachable_replicas(std::set<std::string> replicas);
  // While paused, the proxy resolves and reads no tables, starts no attempts and collects no reports.
  void pause(bool paused);
  // Uses one table for all classes and never resolves another: a proxy without a control plane.
  void use_fixed_table(const Resolved& table);
  // Submits an operation of a client of this proxy. The operation is rejected if all workers are busy and
  // their queue is full.
  void submit(std::uint64_t id, std::size_t cls);
  void stop();

 private:
  // refused: the operation was not executed; unknown: it may have been executed.
  enum class Outcome { done, failed, refused, unknown };
  struct Table {
    Resolved resolved;
    std::chrono::nanoseconds valid_until{};
    bool received = false;
  };
  struct ReplicaCounts {
    std::uint32_t attempts = 0, failed = 0;
    double handled_seconds = 0;
    double util = -1;
  };
  struct ClassCounts {
    std::uint32_t operations = 0, unanswered = 0;
  };

  void refresh_tables();
  void refresh(std::size_t cls);
  void watch_files(const std::string& folder);
  void apply_table(std::size_t cls, Resolved resolved);
  void collect_reports();
  void send_reports();
  // Blocks while the proxy is paused.
  void wait_while_paused();
  void report(std::chrono::nanoseconds begin, std::chrono::nanoseconds end);
  // Forwards an operation and repeats it as a client would, as far as its class allows repeats.
  void serve_client(std::uint64_t id, std::size_t cls);
  // Admits or rejects an operation by the admitted fraction of the table, and attempts it at targets that
  // `pick` returns while the table allows a retry.
  Outcome forward(std::uint64_t id, std::size_t cls, std::chrono::nanoseconds deadline);
  Outcome attempt(const Target& target, bool replica, std::uint64_t id, const OperationClass& cls,
                  std::chrono::nanoseconds deadline);
  std::optional<Target> pick(const Resolved& table, const std::vector<std::string>& tried);
  // If the replica is unreachable, waits until `deadline` and then throws net::Error.
  void fail_if_unreachable(const std::string& replica, std::chrono::nanoseconds deadline);
  std::unique_ptr<http::Connection> connection_to(const net::Address& address,
                                                  std::chrono::nanoseconds deadline);
  void return_connection(const net::Address& address, std::unique_ptr<http::Connection> connection);
  http::Response answer_client(const http::Request& request);

  const ProxyConfig config_;
  checker::Trace& trace_;
  std::mutex lock_;
  std::condition_variable changed_;
  bool stopping_ = false, files_ignored_ = false, paused_ = false;
  std::set<std::string> unreachable_replicas_;
  std::chrono::nanoseconds report_delay_{};
  // Reports by the time at which they are due to be sent.
  std::multimap<std::chrono::nanoseconds, std::string> pending_reports_;
  ControlPlaneAddresses addresses_;
  std::mt19937 generator_;
  std::vector<Table> tables_;  // current table of each class
  // By target: time at which the target appeared in the tables.
  std::map<std::string, std::chrono::nanoseconds> listed_since_;
  std::map<std::string, ReplicaCounts> replica_counts_;
  std::vector<ClassCounts> class_counts_;
  std::map<net::Address, std::vector<std::unique_ptr<http::Connection>>> idle_connections_;
  std::unique_ptr<http::Server> entry_server_;
  net::ThreadPool workers_;
  net::Thread table_thread_, report_thread_, send_thread_;
};

}  // namespace ospreypost::fakes
