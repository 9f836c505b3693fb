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

constexpr auto kAskAgain = 250ms;  // after a question that brought nothing
constexpr auto kReadEvery = 30ms;
constexpr auto kConnectTime = 250ms;
constexpr std::size_t kMostIdle = 16;  // connections to one replica
constexpr int kClientRepeats = 2;
constexpr auto kBackOff = 100ms;  // of a client, doubling

nanoseconds now() { return std::chrono::steady_clock::now().time_since_epoch(); }
nanoseconds wall_now() { return std::chrono::system_clock::now().time_since_epoch(); }
net::Deadline deadline(nanoseconds at) {
  return net::Deadline(std::chrono::duration_cast<net::Steady::duration>(at));
}

}  // namespace

Proxy::Proxy(const ProxyShape& shape, checker::Trace& trace, std::uint32_t seed)
    : shape_(shape),
      trace_(trace),
      chance_(seed),
      tables_(shape.classes.size()),
      asked_(shape.classes.size()),
      workers_("proxy-worker", shape.workers, 2 * shape.workers) {
  entry_ = std::make_unique<http::Server>(
      "proxy-entry", shape_.entry, http::Limits{}, 64,
      [this](const http::Request& request) { return answer_entry(request); }, [](const std::string&) {});
}

void Proxy::reach(const ControlPlaneAddresses& reach) {
  const std::lock_guard held(lock_);
  const bool first = reach_.dns.port == 0;
  reach_ = reach;
  changed_.notify_all();
  if (!first || stopping_) return;
  const auto keep = [this, folder = reach.folder] { folder.empty() ? keep_tables() : keep_reading(folder); };
  resolving_ = net::Thread("proxy-tables", keep, 2 * net::kSmallStack);
  reporting_ = net::Thread("proxy-report", [this] { keep_reporting(); });
  posting_ = net::Thread("proxy-post", [this] { keep_posting(); });
}

void Proxy::be_deaf(bool deaf) {
  const std::lock_guard held(lock_);
  deaf_ = deaf;
}

void Proxy::report_late(std::chrono::nanoseconds by) {
  const std::lock_guard held(lock_);
  late_ = by;
}

void Proxy::cut_off_from(std::set<std::string> replicas) {
  const std::lock_guard held(lock_);
  cut_off_from_ = std::move(replicas);
}

void Proxy::be_still(bool still) {
  const std::lock_guard held(lock_);
  still_ = still;
  changed_.notify_all();
}

void Proxy::wait_while_still() {
  std::unique_lock held(lock_);
  changed_.wait(held, [this] { return stopping_ || !still_; });
}

void Proxy::fix(const Resolved& table) {
  const std::lock_guard held(lock_);
  for (auto& own : tables_) own = {table, std::chrono::nanoseconds::max(), true};
}

void Proxy::stop() {
  {
    const std::lock_guard held(lock_);
    stopping_ = true;
  }
  changed_.notify_all();
  workers_.stop();
  entry_->stop();
  resolving_.join();
  reporting_.join();
  posting_.join();
}

// --- Tables

void Proxy::keep_tables() {
  std::unique_lock held(lock_);
  while (!stopping_) {
    const auto due = std::min_element(tables_.begin(), tables_.end(),
                                      [](const Table& a, const Table& b) { return a.until < b.until; });
    if (const auto wait = due->until - now(); wait > 0ns) {
      changed_.wait_for(held, wait);
      continue;
    }
    const auto cls = static_cast<std::size_t>(due - tables_.begin());
    held.unlock();
    wait_while_still();
    refresh(cls);
    held.lock();
  }
}

void Proxy::refresh(std::size_t cls) {
  ControlPlaneAddresses reach;
  {
    const std::lock_guard held(lock_);
    reach = reach_;
  }
  const auto name = "_" + shape_.classes[cls].name + "._tcp." + shape_.name + ".proxies." + shape_.apex;
  auto resolved = reach.cut ? Resolved{} : resolve(reach.dns, name);
  const std::lock_guard held(lock_);
  auto& table = tables_[cls];
  const auto at = now();
  if (resolved.kind == Resolved::Kind::failed) {
    // Nobody said anything: it goes on with what it holds (RFC 8767) and asks again soon.
    table.until = at + kAskAgain;
    if (!table.any) trace_.add(checker::Answered{at, shape_.name, shape_.classes[cls].name, 0, {}, true});
    return;
  }
  const auto lifetime = std::chrono::seconds(resolved.lifetime);
  put(cls, std::move(resolved));
  table.until =
      at + (shape_.defects.asks_often ? kAskAgain : std::chrono::duration_cast<nanoseconds>(lifetime));
}

