#include "scenario/test_environment.h"

#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "schemas.h"

namespace ospreypost::scenario {
namespace {

constexpr int kReplicas = 1, kProxies = 2, kResolvers = 3, kReceivers = 4, kCouriers = 5;
constexpr std::uint64_t kTerminalIds = 1'000'000'000;

Nanos now() { return std::chrono::steady_clock::now().time_since_epoch(); }

double wall_seconds() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::vector<fakes::OperationClass> classes_of(const Scenario& script, const config::Config& config) {
  std::vector<fakes::OperationClass> classes;
  for (std::size_t k = 0; k < config.classes.size(); ++k) {
    const auto& settings = config.settings.classes[k];
    fakes::OperationClass cls{config.classes[k], settings.effect != Idempotency::idempotent,
                              settings.latency_objective, settings.request_deadline, 0.01};
    for (const auto& traffic : script.traffic) {
      if (traffic.name == cls.name) cls.work_seconds = std::chrono::duration<double>(traffic.work).count();
    }
    classes.push_back(cls);
  }
  return classes;
}

}  // namespace

Block::Block() {
  for (int tried = 0; tried < 200; ++tried) {
    second_ = 20 + (static_cast<int>(::getpid()) + tried) % 200;
    try {
      claim_ = net::listen_tcp(address(0, 1, 4317), 1);
      return;
    } catch (const net::Error&) {
      // Another day's.
    }
  }
  throw net::Error("no loopback addresses are free");
}

net::Address Block::address(int group, std::size_t number, std::uint16_t port) const {
  return {"127." + std::to_string(second_) + "." + std::to_string(group) + "." + std::to_string(number),
          port};
}

// --- The roll

void RollWriter::put(const fakes::ReplicaShape& shape, const std::string& zone, const std::string& kind) {
  const std::lock_guard held(lock_);
  entries_[shape.name] = {zone, kind, shape.address.text(), checker::EndpointPhase::ready, 0};
  trace_.add(checker::Listed{now(), shape.name, checker::EndpointPhase::ready});
  write();
}

void RollWriter::list(const std::string& replica, checker::EndpointPhase phase, bool started_now) {
  const std::lock_guard held(lock_);
  auto& entry = entries_.at(replica);
  entry.phase = phase;
  if (started_now) entry.started = wall_seconds();
  trace_.add(checker::Listed{now(), replica, phase});
  write();
}

void RollWriter::spoil(const std::string& becomes) {
  const std::lock_guard held(lock_);
  spoiled_ = becomes;
  write();
}

void RollWriter::write() {
  nlohmann::json backends = nlohmann::json::array();
  for (const auto& [name, entry] : entries_) {
    if (entry.phase == checker::EndpointPhase::gone) continue;
    nlohmann::json backend = {{"name", name},
                              {"zone", entry.zone},
                              {"address", entry.address},
                              {"phase", entry.phase == checker::EndpointPhase::ready ? "ready" : "draining"}};
    if (!entry.kind.empty()) backend["kind"] = entry.kind;
    if (entry.started > 0) backend["started"] = entry.started;
    backends.push_back(backend);
    if (spoiled_ == "absurd") backends.push_back(backend);
  }
  auto text = nlohmann::json({{"backends", backends}}).dump(1);
  if (spoiled_ == "empty") text.clear();
  if (spoiled_ == "half-written") text.resize(text.size() / 2);
  if (spoiled_ == "vanished") {
    std::filesystem::remove(path_);
    return;
  }
  const auto beside = path_.string() + ".new";
  std::ofstream(beside, std::ios::binary) << text;
  std::filesystem::rename(beside, path_);
}

// --- The stage

TestEnvironment::TestEnvironment(const Scenario& script, const config::Config& config,
                                 const std::filesystem::path& folder, checker::Trace& trace,
                                 const fakes::InjectedDefects& defects)
    : config_(config),
      trace_(trace),
      roll_(folder / "roll.json", trace),
      roll_path_(folder / "roll.json"),
      log_path_(folder / "governor.log") {
  std::map<std::string, std::size_t> in_zone;
  for (const auto& group : script.replicas) {
    for (std::size_t n = 0; n < group.count; ++n) {
      fakes::ReplicaShape shape;
      shape.name = group.zone + "-" + std::to_string(++in_zone[group.zone]);
      zones_[shape.name] = group.zone;
      shape.address = block_.address(kReplicas, replicas_.size() + 1, 9000);
      shape.cores = group.cores;
      shape.speed = group.speed;
      shape.initial_warm_up_capacity = config.settings.initial_warm_up_capacity;
      shape.warm_up_duration = config.settings.warm_up_duration;
      replicas_[shape.name] = std::make_unique<fakes::Replica>(shape, trace);
      replicas_[shape.name]->start(false);
      roll_.put(shape, group.zone, group.kind);
    }
  }
  std::mt19937 chance(script.seed);
  const auto classes = classes_of(script, config);
  for (const auto& known : config.proxies.known) {
    fakes::ProxyShape shape;
    shape.name = known.name;
    shape.zone = config.zones[static_cast<std::size_t>(known.zone)];
    shape.apex = config.dns.apex;
    shape.classes = classes;
    shape.entry = block_.address(kProxies, proxies_.size() + 1, 7000);
    shape.report_interval = config.settings.report_interval;
    shape.defects = defects;
    entries_[known.name] = shape.entry;
    if (known.is_pushed_to()) folders_[known.name] = (folder / ("tables-" + known.name)).string();
    if (known.receiver) {
      receivers_at_[known.name] = block_.address(kReceivers, proxies_.size() + 1, 7700);
      couriers_[known.name] = std::make_unique<fakes::FaultyLink>(
          block_.address(kCouriers, proxies_.size() + 1, 7700), receivers_at_.at(known.name),
          static_cast<std::uint32_t>(chance()));
    }
    proxies_[known.name] = std::make_unique<fakes::Proxy>(shape, trace, chance());
  }
  for (const auto& between : script.resolvers) {
    resolvers_.push_back(std::make_unique<fakes::Resolver>(
        block_.address(kResolvers, resolvers_.size() + 1, 5300), between.factor));
    resolvers_.back()->upstream(dns());
    for (const auto& proxy : between.proxies) dns_of_[proxy] = resolvers_.back()->address();
  }
  for (const auto& group : script.terminals) {
    for (std::size_t n = 0; n < group.count; ++n) {
      const auto& cls =
          *std::find_if(classes.begin(), classes.end(), [&](const auto& c) { return c.name == group.cls; });
      terminals_.push_back(std::make_unique<fakes::CachingClient>(
          "_" + group.cls + "._tcp." + group.zone + ".zones." + config.dns.apex, cls, group.every, group.hold,
          kTerminalIds * (terminals_.size() + 1), trace, chance()));
    }
  }
}

std::string TestEnvironment::configuration(const std::string& text, const std::string& label,
                                           std::size_t number) const {
  const config::Document document(text, label, config::kGovernorSchema);
  const auto root = document.root();
  root.child("roll").set("path", roll_path_.string());
  root.child("dns").set("listen", block_.address(0, number, 5300).text());
  root.child("reports").set("listen", block_.address(0, number, 4318).text());
  for (const auto& proxy : root.child("proxies").children()) {
    proxy.set("entry", entries_.at(proxy.text("name")).text());
    if (proxy.find("folder")) proxy.set("folder", folders_.at(proxy.text("name")));
    if (proxy.find("receiver")) proxy.set("receiver", couriers_.at(proxy.text("name"))->address().text());
    if (dns_of_.contains(proxy.text("name"))) proxy.set("vouched", "false");
  }
  if (const auto record = root.find_child("record"))
    record.value().set("folder", (roll_path_.parent_path() / ("record" + std::to_string(number))).string());
  if (const auto logging = root.find_child("logging"))
    logging->set("path", log_path_.string() + (number > 1 ? std::to_string(number) : ""));
  return document.text();
}

fakes::ControlPlaneAddresses TestEnvironment::reach_of(const std::string& proxy) const {
  const auto through = dns_of_.find(proxy);
  const auto folder = folders_.find(proxy);
  return {through == dns_of_.end() ? dns() : through->second, reports(),
          folder == folders_.end() ? "" : folder->second, false};
}

void TestEnvironment::start() {
  for (auto& [name, proxy] : proxies_) proxy->reach(reach_of(name));
  for (auto& terminal : terminals_) terminal->start(dns());
}

void TestEnvironment::start_with_equal_weights() {
  fakes::Resolved all;
  all.kind = fakes::Resolved::Kind::answer;
  all.replicas = true;
  all.retry = "after-proof";
  for (const auto& [name, replica] : replicas_) all.targets.push_back({name, replica->shape().address, 0, 1});
  for (auto& [name, proxy] : proxies_) proxy->fix(all);
}

void TestEnvironment::stop() {
  for (auto& terminal : terminals_) terminal->stop();
  for (auto& [name, proxy] : proxies_) proxy->stop();
  for (auto& resolver : resolvers_) resolver->stop();
  for (auto& [name, courier] : couriers_) courier->stop();
  receivers_.clear();
  for (auto& [name, replica] : replicas_) replica->crash();
}

void TestEnvironment::start_receivers(const std::string& program) {
  for (const auto& [proxy, at] : receivers_at_) start_receiver(program, proxy);
}

void TestEnvironment::start_receiver(const std::string& program, const std::string& proxy) {
  const bool again = receivers_.contains(proxy);
  receivers_[proxy] = std::make_unique<ChildProcess>(
      program, std::vector<std::string>{"receive", "--listen", receivers_at_.at(proxy).text(), "--folder",
                                        folders_.at(proxy)});
  if (again) note_cut(proxy, false);
}

// Nobody can bring the proxy anything until it is back.
void TestEnvironment::kill_receiver(const std::string& proxy) {
  note_cut(proxy, true);
  receivers_.at(proxy)->kill();
}

void TestEnvironment::note_cut(const std::string& proxy, bool cut) {
  trace_.add(checker::Cut{now(), proxy, cut});
}

void TestEnvironment::push_fault(const std::string& proxy, fakes::LinkFault carriage, Nanos by) {
  using fakes::LinkFault;
  couriers_.at(proxy)->carry(carriage, by);
  const bool arrives =
      carriage == LinkFault::prompt || carriage == LinkFault::late || carriage == LinkFault::twice;
  note_cut(proxy, !arrives);
}

void TestEnvironment::be_still(const std::string& proxy, bool still) {
  proxies_.at(proxy)->be_still(still);
  note_cut(proxy, still);
}

void TestEnvironment::cut_zone(const std::string& zone, bool is_cut) {
  for (const auto& known : config_.proxies.known) {
    const auto& own = config_.zones[static_cast<std::size_t>(known.zone)];
    std::set<std::string> beyond;
    for (const auto& [replica, of] : zones_) {
      if (is_cut && (own == zone) != (of == zone)) beyond.insert(replica);
    }
    proxies_.at(known.name)->cut_off_from(std::move(beyond));
    const auto& governor = config_.zones[static_cast<std::size_t>(config_.settings.own_zone)];
    if ((own == zone) == (governor == zone)) continue;
    known.receiver ? push_fault(known.name, is_cut ? fakes::LinkFault::torn : fakes::LinkFault::prompt, {})
                   : cut(known.name, is_cut);
  }
}

void TestEnvironment::be_deaf(const std::string& proxy, bool deaf) {
  proxies_.at(proxy)->be_deaf(deaf);
  note_cut(proxy, deaf);
}

bool TestEnvironment::fill_disk(const std::string& proxy, bool full) {
  note_cut(proxy, full);
  const auto receiver = receivers_.find(proxy);
  if (receiver == receivers_.end()) return false;
  receiver->second->fill_disk(full);
  return true;
}

void TestEnvironment::cut(const std::string& name, bool cut) {
  auto reach = reach_of(name);
  reach.cut = cut;
  proxies_.at(name)->reach(reach);
  note_cut(name, cut);
}

}  // namespace ospreypost::scenario
