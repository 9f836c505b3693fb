#include "fakes/proxy.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "fakes/tables.h"

namespace ospreypost::fakes {
namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr auto kRetryInterval = 250ms;  // time until a DNS query without an answer is repeated
constexpr auto kFileReadInterval = 30ms;
constexpr auto kConnectTimeout = 250ms;
constexpr std::size_t kMaxIdleConnections = 16;  // maximum number of idle connections to one target
constexpr int kMaxClientRepeats = 2;
// Time that a client waits before its first repeat. The time doubles with each repeat.
constexpr auto kClientBackoff = 100ms;

nanoseconds now() { return std::chrono::steady_clock::now().time_since_epoch(); }
nanoseconds wall_now() { return std::chrono::system_clock::now().time_since_epoch(); }
net::Deadline deadline(nanoseconds at) {
  return net::Deadline(std::chrono::duration_cast<net::Steady::duration>(at));
}

}  // namespace

Proxy::Proxy(const ProxyConfig& config, checker::Trace& trace, std::uint32_t seed)
    : config_(config),
      trace_(trace),
      generator_(seed),
      tables_(config.classes.size()),
      class_counts_(config.classes.size()),
      workers_("proxy-worker", config.workers, 2 * config.workers) {
  entry_server_ = std::make_unique<http::Server>(
      "proxy-entry", config_.entry, http::Limits{}, 64,
      [this](const http::Request& request) { return answer_client(request); }, [](const std::string&) {});
}

void Proxy::set_addresses(const ControlPlaneAddresses& addresses) {
  const std::lock_guard held(lock_);
  const bool first = addresses_.dns.port == 0;
  addresses_ = addresses;
  changed_.notify_all();
  if (!first || stopping_) return;
  const auto update_tables = [this, folder = addresses.folder] {
    folder.empty() ? refresh_tables() : watch_files(folder);
  };
  table_thread_ = net::Thread("proxy-tables", update_tables, 2 * net::kSmallStack);
  report_thread_ = net::Thread("proxy-report", [this] { collect_reports(); });
  send_thread_ = net::Thread("proxy-post", [this] { send_reports(); });
}

void Proxy::ignore_files(bool ignored) {
  const std::lock_guard held(lock_);
  files_ignored_ = ignored;
}

void Proxy::set_report_delay(std::chrono::nanoseconds delay) {
  const std::lock_guard held(lock_);
  report_delay_ = delay;
}

void Proxy::set_unreachable_replicas(std::set<std::string> replicas) {
  const std::lock_guard held(lock_);
  unreachable_replicas_ = std::move(replicas);
}

void Proxy::pause(bool paused) {
  const std::lock_guard held(lock_);
  paused_ = paused;
  changed_.notify_all();
}

void Proxy::wait_while_paused() {
  std::unique_lock held(lock_);
  changed_.wait(held, [this] { return stopping_ || !paused_; });
}

void Proxy::use_fixed_table(const Resolved& table) {
  const std::lock_guard held(lock_);
  for (auto& current : tables_) current = {table, std::chrono::nanoseconds::max(), true};
}

void Proxy::stop() {
  {
    const std::lock_guard held(lock_);
    stopping_ = true;
  }
  changed_.notify_all();
  workers_.stop();
  entry_server_->stop();
  table_thread_.join();
  report_thread_.join();
  send_thread_.join();
}

// --- Tables

void Proxy::refresh_tables() {
  std::unique_lock held(lock_);
  while (!stopping_) {
    const auto due = std::min_element(tables_.begin(), tables_.end(), [](const Table& a, const Table& b) {
      return a.valid_until < b.valid_until;
    });
    if (const auto wait = due->valid_until - now(); wait > 0ns) {
      changed_.wait_for(held, wait);
      continue;
    }
    const auto cls = static_cast<std::size_t>(due - tables_.begin());
    held.unlock();
    wait_while_paused();
    refresh(cls);
    held.lock();
  }
}

void Proxy::refresh(std::size_t cls) {
  ControlPlaneAddresses addresses;
  {
    const std::lock_guard held(lock_);
    addresses = addresses_;
  }
  const auto name = "_" + config_.classes[cls].name + "._tcp." + config_.name + ".proxies." + config_.apex;
  auto resolved = addresses.cut ? Resolved{} : resolve(addresses.dns, name);
  const std::lock_guard held(lock_);
  auto& table = tables_[cls];
  const auto at = now();
  if (resolved.kind == Resolved::Kind::failed) {
    // Without an answer, the proxy keeps its expired table (RFC 8767) and repeats the query soon.
    table.valid_until = at + kRetryInterval;
    if (!table.received)
      trace_.add(checker::Answered{at, config_.name, config_.classes[cls].name, 0, {}, true});
    return;
  }
  const auto lifetime = std::chrono::seconds(resolved.lifetime);
  apply_table(cls, std::move(resolved));
  table.valid_until =
      at + (config_.defects.ignores_ttl ? kRetryInterval : std::chrono::duration_cast<nanoseconds>(lifetime));
}

