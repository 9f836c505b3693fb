// A plain proxy: asks DNS for its tables, keeps each answer for its lifetime, picks by weight, tries again as
// the table says, and reports what it met. It judges nothing.
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
  double work_seconds = 0;  // on a core of speed 1
};

// Where the proxy finds the governor; changes when a governor starts anew, or a resolver stands between.
struct ControlPlaneAddresses {
  net::Address dns, reports;
  std::string folder;  // reads its tables from there instead of asking, if set
  bool cut = false;
};

// Guards taken out on purpose, to see the judge find out. Off in every day that is not a test of the judge.
struct InjectedDefects {
  bool keeps_old_lines = false;         // goes on sending to what its answers no longer name
  bool repeats_after_time_out = false;  // whatever the class
  bool asks_often = false;              // whatever the lifetime
  bool prefers_new = false;             // goes by how new a line is, not by its weight
};

struct ProxyShape {
  std::string name, zone, apex;
  std::vector<OperationClass> classes;
  net::Address entry;
  std::chrono::nanoseconds report_interval{};
  std::size_t workers = 24;
  InjectedDefects defects;
};

class Proxy {
 public:
  Proxy(const ProxyShape& shape, checker::Trace& trace, std::uint32_t seed);
  ~Proxy() { stop(); }
  void reach(const ControlPlaneAddresses& reach);
  // Reads no file anew, for as long as it is.
  void be_deaf(bool deaf);
  // Its reports are held up on their way for so long; 0: they are prompt, and may overtake those.
  void report_late(std::chrono::nanoseconds by);
  // Nothing comes through to these replicas, from connections that are opened from now on.
  void cut_off_from(std::set<std::string> replicas);
  // Stands still: asks, reads, sends and reports nothing until it no longer is.
  void be_still(bool still);
  // Goes by one table from now on and asks nobody: a proxy without a governor.
  void fix(const Resolved& table);
  // An operation of its own client: taken at once by a worker, or refused if none is free.
  void take(std::uint64_t id, std::size_t cls);
  void stop();

 private:
  enum class Outcome { done, failed, refused, unknown };  // refused: it never ran; unknown: it may have
  struct Table {
    Resolved resolved;
    std::chrono::nanoseconds until{};
    bool any = false;
  };
  struct Met {
    std::uint32_t attempts = 0, failed = 0;
    double handled_seconds = 0;
    double util = -1;
  };
  struct Asked {
    std::uint32_t operations = 0, unanswered = 0;
  };

  void keep_tables();
  void refresh(std::size_t cls);
  void keep_reading(const std::string& folder);
  void put(std::size_t cls, Resolved resolved);
  void keep_reporting();
  void keep_posting();
  // Until it stands still no longer.
  void wait_while_still();
  void report(std::chrono::nanoseconds from, std::chrono::nanoseconds to);
  // With the client's own repeats, as far as its class allows them.
  void serve_client(std::uint64_t id, std::size_t cls);
  // As the table orders: let in or not, picked, and tried again or not.
  Outcome perform(std::uint64_t id, std::size_t cls, std::chrono::nanoseconds until);
  Outcome try_at(const Target& target, bool replica, std::uint64_t id, const OperationClass& cls,
                 std::chrono::nanoseconds until);
  std::optional<Target> pick(const Resolved& from, const std::vector<std::string>& tried);
  // Throws net::Error after that wait, if it is.
  void wait_if_cut_off(const std::string& replica, std::chrono::nanoseconds until);
  std::unique_ptr<http::Connection> connection_to(const net::Address& address,
                                                  std::chrono::nanoseconds until);
  void keep(const net::Address& address, std::unique_ptr<http::Connection> connection);
  http::Response answer_entry(const http::Request& request);

  const ProxyShape shape_;
  checker::Trace& trace_;
  std::mutex lock_;
  std::condition_variable changed_;
  bool stopping_ = false, deaf_ = false, still_ = false;
  std::set<std::string> cut_off_from_;
  std::chrono::nanoseconds late_{};
  std::multimap<std::chrono::nanoseconds, std::string> to_post_;  // reports, by when they go out
  ControlPlaneAddresses reach_;
  std::mt19937 chance_;
  std::vector<Table> tables_;                                   // by class
  std::map<std::string, std::chrono::nanoseconds> seen_since_;  // by target, while it is named
  std::map<std::string, Met> met_;
  std::vector<Asked> asked_;
  std::map<net::Address, std::vector<std::unique_ptr<http::Connection>>> idle_;
  std::unique_ptr<http::Server> entry_;
  net::ThreadPool workers_;
  net::Thread resolving_, reporting_, posting_;
};

}  // namespace ospreypost::fakes
