#include "files/pusher.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace ospreypost::files {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxStateBytes = std::size_t{1} << 20;  // of a receiver's answer
constexpr Nanos kMaxWait = 500ms;                             // longest time between two checks for a push

routing_state::RemoteState remote_state_of(const State& state) {
  return {state.any,
          state.newest.stamp.epoch,
          routing_state::SnapshotVersion{state.newest.stamp.version},
          state.newest.owner,
          state.stale,
          state.instead};
}

}  // namespace

Generation generation_of(const config::Config& config, const delivery::PushMessage& push) {
  Generation generation;
  generation.owner = push.owner;
  generation.stamp = {push.epoch, static_cast<std::uint64_t>(push.proxy_snapshot->changed_in)};
  generation.lease_ms = static_cast<std::uint64_t>(config.files.lease / 1ms);
  generation.excluded = push.ejected;
  std::set<std::string> names;
  for (std::size_t k = 0; k < push.proxy_snapshot->routing_tables.size(); ++k) {
    const auto& view = push.proxy_snapshot->routing_tables[k];
    if (!view) continue;
    const Terms terms{generation.stamp.version, view->traffic_policies[k].admitted_fraction,
                      routing_state::name_of(view->traffic_policies[k].retry)};
    std::vector<Endpoint> endpoints;
    for (const auto& line : view->entries) {
      const auto& endpoint = push.directory->endpoint(line.replica);
      endpoints.push_back({endpoint.name, endpoint.zone, endpoint.address, line.weight});
      names.insert(endpoint.name);
    }
    generation.lines += endpoints.size();
    const auto& name = config.classes[k];
    if (config.files.envoy) {
      generation.files[name + ".json"] = render_envoy(name, endpoints, terms);
    } else {
      generation.files[name + ".conf"] = render_upstream(name, endpoints, terms);
    }
  }
  generation.names.assign(names.begin(), names.end());
  return generation;
}

Pusher::Pusher(const config::Config& config, delivery::PushService& core) : config_(config), core_(core) {
  bool any = false;
  for (const auto& proxy : config.proxies.known) {
    any = any || proxy.is_pushed_to();
    if (!proxy.folder.empty())
      local_stores_[proxy.folder] =
          std::make_unique<LeasedStore>(proxy.folder, config.files.keep, config.files.reader_confirms);
  }
  if (!any) return;
  workers_ = std::make_unique<net::ThreadPool>("push", config.files.threads, config.files.threads);
  scheduler_ = net::Thread("push-schedule", [this] { schedule(); });
}

void Pusher::on_push_available() {
  const std::lock_guard held(lock_);
  checked_ = false;
  changed_.notify_one();
}

void Pusher::stop() {
  {
    const std::lock_guard held(lock_);
    stopping_ = true;
  }
  changed_.notify_all();
  scheduler_.join();
  if (workers_) workers_->stop();
}

void Pusher::schedule() {
  std::unique_lock held(lock_);
  while (!stopping_) {
    checked_ = true;
    // Takes a push only when a worker is free, so that a push that becomes urgent meanwhile is sent first.
    changed_.wait(held, [this] { return stopping_ || busy_workers_ < config_.files.threads; });
    if (stopping_) return;
    held.unlock();
    const auto push = core_.take_push();
    const auto wait = push ? Nanos{} : std::min(kMaxWait, core_.next_push_in().value_or(kMaxWait));
    held.lock();
    if (push) {
      ++busy_workers_;
      workers_->take([this, push = *push] { process(push); });
    } else if (wait > Nanos{}) {
      changed_.wait_for(held, wait, [this] { return stopping_ || !checked_; });
    }
  }
}

