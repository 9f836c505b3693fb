#include "platform/platform_server.h"

#include <spdlog/spdlog.h>

#include "http/http.h"

namespace ospreypost::platform {
namespace {

using namespace std::chrono_literals;

// One of eight replicas that hang holds a prober for kProbeWithin each; with so many, the others of hundreds
// are still asked within a round. Each replica waits at most once, so the queue is bounded by the list.
constexpr std::size_t kProbers = 16, kProbesWaiting = 65536;
constexpr std::size_t kWordsWaiting = 64;  // to other governors
constexpr std::size_t kSmallestStack = 64 * 1024;
constexpr auto kProbeWithin = 500ms;
// Descriptors for all that is no stream: probes; discovery and what interrupts it, at an address and four
// that are left; polling, the listener, one just accepted, peers, interrupts, standard streams.
constexpr std::size_t kOtherDescriptors = kProbers + 24;
constexpr Nanos kGatherLeast = 2ms;
constexpr Nanos kLookEvery = 500ms;
constexpr Nanos kComplainEvery = 5s;
constexpr std::string_view kHealthPath = "/stats";

Nanos now() { return std::chrono::steady_clock::now().time_since_epoch(); }
Nanos wall_now() { return std::chrono::system_clock::now().time_since_epoch(); }

}  // namespace

Service::Service(const PlatformConfig& environment, std::shared_ptr<spdlog::logger> log)
    : environment_(environment),
      log_(std::move(log)),
      complaints_(log_, kComplainEvery),
      channel_(environment.classes, environment.usual_retry),
      places_(environment.zones, environment.kinds, now() - wall_now()) {
  probers_ = std::make_unique<net::ThreadPool>("prober", kProbers, kProbesWaiting, kSmallestStack);
  // All calls of a short while leave as one message for each proxy, as the calls of one batch do in the
  // simulator: each message costs its head, and only so many may go to a proxy.
  const auto gather = std::max(environment_.quantum, kGatherLeast);
  driver_ = std::make_unique<control_plane::ControllerDriver>(
      control_plane::ControllerDriver::Start{environment_.settings, environment_.seed, gather, nullptr, ""},
      now, static_cast<control_plane::ControllerFrontend&>(*this));
  std::uint64_t revision = 0;
  try {
    const auto known = discovery::parse_endpoint_list_update(environment_.known);
    revision = known.revision;
    take_list(known, true);
  } catch (const net::Error& error) {
    log_peer_error(std::string("no list was known: ") + error.what());
  }
  if (environment_.may_talk) {
    teller_ = std::make_unique<net::ThreadPool>("teller", 1, kWordsWaiting, kSmallestStack);
    const auto heard = [this](PeerId peer, std::string_view message) {
      driver_->call([&](record::RecordingController& governor, routing_state::RoutingState&, Nanos at) {
        governor.on_peer_message(at, peer, message);
      });
    };
    peers_ = std::make_unique<GossipChannel>(environment_.peer_listen, environment_.peers,
                                             environment_.peers_all, heard);
  }
  MessageNames vocabulary;
  vocabulary.classes = environment_.classes;
  vocabulary.zones = environment_.zones;
  vocabulary.load_columns = environment_.load_columns;
  vocabulary.proxies = environment_.settings.proxies;
  vocabulary.replica_of = [this](std::string_view name) {
    const std::lock_guard held(lock_);
    return places_.find(name);
  };
  streams_ = std::make_unique<StreamServer>(environment_.listen, environment_.sockets - kOtherDescriptors,
                                            std::move(vocabulary), static_cast<StreamEventHandler&>(*this));
  registry_ = std::make_unique<discovery::DiscoveryWatcher>(
      environment_.discovery, revision, static_cast<discovery::EndpointListHandler&>(*this));
  driver_->start([this] { run_maintenance(); }, kLookEvery);
}

void Service::stop() {
  if (stopped_.exchange(true)) return;
  interrupt_.set();
  registry_->stop();
  driver_->stop();
  streams_->stop();
  probers_->stop();
  if (teller_) teller_->stop();
  if (peers_) peers_->stop();
}

void Service::renew(const PlatformConfig& environment) {
  log_->info("configuration read again, discovery at {}", environment.discovery.text());
  registry_->move_to(environment.discovery);
}

// --- Orders

void Service::on_published(Nanos, const std::optional<routing_state::RoutingState::Publication>& published,
                           const std::vector<std::pair<AckRequestId, bool>>& marks) {
  {
    const std::lock_guard held(lock_);
    if (published) {
      version_ = published->snapshot;
      for (const auto& pending : published->changes)
        channel_.on_published(pending.proxy, version_->snapshot_of(pending.proxy));
    }
    for (const auto& [mark, reach_all] : marks) {
      for (const auto proxy : version_->acknowledgement_recipients(reach_all))
        channel_.marked(proxy, mark, reach_all);
    }
  }
  if (streams_) streams_->wake();
}

void Service::request_health_check(ReplicaId replica) {
  net::Address at;
  {
    const std::lock_guard held(lock_);
    const auto* place = places_.place(replica);
    if (!place || place->phase == EndpointPhase::gone) return;
    if (!probed_.insert(replica).second) return;  // the last one still waits for its turn
    at = place->address;
  }
  const bool taken = probers_->take([this, replica, at] { ask_load(replica, at); });
  if (taken) return;
  const std::lock_guard held(lock_);
  probed_.erase(replica);
}

void Service::send_to_peer(std::optional<PeerId> peer, std::string_view message) {
  if (!peers_) return;
  teller_->take([this, peer, words = std::string(message)] { peers_->send_to_peer(peer, words); });
}

void Service::log(std::string_view line) {
  std::string named;
  {
    const std::lock_guard held(lock_);
    named = control_plane::with_name(line, [this](ReplicaId id) { return name_of(id); });
  }
  log_->info("{}", named);
}

// --- Streams

void Service::on_proxy_joined(ProxyId proxy, ZoneId zone, double operations_per_second, bool fresh) {
  driver_->call([&](record::RecordingController& governor, routing_state::RoutingState& book, Nanos at) {
    {
      const std::lock_guard held(lock_);
      channel_.joined(proxy);
    }
    book.remove_proxy(proxy);
    book.add_proxy(proxy);
    governor.on_proxy_joined(at, proxy, zone, operations_per_second, fresh);
  });
}

void Service::on_proxy_left(ProxyId proxy) {
  driver_->call([&](record::RecordingController& governor, routing_state::RoutingState& book, Nanos at) {
    governor.on_proxy_left(at, proxy);
    book.remove_proxy(proxy);
    const std::lock_guard held(lock_);
    channel_.left(proxy);
  });
}

void Service::on_replica_load_report(const ReplicaLoadReport& sum) {
  driver_->call([&](record::RecordingController& governor, routing_state::RoutingState&, Nanos at) {
    governor.on_replica_load_report(at, sum, record::Origin{});
  });
}

void Service::on_demand_report(ProxyId proxy, const DemandReport& demand) {
  driver_->call([&](record::RecordingController& governor, routing_state::RoutingState&, Nanos at) {
    governor.on_demand_report(at, demand, record::Origin{proxy, {}});
  });
}

void Service::on_acknowledgement(ProxyId proxy, std::uint64_t nonce, Nanos took) {
  std::vector<AckRequestId> settled;
  {
    const std::lock_guard held(lock_);
    settled = channel_.answered(proxy, nonce);
  }
  for (const auto mark : settled) {
    driver_->call([&](record::RecordingController& governor, routing_state::RoutingState&, Nanos at) {
      governor.on_acknowledged(at, proxy, mark, took);
    });
  }
}

std::vector<ProxyId> Service::due_proxies() {
  const std::lock_guard held(lock_);
  return {channel_.due_proxies().begin(), channel_.due_proxies().end()};
}

std::string Service::next_message(ProxyId proxy) {
  const std::lock_guard held(lock_);
  return channel_.next(proxy, [this](ReplicaId id) { return name_of(id); }).bytes;
}

// Empty if it was let go or never given. With the lock held.
std::string_view Service::name_of(ReplicaId id) const {
  const auto* place = places_.place(id);
  return place ? std::string_view(place->name) : std::string_view{};
}

// --- The list, and what is asked of replicas

void Service::on_endpoint_list_update(const discovery::EndpointListUpdate& roster) {
  take_list(roster, false);
}

void Service::take_list(const discovery::EndpointListUpdate& roster, bool at_start) {
  log_list(roster, at_start);
  std::size_t refused = roster.refused;
  driver_->call([&](record::RecordingController& governor, routing_state::RoutingState&, Nanos at) {
    EndpointRegistry::Changes taken;
    {
      const std::lock_guard held(lock_);
      taken = places_.take(roster);
      channel_.out(taken.out);
    }
    refused += taken.refused;
    const auto kind = at_start                               ? EndpointListKind::cached
                      : roster.complete && !taken.as_changes ? EndpointListKind::complete
                                                             : EndpointListKind::changes;
    governor.on_endpoint_list(at, kind, taken.entries);
  });
  if (refused > 0) log_peer_error("entries of the list that cannot be read");
  if (streams_) streams_->wake();
}

// At the start a line for all, later one for each change.
void Service::log_list(const discovery::EndpointListUpdate& roster, bool at_start) {
  std::size_t ready = 0, young = 0;
  for (const auto& member : roster.members) {
    const bool recent =
        member.started && wall_now() - *member.started < environment_.settings.warm_up_duration;
    ready += member.phase == EndpointPhase::ready;
    young += member.phase == EndpointPhase::ready && recent;
    const char* phase = member.phase == EndpointPhase::ready      ? (recent ? "ready, cold" : "ready")
                        : member.phase == EndpointPhase::draining ? "draining"
                                                                  : "gone";
    if (!roster.complete) log_->info("list replica={} phase={}", member.name, phase);
  }
  if (roster.complete)
    log_->info("{} list of {}: {} ready, {} of them cold", at_start ? "known" : "whole",
               roster.members.size(), ready, young);
}

void Service::ask_load(ReplicaId replica, const net::Address& at) {
  HealthCheckResult answer;
  answer.replica = replica;
  {
    const std::lock_guard held(lock_);
    probed_.erase(replica);
  }
  const auto begun = net::Steady::now();
  try {
    http::Request request;
    request.target = kHealthPath;
    const auto got = http::fetch(at, request, begun + kProbeWithin, &interrupt_);
    answer.refused = got.status == 503;
    answer.answered = got.status == 200;
    if (answer.answered) answer.load = read_report(got.body, environment_.load_columns);
  } catch (const MessageError& spoilt) {
    log_peer_error("a load report was dropped: " + std::string(spoilt.what()));
    answer.answered = false;
  } catch (const std::exception&) {
    // No answer is an answer, and told as one.
  }
  answer.took = net::Steady::now() - begun;
  if (stopped_) return;
  driver_->call([&](record::RecordingController& governor, routing_state::RoutingState&, Nanos now) {
    governor.on_health_check_result(now, answer);
  });
}

// Every so often: what no call may do, as it would wait or take long.
void Service::run_maintenance() {
  if (wants_list_.exchange(false)) registry_->look();
  const std::lock_guard held(lock_);
  for (const auto id : channel_.unheld(places_.gone())) places_.let_go(id);
}

}  // namespace ospreypost::platform
