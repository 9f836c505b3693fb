#include "files/pusher.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace ospreypost::files {
namespace {

using namespace std::chrono_literals;

constexpr Nanos kLongest = 500ms;  // between looks, whatever is due

routing_state::RemoteState met(const State& state) {
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
  generation.out = push.ejected;
  std::set<std::string> names;
  for (std::size_t k = 0; k < push.proxy_snapshot->routing_tables.size(); ++k) {
    const auto& view = push.proxy_snapshot->routing_tables[k];
    if (!view) continue;
    const Terms terms{generation.stamp.version, view->traffic_policies[k].admitted_fraction,
                      routing_state::name_of(view->traffic_policies[k].retry)};
    std::vector<Endpoint> endpoints;
    for (const auto& line : view->entries) {
      const auto& place = push.directory->endpoint(line.replica);
      endpoints.push_back({place.name, place.zone, place.address, line.weight});
      names.insert(place.name);
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
      shelves_[proxy.folder] =
          std::make_unique<GenerationShelf>(proxy.folder, config.files.keep, config.files.reader_confirms);
  }
  if (!any) return;
  carriers_ = std::make_unique<net::ThreadPool>("push", config.files.threads, config.files.threads);
  scheduler_ = net::Thread("push-schedule", [this] { schedule(); });
}

void Pusher::on_push_available() {
  const std::lock_guard held(lock_);
  looked_ = false;
  changed_.notify_one();
}

void Pusher::stop() {
  {
    const std::lock_guard held(lock_);
    stopping_ = true;
  }
  changed_.notify_all();
  scheduler_.join();
  if (carriers_) carriers_->stop();
}

void Pusher::schedule() {
  std::unique_lock held(lock_);
  while (!stopping_) {
    looked_ = true;
    // What nobody can carry yet is not taken up, so that what becomes pressing meanwhile goes first.
    changed_.wait(held, [this] { return stopping_ || busy_ < config_.files.threads; });
    if (stopping_) return;
    held.unlock();
    const auto push = core_.take_push();
    const auto wait = push ? Nanos{} : std::min(kLongest, core_.next_push_in().value_or(kLongest));
    held.lock();
    if (push) {
      ++busy_;
      carriers_->take([this, push = *push] { carry(push); });
    } else if (wait > Nanos{}) {
      changed_.wait_for(held, wait, [this] { return stopping_ || !looked_; });
    }
  }
}

void Pusher::carry(const delivery::PushMessage& push) {
  const auto until = net::Steady::now() + config_.files.patience;
  try {
    if (!push.proxy_snapshot) {
      core_.on_remote_state(push.proxy, met(state_of(push.proxy, &push, until)));
    } else {
      const auto [delivery, state] = deliver(push, until);
      switch (delivery) {
        case Delivery::taken:
          core_.on_push_confirmed(push.proxy, push.proxy_snapshot->changed_in);
          break;
        case Delivery::unconfirmed:
          core_.on_push_failed(push.proxy, "its reader has not confirmed");
          break;
        case Delivery::older:
          core_.on_push_rejected(push.proxy, met(state));
          break;
      }
    }
  } catch (const std::exception& error) {
    core_.on_push_failed(push.proxy, error.what());
  }
  const std::lock_guard held(lock_);
  --busy_;
  looked_ = false;
  changed_.notify_one();
}

GenerationShelf* Pusher::shelf_of(const config::ProxyEntry& proxy) {
  if (!proxy.is_pushed_to()) throw net::Error(proxy.name + " has neither a folder nor a receiver");
  return proxy.folder.empty() ? nullptr : shelves_.at(proxy.folder).get();
}

State Pusher::state_of(ProxyId id, const delivery::PushMessage* speaker, net::Deadline until) {
  const auto& proxy = config_.proxies.known[static_cast<std::size_t>(id)];
  if (auto* shelf = shelf_of(proxy)) {
    if (speaker) shelf->renew(speaker->epoch, speaker->owner);
    return shelf->state();
  }
  http::Request request;
  request.target = "/state";
  if (speaker) request.target += "?epoch=" + std::to_string(speaker->epoch) + "&owner=" + speaker->owner;
  const auto answer = http::fetch(*proxy.receiver, request, until);
  if (answer.status != 200)
    throw net::Error("its receiver answers with status " + std::to_string(answer.status));
  return read_state(answer.body);
}

State Pusher::fetch_state(ProxyId proxy) {
  return state_of(proxy, nullptr, net::Steady::now() + config_.files.patience);
}

State Pusher::roll_back(ProxyId id, std::uint64_t version, const std::vector<std::string>& out) {
  const auto& proxy = config_.proxies.known[static_cast<std::size_t>(id)];
  const auto until = net::Steady::now() + config_.files.patience;
  if (auto* shelf = shelf_of(proxy)) {
    shelf->roll_back(version, out);
  } else {
    http::Request request;
    request.method = "POST";
    request.target = "/rollback?version=" + std::to_string(version);
    request.body = nlohmann::json(out).dump();
    const auto answer = http::fetch(*proxy.receiver, request, until);
    if (answer.status != 200) throw net::Error(answer.body.substr(0, answer.body.find('\n')));
  }
  const auto state = fetch_state(id);
  // Who was withdrawn meanwhile is recalled at once.
  core_.on_rollback(id, state.instead);
  return state;
}

std::pair<Delivery, State> Pusher::deliver(const delivery::PushMessage& push, net::Deadline until) {
  const auto& proxy = config_.proxies.known[static_cast<std::size_t>(push.proxy)];
  const auto generation = generation_of(config_, push);
  if (auto* shelf = shelf_of(proxy)) {
    const auto delivery = shelf->put(generation, push.overrides_rollback, until);
    return {delivery, delivery == Delivery::older ? shelf->state() : State{}};
  }
  http::Request request;
  request.method = "PUT";
  request.target = push.overrides_rollback ? "/generation?recall" : "/generation";
  request.content_type = "application/json";
  request.body = write_generation(generation);
  const auto answer = http::fetch(*proxy.receiver, request, until);
  if (answer.status == 200) {
    // An answer about another push, late or repeated on the way, confirms nothing of this one.
    if (read_state(answer.body).newest.stamp != generation.stamp)
      throw net::Error("its receiver speaks of another version");
    return {Delivery::taken, {}};
  }
  if (answer.status == 202) return {Delivery::unconfirmed, {}};
  if (answer.status == 409) return {Delivery::older, read_state(answer.body)};
  throw net::Error("its receiver answers with status " + std::to_string(answer.status) + ": " + answer.body);
}

}  // namespace ospreypost::files
