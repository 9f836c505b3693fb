#include "scenario/test_environment.h"

#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "schemas.h"

namespace ospreypost::scenario {
namespace {

constexpr int kReplicaGroup = 1, kProxyGroup = 2, kResolverGroup = 3, kReceiverGroup = 4,
              kFaultyLinkGroup = 5;
constexpr std::uint64_t kClientIdSpacing = 1'000'000'000;

Nanos now() { return std::chrono::steady_clock::now().time_since_epoch(); }

double wall_seconds() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::vector<fakes::OperationClass> classes_of(const Scenario& scenario, const config::Config& config) {
  std::vector<fakes::OperationClass> classes;
  for (std::size_t k = 0; k < config.classes.size(); ++k) {
    const auto& settings = config.settings.classes[k];
    fakes::OperationClass cls{config.classes[k], settings.effect != Idempotency::idempotent,
                              settings.latency_objective, settings.request_deadline, 0.01};
    for (const auto& traffic : scenario.traffic) {
      if (traffic.name == cls.name) cls.work_seconds = std::chrono::duration<double>(traffic.work).count();
    }
    classes.push_back(cls);
  }
  return classes;
}

}  // namespace

Block::Block() {
  for (int attempt = 0; attempt < 200; ++attempt) {
    second_octet_ = 20 + (static_cast<int>(::getpid()) + attempt) % 200;
    try {
      claimed_socket_ = net::listen_tcp(address(0, 1, 4317), 1);
      return;
    } catch (const net::Error&) {
      // Another scenario uses this block of addresses, so the next block is tried.
    }
  }
  throw net::Error("no block of loopback addresses is free");
}

net::Address Block::address(int group, std::size_t number, std::uint16_t port) const {
  return {"127." + std::to_string(second_octet_) + "." + std::to_string(group) + "." + std::to_string(number),
          port};
}

// --- Endpoint list

void EndpointListWriter::add(const fakes::ReplicaConfig& replica, const std::string& zone,
                             const std::string& kind) {
  const std::lock_guard held(lock_);
  entries_[replica.name] = {zone, kind, replica.address.text(), checker::EndpointPhase::ready, 0};
  trace_.add(checker::Listed{now(), replica.name, checker::EndpointPhase::ready});
  write();
}

void EndpointListWriter::set_phase(const std::string& replica, checker::EndpointPhase phase,
                                   bool started_now) {
  const std::lock_guard held(lock_);
  auto& entry = entries_.at(replica);
  entry.phase = phase;
  if (started_now) entry.started_at = wall_seconds();
  trace_.add(checker::Listed{now(), replica, phase});
  write();
}

void EndpointListWriter::damage(const std::string& kind) {
  const std::lock_guard held(lock_);
  damage_ = kind;
  write();
}

void EndpointListWriter::write() {
  nlohmann::json backends = nlohmann::json::array();
  for (const auto& [name, entry] : entries_) {
    if (entry.phase == checker::EndpointPhase::gone) continue;
    nlohmann::json backend = {{"name", name},
                              {"zone", entry.zone},
                              {"address", entry.address},
                              {"phase", entry.phase == checker::EndpointPhase::ready ? "ready" : "draining"}};
    if (!entry.kind.empty()) backend["kind"] = entry.kind;
    if (entry.started_at > 0) backend["started"] = entry.started_at;
    backends.push_back(backend);
    if (damage_ == "absurd") backends.push_back(backend);
  }
  auto text = nlohmann::json({{"backends", backends}}).dump(1);
  if (damage_ == "empty") text.clear();
  if (damage_ == "half-written") text.resize(text.size() / 2);
  if (damage_ == "vanished") {
    std::filesystem::remove(path_);
    return;
  }
  const auto temporary_path = path_.string() + ".new";
  std::ofstream(temporary_path, std::ios::binary) << text;
  std::filesystem::rename(temporary_path, path_);
}

// --- Test environment

TestEnvironment::TestEnvironment(const Scenario& scenario, const config::Config& config,
                                 const std::filesystem::path& folder, checker::Trace& trace,
                                 const fakes::InjectedDefects& defects)
    : config_(config),
      trace_(trace),
      endpoint_list_(folder / "roll.json", trace),
      endpoint_list_path_(folder / "roll.json"),
      log_path_(folder / "governor.log") {
  std::map<std::string, std::size_t> in_zone;
  for (const auto& group : scenario.replicas) {
    for (std::size_t n = 0; n < group.count; ++n) {
      fakes::ReplicaConfig replica;
      replica.name = group.zone + "-" + std::to_string(++in_zone[group.zone]);
      replica_zones_[replica.name] = group.zone;
      replica.address = block_.address(kReplicaGroup, replicas_.size() + 1, 9000);
      replica.cores = group.cores;
      replica.speed = group.speed;
      replica.initial_warm_up_capacity = config.settings.initial_warm_up_capacity;
      replica.warm_up_duration = config.settings.warm_up_duration;
      replicas_[replica.name] = std::make_unique<fakes::Replica>(replica, trace);
      replicas_[replica.name]->start(false);
      endpoint_list_.add(replica, group.zone, group.kind);
    }
  }
  std::mt19937 generator(scenario.seed);
  const auto classes = classes_of(scenario, config);
  for (const auto& known : config.proxies.known) {
    fakes::ProxyConfig proxy;
    proxy.name = known.name;
    proxy.zone = config.zones[static_cast<std::size_t>(known.zone)];
    proxy.apex = config.dns.apex;
    proxy.classes = classes;
    proxy.entry = block_.address(kProxyGroup, proxies_.size() + 1, 7000);
    proxy.report_interval = config.settings.report_interval;
    proxy.defects = defects;
    entry_addresses_[known.name] = proxy.entry;
    if (known.is_pushed_to()) table_folders_[known.name] = (folder / ("tables-" + known.name)).string();
    if (known.receiver) {
      receiver_addresses_[known.name] = block_.address(kReceiverGroup, proxies_.size() + 1, 7700);
      faulty_links_[known.name] = std::make_unique<fakes::FaultyLink>(
          block_.address(kFaultyLinkGroup, proxies_.size() + 1, 7700), receiver_addresses_.at(known.name),
          static_cast<std::uint32_t>(generator()));
    }
    proxies_[known.name] = std::make_unique<fakes::Proxy>(proxy, trace, generator());
  }
  for (const auto& resolver : scenario.resolvers) {
    resolvers_.push_back(std::make_unique<fakes::Resolver>(
        block_.address(kResolverGroup, resolvers_.size() + 1, 5300), resolver.ttl_multiple));
    resolvers_.back()->set_upstream(dns());
    for (const auto& proxy : resolver.proxies) resolver_addresses_[proxy] = resolvers_.back()->address();
  }
  for (const auto& group : scenario.client_groups) {
    for (std::size_t n = 0; n < group.count; ++n) {
      const auto& cls =
          *std::find_if(classes.begin(), classes.end(), [&](const auto& c) { return c.name == group.cls; });
      caching_clients_.push_back(std::make_unique<fakes::CachingClient>(
          "_" + group.cls + "._tcp." + group.zone + ".zones." + config.dns.apex, cls, group.interval,
          group.cache_time, kClientIdSpacing * (caching_clients_.size() + 1), trace, generator()));
    }
  }
}

std::string TestEnvironment::configuration(const std::string& text, const std::string& label,
                                           std::size_t number) const {
  const config::Document document(text, label, config::kGovernorSchema);
  const auto root = document.root();
  root.child("roll").set("path", endpoint_list_path_.string());
  root.child("dns").set("listen", block_.address(0, number, 5300).text());
  root.child("reports").set("listen", block_.address(0, number, 4318).text());
  for (const auto& proxy : root.child("proxies").children()) {
    proxy.set("entry", entry_addresses_.at(proxy.text("name")).text());
    if (proxy.find("folder")) proxy.set("folder", table_folders_.at(proxy.text("name")));
    if (proxy.find("receiver")) proxy.set("receiver", faulty_links_.at(proxy.text("name"))->address().text());
    if (resolver_addresses_.contains(proxy.text("name"))) proxy.set("vouched", "false");
  }
  if (const auto record = root.find_child("record"))
    record.value().set("folder",
                       (endpoint_list_path_.parent_path() / ("record" + std::to_string(number))).string());
  if (const auto logging = root.find_child("logging"))
    logging->set("path", log_path_.string() + (number > 1 ? std::to_string(number) : ""));
  return document.text();
}

fakes::ControlPlaneAddresses TestEnvironment::addresses_of(const std::string& proxy) const {
  const auto resolver = resolver_addresses_.find(proxy);
  const auto folder = table_folders_.find(proxy);
  return {resolver == resolver_addresses_.end() ? dns() : resolver->second, reports(),
          folder == table_folders_.end() ? "" : folder->second, false};
}

void TestEnvironment::start() {
  for (auto& [name, proxy] : proxies_) proxy->set_addresses(addresses_of(name));
  for (auto& client : caching_clients_) client->start(dns());
}

void TestEnvironment::start_with_equal_weights() {
  fakes::Resolved all;
  all.kind = fakes::Resolved::Kind::answer;
  all.replicas = true;
  all.retry = "after-proof";
  for (const auto& [name, replica] : replicas_)
    all.targets.push_back({name, replica->config().address, 0, 1});
  for (auto& [name, proxy] : proxies_) proxy->use_fixed_table(all);
}

void TestEnvironment::stop() {
  for (auto& client : caching_clients_) client->stop();
  for (auto& [name, proxy] : proxies_) proxy->stop();
  for (auto& resolver : resolvers_) resolver->stop();
  for (auto& [name, link] : faulty_links_) link->stop();
  receivers_.clear();
  for (auto& [name, replica] : replicas_) replica->crash();
}

void TestEnvironment::start_receivers(const std::string& program) {
  for (const auto& [proxy, address] : receiver_addresses_) start_receiver(program, proxy);
}

void TestEnvironment::start_receiver(const std::string& program, const std::string& proxy) {
  const bool restarted = receivers_.contains(proxy);
  receivers_[proxy] = std::make_unique<ChildProcess>(
      program, std::vector<std::string>{"receive", "--listen", receiver_addresses_.at(proxy).text(),
                                        "--folder", table_folders_.at(proxy)});
  if (restarted) note_cut(proxy, false);
}

// The control plane can't push to the proxy until its receiver is started again.
void TestEnvironment::kill_receiver(const std::string& proxy) {
  note_cut(proxy, true);
  receivers_.at(proxy)->kill();
}

void TestEnvironment::note_cut(const std::string& proxy, bool cut) {
  trace_.add(checker::Cut{now(), proxy, cut});
}

void TestEnvironment::push_fault(const std::string& proxy, fakes::LinkFault fault, Nanos delay) {
  using fakes::LinkFault;
  faulty_links_.at(proxy)->set_fault(fault, delay);
  const bool arrives = fault == LinkFault::prompt || fault == LinkFault::late || fault == LinkFault::twice;
  note_cut(proxy, !arrives);
}

void TestEnvironment::pause_proxy(const std::string& proxy, bool paused) {
  proxies_.at(proxy)->pause(paused);
  note_cut(proxy, paused);
}

void TestEnvironment::cut_zone(const std::string& zone, bool is_cut) {
  for (const auto& known : config_.proxies.known) {
    const auto& proxy_zone = config_.zones[static_cast<std::size_t>(known.zone)];
    std::set<std::string> unreachable;
    for (const auto& [replica, replica_zone] : replica_zones_) {
      if (is_cut && (proxy_zone == zone) != (replica_zone == zone)) unreachable.insert(replica);
    }
    proxies_.at(known.name)->set_unreachable_replicas(std::move(unreachable));
    const auto& governor_zone = config_.zones[static_cast<std::size_t>(config_.settings.own_zone)];
    if ((proxy_zone == zone) == (governor_zone == zone)) continue;
    known.receiver ? push_fault(known.name, is_cut ? fakes::LinkFault::torn : fakes::LinkFault::prompt, {})
                   : cut(known.name, is_cut);
  }
}

void TestEnvironment::ignore_files(const std::string& proxy, bool ignored) {
  proxies_.at(proxy)->ignore_files(ignored);
  note_cut(proxy, ignored);
}

bool TestEnvironment::fill_disk(const std::string& proxy, bool full) {
  note_cut(proxy, full);
  const auto receiver = receivers_.find(proxy);
  if (receiver == receivers_.end()) return false;
  receiver->second->fill_disk(full);
  return true;
}

void TestEnvironment::cut(const std::string& name, bool cut) {
  auto addresses = addresses_of(name);
  addresses.cut = cut;
  proxies_.at(name)->set_addresses(addresses);
  note_cut(name, cut);
}

}  // namespace ospreypost::scenario