// Goes by it from now on. With the lock held.
void Proxy::put(std::size_t cls, Resolved resolved) {
  auto& table = tables_[cls];
  const auto at = now();
  if (shape_.defects.keeps_old_lines && table.any) {
    for (const auto& old : table.resolved.targets) {
      const auto same = [&](const Target& target) { return target.name == old.name; };
      if (std::none_of(resolved.targets.begin(), resolved.targets.end(), same))
        resolved.targets.push_back(old);
    }
  }
  table.resolved = std::move(resolved);
  table.any = true;
  checker::Answered answered{
      at, shape_.name, shape_.classes[cls].name, table.resolved.version, {}, table.resolved.replicas};
  for (const auto& target : table.resolved.targets) answered.names.push_back(target.name);
  std::erase_if(seen_since_, [&](const auto& seen) {
    return std::find(answered.names.begin(), answered.names.end(), seen.first) == answered.names.end();
  });
  for (const auto& name : answered.names) seen_since_.try_emplace(name, at);
  trace_.add(std::move(answered));
}

// Follows the link, goes by what it finds there, and says so.
void Proxy::keep_reading(const std::string& folder) {
  std::string last;
  std::unique_lock held(lock_);
  while (!changed_.wait_for(held, kReadEvery, [this] { return stopping_; })) {
    std::error_code error;
    const auto current = std::filesystem::read_symlink(folder + "/current", error).string();
    if (error || current == last || deaf_ || still_) continue;
    held.unlock();
    std::vector<Resolved> tables;
    for (const auto& cls : shape_.classes) tables.push_back(read_table(folder + "/" + current, cls.name));
    held.lock();
    if (deaf_) continue;
    for (std::size_t n = 0; n < tables.size(); ++n) put(n, std::move(tables[n]));
    last = current;
    unsigned long long epoch = 0, version = 0;
    std::sscanf(current.c_str(), "gen-%llu-%llu", &epoch, &version);
    std::ofstream(folder + "/applied.new") << epoch << ' ' << version << '\n';
    std::filesystem::rename(folder + "/applied.new", folder + "/applied", error);
  }
}

// --- Operations

void Proxy::take(std::uint64_t id, std::size_t cls) {
  const auto asked = now();
  const bool taken = workers_.take([this, id, cls] { serve_client(id, cls); });
  // Answered at once: nobody is there to serve it.
  if (!taken) trace_.add(checker::Operation{asked, id, shape_.classes[cls].name, std::nullopt});
}

void Proxy::serve_client(std::uint64_t id, std::size_t index) {
  const auto& cls = shape_.classes[index];
  checker::Operation operation{now(), id, cls.name, std::nullopt};
  const auto until = operation.asked + cls.request_deadline;
  auto back_off = std::chrono::duration_cast<nanoseconds>(kBackOff);
  for (int repeat = 0; repeat <= kClientRepeats; ++repeat) {
    const auto outcome = perform(id, index, until);
    if (outcome == Outcome::done) operation.answered = now();
    // A client repeats what is safe after any failure, and the rest only if it never ran.
    const bool again = outcome == Outcome::refused || (outcome != Outcome::done && !cls.at_most_once);
    if (!again || now() + back_off >= until) break;
    std::unique_lock held(lock_);
    if (changed_.wait_for(held, back_off, [this] { return stopping_; })) break;
    back_off *= 2;
  }
  trace_.add(std::move(operation));
}