void Pusher::process(const delivery::PushMessage& push) {
  const auto deadline = net::Steady::now() + config_.files.patience;
  try {
    if (!push.proxy_snapshot) {
      core_.on_remote_state(push.proxy, remote_state_of(state_of(push.proxy, &push, deadline)));
    } else {
      const auto [delivery, state] = deliver(push, deadline);
      switch (delivery) {
        case Delivery::accepted:
          core_.on_push_confirmed(push.proxy, push.proxy_snapshot->changed_in);
          break;
        case Delivery::unconfirmed:
          core_.on_push_failed(push.proxy, "its reader has not confirmed");
          break;
        case Delivery::older:
          core_.on_push_rejected(push.proxy, remote_state_of(state));
          break;
      }
    }
  } catch (const std::exception& error) {
    core_.on_push_failed(push.proxy, error.what());
  }
  const std::lock_guard held(lock_);
  --busy_workers_;
  checked_ = false;
  changed_.notify_one();
}

LeasedStore* Pusher::local_store_of(const config::ProxyEntry& proxy) {
  if (!proxy.is_pushed_to()) throw net::Error(proxy.name + " has neither a folder nor a receiver");
  return proxy.folder.empty() ? nullptr : local_stores_.at(proxy.folder).get();
}

State Pusher::state_of(ProxyId id, const delivery::PushMessage* renewal, net::Deadline deadline) {
  const auto& proxy = config_.proxies.known[static_cast<std::size_t>(id)];
  if (auto* store = local_store_of(proxy)) {
    if (renewal) store->renew(renewal->epoch, renewal->owner);
    return store->state();
  }
  http::Request request;
  request.target = "/state";
  if (renewal) request.target += "?epoch=" + std::to_string(renewal->epoch) + "&owner=" + renewal->owner;
  const auto answer = http::fetch(*proxy.receiver, request, kMaxStateBytes, deadline);
  if (answer.status != 200)
    throw net::Error("its receiver answered with status " + std::to_string(answer.status));
  return read_state(answer.body);
}

State Pusher::fetch_state(ProxyId proxy) {
  return state_of(proxy, nullptr, net::Steady::now() + config_.files.patience);
}

State Pusher::roll_back(ProxyId id, std::uint64_t version, const std::vector<std::string>& excluded) {
  const auto& proxy = config_.proxies.known[static_cast<std::size_t>(id)];
  const auto deadline = net::Steady::now() + config_.files.patience;
  if (auto* store = local_store_of(proxy)) {
    store->roll_back(version, excluded);
  } else {
    http::Request request;
    request.method = "POST";
    request.target = "/rollback?version=" + std::to_string(version);
    request.body = nlohmann::json(excluded).dump();
    const auto answer = http::fetch(*proxy.receiver, request, kMaxStateBytes, deadline);
    if (answer.status != 200) throw net::Error(answer.body.substr(0, answer.body.find('\n')));
  }
  const auto state = fetch_state(id);
  // Reports the replicas that the old tables list, so that replicas ejected since are removed at once.
  core_.on_rollback(id, state.instead);
  return state;
}

std::pair<Delivery, State> Pusher::deliver(const delivery::PushMessage& push, net::Deadline deadline) {
  const auto& proxy = config_.proxies.known[static_cast<std::size_t>(push.proxy)];
  const auto generation = generation_of(config_, push);
  if (auto* store = local_store_of(proxy)) {
    const auto delivery = store->put(generation, push.overrides_rollback, deadline);
    return {delivery, delivery == Delivery::older ? store->state() : State{}};
  }
  http::Request request;
  request.method = "PUT";
  request.target = push.overrides_rollback ? "/generation?recall" : "/generation";
  request.content_type = "application/json";
  request.body = write_generation(generation);
  const auto answer = http::fetch(*proxy.receiver, request, kMaxStateBytes, deadline);
  if (answer.status == 200) {
    // A response to another push, delayed or duplicated by the network, does not confirm this push.
    if (read_state(answer.body).newest.stamp != generation.stamp)
      throw net::Error("its receiver confirmed another version");
    return {Delivery::accepted, {}};
  }
  if (answer.status == 202) return {Delivery::unconfirmed, {}};
  if (answer.status == 409) return {Delivery::older, read_state(answer.body)};
  throw net::Error("its receiver answered with status " + std::to_string(answer.status) + ": " + answer.body);
}

}  // namespace ospreypost::files