// Makes `resolved` the table of the class and adds it to the trace. The caller holds the lock.
void Proxy::apply_table(std::size_t cls, Resolved resolved) {
  auto& table = tables_[cls];
  const auto at = now();
  if (config_.defects.keeps_removed_entries && table.received) {
    for (const auto& old : table.resolved.targets) {
      const auto same = [&](const Target& target) { return target.name == old.name; };
      if (std::none_of(resolved.targets.begin(), resolved.targets.end(), same))
        resolved.targets.push_back(old);
    }
  }
  table.resolved = std::move(resolved);
  table.received = true;
  checker::Answered answered{at, config_.name,           config_.classes[cls].name, table.resolved.version,
                             {}, table.resolved.replicas};
  for (const auto& target : table.resolved.targets) answered.names.push_back(target.name);
  std::erase_if(listed_since_, [&](const auto& seen) {
    return std::find(answered.names.begin(), answered.names.end(), seen.first) == answered.names.end();
  });
  for (const auto& name : answered.names) listed_since_.try_emplace(name, at);
  trace_.add(std::move(answered));
}

// Reads the tables again whenever the link `current` changes, applies them and acknowledges them in the file
// `applied`.
void Proxy::watch_files(const std::string& folder) {
  std::string last;
  std::unique_lock held(lock_);
  while (!changed_.wait_for(held, kFileReadInterval, [this] { return stopping_; })) {
    std::error_code error;
    const auto current = std::filesystem::read_symlink(folder + "/current", error).string();
    if (error || current == last || files_ignored_ || paused_) continue;
    held.unlock();
    std::vector<Resolved> tables;
    for (const auto& cls : config_.classes) tables.push_back(read_table(folder + "/" + current, cls.name));
    held.lock();
    if (files_ignored_) continue;
    for (std::size_t n = 0; n < tables.size(); ++n) apply_table(n, std::move(tables[n]));
    last = current;
    unsigned long long epoch = 0, version = 0;
    std::sscanf(current.c_str(), "gen-%llu-%llu", &epoch, &version);
    std::ofstream(folder + "/applied.new") << epoch << ' ' << version << '\n';
    std::filesystem::rename(folder + "/applied.new", folder + "/applied", error);
  }
}

// --- Operations

void Proxy::submit(std::uint64_t id, std::size_t cls) {
  const auto asked = now();
  const bool taken = workers_.take([this, id, cls] { serve_client(id, cls); });
  // A rejected operation is answered with an error at once.
  if (!taken) trace_.add(checker::Operation{asked, id, config_.classes[cls].name, std::nullopt});
}

void Proxy::serve_client(std::uint64_t id, std::size_t index) {
  const auto& cls = config_.classes[index];
  checker::Operation operation{now(), id, cls.name, std::nullopt};
  const auto client_deadline = operation.requested_at + cls.request_deadline;
  auto backoff = std::chrono::duration_cast<nanoseconds>(kClientBackoff);
  for (int repeat = 0; repeat <= kMaxClientRepeats; ++repeat) {
    const auto outcome = forward(id, index, client_deadline);
    if (outcome == Outcome::done) operation.answered_at = now();
    // A client repeats idempotent operations after any failure, at-most-once operations only if they weren't
    // executed.
    const bool again = outcome == Outcome::refused || (outcome != Outcome::done && !cls.at_most_once);
    if (!again || now() + backoff >= client_deadline) break;
    std::unique_lock held(lock_);
    if (changed_.wait_for(held, backoff, [this] { return stopping_; })) break;
    backoff *= 2;
  }
  trace_.add(std::move(operation));
}