Proxy::Outcome Proxy::perform(std::uint64_t id, std::size_t index, nanoseconds until) {
  const auto& cls = shape_.classes[index];
  {
    const std::lock_guard held(lock_);
    ++asked_[index].operations;
    const bool let_in = std::uniform_real_distribution<double>(0, 1)(chance_) < tables_[index].resolved.level;
    if (!let_in) return Outcome::refused;
  }
  std::vector<std::string> tried;
  auto outcome = Outcome::refused;
  while (now() < until) {
    wait_while_still();
    // Each try goes by the table of its own moment: what drains meanwhile must not be tried.
    Resolved table;
    {
      const std::lock_guard held(lock_);
      table = tables_[index].resolved;
    }
    const std::size_t most = table.retry == "twice" ? 3 : table.retry == "none" ? 1 : 2;
    const auto target = tried.size() < most ? pick(table, tried) : std::nullopt;
    if (!target) break;
    tried.push_back(target->name);
    outcome = try_at(*target, table.replicas, id, cls, until);
    const bool any_failure = table.retry == "once" || table.retry == "twice";
    const bool may = outcome == Outcome::refused || (outcome != Outcome::done && any_failure) ||
                     (outcome == Outcome::unknown && shape_.defects.repeats_after_time_out);
    if (!may) break;
    if (shape_.defects.repeats_after_time_out) until = std::max(until, now() + cls.request_deadline);
  }
  if (outcome != Outcome::done) {
    const std::lock_guard held(lock_);
    ++asked_[index].unanswered;
  }
  return outcome;
}

// RFC 2782: the lowest priority there is, by weight.
std::optional<Target> Proxy::pick(const Resolved& from, const std::vector<std::string>& tried) {
  std::vector<const Target*> may;
  for (const auto& target : from.targets) {
    if (std::find(tried.begin(), tried.end(), target.name) == tried.end()) may.push_back(&target);
  }
  if (may.empty()) return std::nullopt;
  const auto first = (*std::min_element(may.begin(), may.end(), [](auto* a, auto* b) {
                       return a->priority < b->priority;
                     }))->priority;
  std::erase_if(may, [&](const Target* target) { return target->priority != first; });
  std::vector<double> weights;
  for (const auto* target : may) weights.push_back(std::max<double>(target->weight, 0.001));
  const std::lock_guard held(lock_);
  if (shape_.defects.prefers_new) {
    return **std::max_element(may.begin(), may.end(),
                              [&](auto* a, auto* b) { return seen_since_[a->name] < seen_since_[b->name]; });
  }
  return *may[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(chance_)];
}

