#include "dns/client_ttl_policy.h"

#include <algorithm>
#include <cmath>

namespace ospreypost::dns {
namespace {

using namespace std::chrono_literals;

constexpr Ttl kMinTtl{1};
constexpr Nanos kMinSilenceTimeout = 1s;
/// Number of consecutive punctual answers, that is answers after which the client queried again in time, that
/// an untrusted client needs before it gets replicas.
constexpr int kRequiredPunctualAnswers = 3;
/// An answer is punctual if its time of use exceeds its TTL by at most the maximum time of use divided by
/// kPunctualityDivisor. The tolerated lateness is subtracted first.
constexpr int kPunctualityDivisor = 4;
constexpr Nanos kLatenessHalfLife = 5min;
/// Lateness that can be caused by clocks, thread scheduling and a busy client, without any cache.
constexpr Nanos kToleratedLateness = 50ms;
/// Minimum fraction of a remembered lateness that remains after the maximum TTL has passed.
constexpr double kMinMemoryLeft = 0.975;

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }
Nanos nanos(double seconds) { return Nanos(static_cast<Nanos::rep>(seconds * 1e9)); }

// Returns the maximum time for which a client may use an answer. The tolerated lateness, and the part
// of a remembered lateness that decays between two queries, must also fit into the drain grace.
Nanos max_time_of_use(const ClientTtlLimits& limits) {
  const Nanos remaining_grace =
      limits.drain_grace - limits.endpoint_list_lag - limits.answer_delay - kToleratedLateness;
  return nanos(seconds(remaining_grace) * kMinMemoryLeft);
}

}  // namespace

bool grace_permits_min_ttl(const ClientTtlLimits& limits) { return max_time_of_use(limits) >= kMinTtl; }

ClientTtlPolicy::ClientTtlPolicy(const ClientTtlLimits& limits)
    : max_time_of_use_(max_time_of_use(limits)),
      silence_timeout_(std::max(limits.silence_timeout, kMinSilenceTimeout)),
      max_ttl_(std::max(limits.max_ttl, kMinTtl)) {}

void ClientTtlPolicy::add_known(ProxyId id, bool trusted) { clients_[id].trusted = trusted; }

void ClientTtlPolicy::decay_memory(Nanos now, Client& client) {
  const double remaining = std::exp2(-seconds(now - client.decayed_at) / seconds(kLatenessHalfLife));
  client.ttl_multiple = 1 + (client.ttl_multiple - 1) * remaining;
  client.max_lateness = nanos(seconds(client.max_lateness) * remaining);
  client.decayed_at = now;
}

// Returns the longer of two estimates. One late answer does not show whether a cache multiplies TTLs or adds
// a fixed time to them; only an answer with another TTL would distinguish the two cases.
Nanos ClientTtlPolicy::expected_time_of_use(const Client& client, Ttl ttl) {
  return std::max(nanos(seconds(ttl) * client.ttl_multiple), Nanos(ttl) + client.max_lateness);
}

// Returns the maximum TTL for the client's answers. Empty if the client is expected to use even an answer
// with the minimum TTL for too long.
std::optional<Ttl> ClientTtlPolicy::max_ttl_for(const Client& client) const {
  for (Ttl ttl = max_ttl_; ttl >= kMinTtl; ttl -= Ttl{1}) {
    if (expected_time_of_use(client, ttl) <= max_time_of_use_) return ttl;
  }
  return std::nullopt;
}

// Updates the client's record with an answer that the client used until its next query.
void ClientTtlPolicy::record_time_of_use(Client& client, const Answer& answer, Nanos time_of_use) const {
  const Nanos lateness = time_of_use - Nanos(answer.ttl) - kToleratedLateness;
  client.max_lateness = std::max(client.max_lateness, lateness);
  const double ttl_multiple = seconds(time_of_use - kToleratedLateness) / seconds(answer.ttl);
  client.ttl_multiple = std::max(client.ttl_multiple, ttl_multiple);
  if (lateness <= max_time_of_use_ / kPunctualityDivisor) {
    client.punctual_answers = std::min(client.punctual_answers + 1, kRequiredPunctualAnswers);
  } else {
    client.punctual_answers = 0;
  }
  if (client.punctual_answers == kRequiredPunctualAnswers) client.trust_suspended = false;
}

bool ClientTtlPolicy::is_proven(const Client& client) {
  if (client.punctual_answers == kRequiredPunctualAnswers) return true;
  return client.trusted && !client.trust_suspended;
}

TtlDecision ClientTtlPolicy::on_query(Nanos now, ProxyId id, ClassId cls) {
  const auto known = clients_.find(id);
  if (known == clients_.end()) return {};
  Client& client = known->second;
  // A clock that goes back must not make an answer appear newer than it is.
  const Nanos query_time = std::max(now, client.last_seen);
  decay_memory(query_time, client);
  client.last_seen = query_time;

  const auto last = client.last_answers.find(cls);
  const bool is_first = last == client.last_answers.end();
  // A query before the end of the TTL gives no evidence: it may be a retry, or from another user of the same
  // answer.
  const bool is_over = !is_first && query_time >= last->second.sent_at + Nanos(last->second.ttl);
  if (is_over) record_time_of_use(client, last->second, query_time - last->second.sent_at);

  const std::optional<Ttl> max_ttl = max_ttl_for(client);
  const bool gets_replicas = max_ttl && is_proven(client);
  TtlDecision decision;
  decision.service = gets_replicas ? ClientService::replicas : ClientService::proxies;
  // A client that must still prove itself gets the minimum TTL, because short answers give evidence sooner.
  decision.ttl = gets_replicas ? *max_ttl : kMinTtl;
  decision.client_joined = gets_replicas && !client.joined;
  decision.client_left = !gets_replicas && client.joined;
  client.joined = gets_replicas;
  if (is_over || is_first) client.last_answers[cls] = {query_time, decision.ttl};
  return decision;
}

void ClientTtlPolicy::on_report(Nanos now, ProxyId id) {
  const auto known = clients_.find(id);
  if (known != clients_.end()) known->second.last_seen = std::max(now, known->second.last_seen);
}

// Returns the time at which the client will count as having left, unless it sends a query or a report before.
Nanos ClientTtlPolicy::silent_at(const Client& client) const {
  Nanos time = client.last_seen + silence_timeout_;
  // The client could still use its last answers after the silence timeout.
  for (const auto& [cls, answer] : client.last_answers) {
    time = std::max(time, answer.sent_at + expected_time_of_use(client, answer.ttl));
  }
  return time;
}

// A cache may keep an answer for longer than the silence timeout. Therefore any client that returns after the
// silence timeout, even a trusted client, must prove itself again, which takes a few seconds.
std::vector<ProxyId> ClientTtlPolicy::take_silent(Nanos now) {
  std::vector<ProxyId> left;
  for (auto& [id, client] : clients_) {
    if (client.last_answers.empty() || now < silent_at(client)) continue;
    if (client.joined) left.push_back(id);
    client.joined = false;
    client.trust_suspended = true;
    client.punctual_answers = 0;
    client.last_answers.clear();
  }
  return left;
}

bool ClientTtlPolicy::is_joined(ProxyId id) const {
  const auto known = clients_.find(id);
  return known != clients_.end() && known->second.joined;
}

}  // namespace ospreypost::dns