Proxy::Outcome Proxy::forward(std::uint64_t id, std::size_t index, nanoseconds operation_deadline) {
  const auto& cls = config_.classes[index];
  {
    const std::lock_guard held(lock_);
    ++class_counts_[index].operations;
    const bool admitted =
        std::uniform_real_distribution<double>(0, 1)(generator_) < tables_[index].resolved.level;
    if (!admitted) return Outcome::refused;
  }
  std::vector<std::string> tried;
  auto outcome = Outcome::refused;
  while (now() < operation_deadline) {
    wait_while_paused();
    // Each attempt uses the current table, since a replica may have begun to drain since the last attempt.
    Resolved table;
    {
      const std::lock_guard held(lock_);
      table = tables_[index].resolved;
    }
    const std::size_t max_attempts = table.retry == "twice" ? 3 : table.retry == "none" ? 1 : 2;
    const auto target = tried.size() < max_attempts ? pick(table, tried) : std::nullopt;
    if (!target) break;
    tried.push_back(target->name);
    outcome = attempt(*target, table.replicas, id, cls, operation_deadline);
    const bool any_failure = table.retry == "once" || table.retry == "twice";
    const bool may_retry = outcome == Outcome::refused || (outcome != Outcome::done && any_failure) ||
                           (outcome == Outcome::unknown && config_.defects.retries_after_timeout);
    if (!may_retry) break;
    if (config_.defects.retries_after_timeout)
      operation_deadline = std::max(operation_deadline, now() + cls.request_deadline);
  }
  if (outcome != Outcome::done) {
    const std::lock_guard held(lock_);
    ++class_counts_[index].unanswered;
  }
  return outcome;
}

// Picks by RFC 2782: among the targets with the lowest priority value, at random by weight.
std::optional<Target> Proxy::pick(const Resolved& table, const std::vector<std::string>& tried) {
  std::vector<const Target*> candidates;
  for (const auto& target : table.targets) {
    if (std::find(tried.begin(), tried.end(), target.name) == tried.end()) candidates.push_back(&target);
  }
  if (candidates.empty()) return std::nullopt;
  const auto lowest_priority = (*std::min_element(candidates.begin(), candidates.end(), [](auto* a, auto* b) {
                                 return a->priority < b->priority;
                               }))->priority;
  std::erase_if(candidates, [&](const Target* target) { return target->priority != lowest_priority; });
  std::vector<double> weights;
  for (const auto* target : candidates) weights.push_back(std::max<double>(target->weight, 0.001));
  const std::lock_guard held(lock_);
  if (config_.defects.prefers_new_targets) {
    return **std::max_element(candidates.begin(), candidates.end(), [&](auto* a, auto* b) {
      return listed_since_[a->name] < listed_since_[b->name];
    });
  }
  return *candidates[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(generator_)];
}