Proxy::Outcome Proxy::try_at(const Target& target, bool replica, std::uint64_t id, const OperationClass& cls,
                             nanoseconds until) {
  const auto begun = now();
  // Waits no longer than makes sense, so that one that hangs is given up on while the client still waits.
  const auto patience = std::min(until, begun + cls.latency_objective);
  if (replica) trace_.add(checker::Sent{begun, shape_.name, target.name, id});
  auto outcome = Outcome::unknown;
  double util = -1;
  std::unique_ptr<http::Connection> connection;
  try {
    wait_if_cut_off(target.name, std::min<nanoseconds>(patience, begun + kConnectTime));
    connection = connection_to(target.address, std::min<nanoseconds>(patience, begun + kConnectTime));
  } catch (const net::Error&) {
    outcome = Outcome::refused;
  }
  if (connection) {
    try {
      http::Request request;
      request.method = "POST";
      request.target = "/op/" + std::to_string(id) + "?class=" + cls.name +
                       "&work_us=" + std::to_string(std::llround(cls.work_seconds * 1e6)) +
                       "&expires_ms=" + std::to_string(std::max<long long>(0, (patience - begun) / 1ms));
      connection->write(request, target.address.text(), deadline(patience));
      const auto response = connection->read_response(100'000, deadline(patience));
      outcome = response.status == 200   ? Outcome::done
                : response.status == 503 ? Outcome::refused
                                         : Outcome::failed;
      const auto load = nlohmann::json::parse(response.body, nullptr, false);
      if (load.is_object()) util = load.value("util", -1.0);
      if (response.keep_alive) keep(target.address, std::move(connection));
    } catch (const net::Error&) {
      outcome = Outcome::unknown;
    }
  }
  if (!replica) return outcome;
  const std::lock_guard held(lock_);
  auto& met = met_[target.name];
  ++met.attempts;
  met.failed += outcome != Outcome::done;
  if (outcome == Outcome::done) met.handled_seconds += std::chrono::duration<double>(now() - begun).count();
  if (util >= 0) met.util = util;
  return outcome;
}

// As a connection is waited for that nobody answers.
void Proxy::wait_if_cut_off(const std::string& replica, nanoseconds until) {
  std::unique_lock held(lock_);
  if (!cut_off_from_.contains(replica)) return;
  changed_.wait_for(held, until - now(), [this] { return stopping_; });
  throw net::Error("nothing comes through to " + replica);
}

std::unique_ptr<http::Connection> Proxy::connection_to(const net::Address& address, nanoseconds until) {
  {
    const std::lock_guard held(lock_);
    auto& idle = idle_[address];
    while (!idle.empty()) {
      auto connection = std::move(idle.back());
      idle.pop_back();
      // One that its peer has closed meanwhile would lose the operation.
      if (connection->is_open()) return connection;
    }
  }
  return std::make_unique<http::Connection>(net::connect(address, deadline(until)));
}

void Proxy::keep(const net::Address& address, std::unique_ptr<http::Connection> connection) {
  const std::lock_guard held(lock_);
  auto& idle = idle_[address];
  if (idle.size() < kMostIdle) idle.push_back(std::move(connection));
}

// Operations of terminals, and of proxies that get no replicas themselves: one go, no client behind it.
http::Response Proxy::answer_entry(const http::Request& request) {
  const auto id =
      std::strtoull(request.target.c_str() + std::min<std::size_t>(request.target.size(), 4), nullptr, 10);
  for (std::size_t n = 0; n < shape_.classes.size(); ++n) {
    if (request.target.find("class=" + shape_.classes[n].name + "&") == std::string::npos) continue;
    const auto outcome = perform(id, n, now() + shape_.classes[n].request_deadline);
    const unsigned status = outcome == Outcome::done ? 200 : outcome == Outcome::refused ? 503 : 500;
    return {status, "application/json", "{}", std::nullopt, true};
  }
  return {400, "text/plain", "no operation\n", std::nullopt, true};
}

// --- Reports

void Proxy::keep_reporting() {
  auto from = wall_now();
  std::unique_lock held(lock_);
  while (!changed_.wait_for(held, shape_.report_interval, [this] { return stopping_; })) {
    held.unlock();
    wait_while_still();
    const auto to = wall_now();
    report(from, to);
    held.lock();
    from = to;
  }
}

void Proxy::report(nanoseconds from, nanoseconds to) {
  load_reports::MetricsReport report;
  report.proxy = shape_.name;
  const std::lock_guard held(lock_);
  for (const auto& [replica, met] : met_) {
    load_reports::ReplicaPoint point{replica, {from, to}, met.attempts, met.failed, met.handled_seconds, {}};
    if (met.util >= 0) point.load["util"] = met.util;
    report.replicas.push_back(std::move(point));
  }
  for (std::size_t n = 0; n < asked_.size(); ++n)
    report.classes.push_back(
        {shape_.classes[n].name, {from, to}, asked_[n].operations, asked_[n].unanswered});
  met_.clear();
  std::fill(asked_.begin(), asked_.end(), Asked{});
  to_post_.emplace(now() + late_, load_reports::write_metrics(report));
  changed_.notify_all();
}

// What is held up goes out when it is due, whatever went before it.
void Proxy::keep_posting() {
  std::unique_lock held(lock_);
  while (!stopping_) {
    if (to_post_.empty() || to_post_.begin()->first > now()) {
      const auto wait = to_post_.empty() ? nanoseconds(1s) : to_post_.begin()->first - now();
      changed_.wait_for(held, wait);
      continue;
    }
    http::Request request;
    request.method = "POST";
    request.target = "/v1/metrics";
    request.content_type = "application/json";
    request.body = std::move(to_post_.begin()->second);
    to_post_.erase(to_post_.begin());
    const auto reach = reach_;
    if (reach.cut) continue;
    held.unlock();
    try {
      http::fetch(reach.reports, request, net::Steady::now() + 1s);
    } catch (const net::Error&) {
      // A report that does not arrive is lost; the next one says what comes.
    }
    held.lock();
  }
}

}  // namespace ospreypost::fakes