Proxy::Outcome Proxy::attempt(const Target& target, bool replica, std::uint64_t id, const OperationClass& cls,
                              nanoseconds operation_deadline) {
  const auto started_at = now();
  // An attempt ends at the latency objective, so that the client is still waiting when an attempt at a
  // hanging replica is given up.
  const auto attempt_deadline = std::min(operation_deadline, started_at + cls.latency_objective);
  if (replica) trace_.add(checker::Sent{started_at, config_.name, target.name, id});
  auto outcome = Outcome::unknown;
  double util = -1;
  std::unique_ptr<http::Connection> connection;
  try {
    fail_if_unreachable(target.name, std::min<nanoseconds>(attempt_deadline, started_at + kConnectTimeout));
    connection =
        connection_to(target.address, std::min<nanoseconds>(attempt_deadline, started_at + kConnectTimeout));
  } catch (const net::Error&) {
    outcome = Outcome::refused;
  }
  if (connection) {
    try {
      http::Request request;
      request.method = "POST";
      request.target = "/op/" + std::to_string(id) + "?class=" + cls.name +
                       "&work_us=" + std::to_string(std::llround(cls.work_seconds * 1e6)) + "&expires_ms=" +
                       std::to_string(std::max<long long>(0, (attempt_deadline - started_at) / 1ms));
      connection->write(request, target.address.text(), deadline(attempt_deadline));
      const auto response = connection->read_response(100'000, deadline(attempt_deadline));
      outcome = response.status == 200   ? Outcome::done
                : response.status == 503 ? Outcome::refused
                                         : Outcome::failed;
      const auto load = nlohmann::json::parse(response.body, nullptr, false);
      if (load.is_object()) util = load.value("util", -1.0);
      if (response.keep_alive) return_connection(target.address, std::move(connection));
    } catch (const net::Error&) {
      outcome = Outcome::unknown;
    }
  }
  if (!replica) return outcome;
  const std::lock_guard held(lock_);
  auto& counts = replica_counts_[target.name];
  ++counts.attempts;
  counts.failed += outcome != Outcome::done;
  if (outcome == Outcome::done)
    counts.handled_seconds += std::chrono::duration<double>(now() - started_at).count();
  if (util >= 0) counts.util = util;
  return outcome;
}

// Waits as long as a connection attempt to an unreachable host would.
void Proxy::fail_if_unreachable(const std::string& replica, nanoseconds wait_end) {
  std::unique_lock held(lock_);
  if (!unreachable_replicas_.contains(replica)) return;
  changed_.wait_for(held, wait_end - now(), [this] { return stopping_; });
  throw net::Error("no connection to the unreachable replica " + replica);
}

std::unique_ptr<http::Connection> Proxy::connection_to(const net::Address& address,
                                                       nanoseconds connect_deadline) {
  {
    const std::lock_guard held(lock_);
    auto& idle = idle_connections_[address];
    while (!idle.empty()) {
      auto connection = std::move(idle.back());
      idle.pop_back();
      // An operation sent on a connection that the peer has closed would be lost.
      if (connection->is_open()) return connection;
    }
  }
  return std::make_unique<http::Connection>(net::connect(address, deadline(connect_deadline)));
}

void Proxy::return_connection(const net::Address& address, std::unique_ptr<http::Connection> connection) {
  const std::lock_guard held(lock_);
  auto& idle = idle_connections_[address];
  if (idle.size() < kMaxIdleConnections) idle.push_back(std::move(connection));
}

// Forwards operations that are sent to the entry address: by caching clients, and by proxies whose tables
// name this proxy. Such an operation is not repeated as `serve_client` does, since its sender repeats it.
http::Response Proxy::answer_client(const http::Request& request) {
  const auto id =
      std::strtoull(request.target.c_str() + std::min<std::size_t>(request.target.size(), 4), nullptr, 10);
  for (std::size_t n = 0; n < config_.classes.size(); ++n) {
    if (request.target.find("class=" + config_.classes[n].name + "&") == std::string::npos) continue;
    const auto outcome = forward(id, n, now() + config_.classes[n].request_deadline);
    const unsigned status = outcome == Outcome::done ? 200 : outcome == Outcome::refused ? 503 : 500;
    return {status, "application/json", "{}", std::nullopt, true};
  }
  return {400, "text/plain", "no operation\n", std::nullopt, true};
}

// --- Reports

void Proxy::collect_reports() {
  auto begin = wall_now();
  std::unique_lock held(lock_);
  while (!changed_.wait_for(held, config_.report_interval, [this] { return stopping_; })) {
    held.unlock();
    wait_while_paused();
    const auto end = wall_now();
    report(begin, end);
    held.lock();
    begin = end;
  }
}

void Proxy::report(nanoseconds begin, nanoseconds end) {
  load_reports::MetricsReport report;
  report.proxy = config_.name;
  const std::lock_guard held(lock_);
  for (const auto& [replica, counts] : replica_counts_) {
    load_reports::ReplicaPoint point{replica,       {begin, end},           counts.attempts,
                                     counts.failed, counts.handled_seconds, {}};
    if (counts.util >= 0) point.load["util"] = counts.util;
    report.replicas.push_back(std::move(point));
  }
  for (std::size_t n = 0; n < class_counts_.size(); ++n)
    report.classes.push_back(
        {config_.classes[n].name, {begin, end}, class_counts_[n].operations, class_counts_[n].unanswered});
  replica_counts_.clear();
  std::fill(class_counts_.begin(), class_counts_.end(), ClassCounts{});
  pending_reports_.emplace(now() + report_delay_, load_reports::write_metrics(report));
  changed_.notify_all();
}

// Sends each pending report when it is due. Reports may therefore be sent in another order than they were
// collected.
void Proxy::send_reports() {
  std::unique_lock held(lock_);
  while (!stopping_) {
    if (pending_reports_.empty() || pending_reports_.begin()->first > now()) {
      const auto wait = pending_reports_.empty() ? nanoseconds(1s) : pending_reports_.begin()->first - now();
      changed_.wait_for(held, wait);
      continue;
    }
    http::Request request;
    request.method = "POST";
    request.target = "/v1/metrics";
    request.content_type = "application/json";
    request.body = std::move(pending_reports_.begin()->second);
    pending_reports_.erase(pending_reports_.begin());
    const auto addresses = addresses_;
    if (addresses.cut) continue;
    held.unlock();
    try {
      http::fetch(addresses.reports, request, http::kMaxStatusBytes, net::Steady::now() + 1s);
    } catch (const net::Error&) {
      // A report that can't be sent is lost. The next report covers only the time after it.
    }
    held.lock();
  }
}

}  // namespace ospreypost::fakes
