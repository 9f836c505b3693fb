#include "dns/client_ttl_policy.h"

#include <algorithm>
#include <cmath>

namespace ospreypost::dns {
namespace {

using namespace std::chrono_literals;

constexpr int kShown = 3;                // answers in a row, before an unknown client gets replicas
constexpr Nanos kMemoryHalfLife = 5min;  // of how late a client asked
// Of clocks, threads and a busy client, that is no sign of a cache.
constexpr Nanos kSlack = 50ms;
constexpr double kUnfaded = 0.975;  // at least, of that memory after the longest lifetime

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }
Nanos nanos(double seconds) { return Nanos(static_cast<Nanos::rep>(seconds * 1e9)); }

// How long an answer may be held. What is forgiven, and what fades between two questions, has to fit within
// the grace as well.
Nanos hold_most(const ClientTtlLimits& limits) {
  return nanos(seconds(limits.drain_grace - limits.endpoint_list_lag - limits.answer_delay - kSlack) *
               kUnfaded);
}

}  // namespace

bool grace_permits_min_ttl(const ClientTtlLimits& limits) { return hold_most(limits) >= Ttl{1}; }

ClientTtlPolicy::ClientTtlPolicy(const ClientTtlLimits& limits)
    : hold_most_(hold_most(limits)),
      silence_(std::max<Nanos>(limits.silence_timeout, 1s)),
      longest_(std::max(limits.max_ttl, Ttl{1})) {}

void ClientTtlPolicy::add_known(ProxyId client, bool vouched) { clients_[client].vouched = vouched; }

void ClientTtlPolicy::fade(Nanos now, Client& client) const {
  const double kept = std::exp2(-seconds(now - client.faded) / seconds(kMemoryHalfLife));
  client.stretch = 1 + (client.stretch - 1) * kept;
  client.late = nanos(seconds(client.late) * kept);
  client.faded = now;
}

// A cache that multiplies lifetimes and one that adds to them both show in one answer; which one it was, only
// the next lifetime would tell. The worse of the two counts.
Nanos ClientTtlPolicy::held_for(const Client& client, Ttl lifetime) const {
  return std::max(nanos(seconds(lifetime) * client.stretch), Nanos(lifetime) + client.late);
}

Ttl ClientTtlPolicy::longest_for(const Client& client) const {
  auto lifetime = longest_;
  while (lifetime > Ttl{1} && held_for(client, lifetime) > hold_most_) lifetime -= Ttl{1};
  return held_for(client, lifetime) <= hold_most_ ? lifetime : Ttl{};
}

// What an answer that has ended tells, by how long the client went on without asking again.
void ClientTtlPolicy::judge(Client& client, const Answer& last, Nanos held) const {
  const Nanos late = held - Nanos(last.given) - kSlack;
  client.late = std::max(client.late, late);
  client.stretch = std::max(client.stretch, seconds(held - kSlack) / seconds(last.given));
  client.shown = late <= hold_most_ / 4 ? std::min(client.shown + 1, kShown) : 0;
  if (client.shown == kShown) client.doubted = false;
}

TtlDecision ClientTtlPolicy::on_query(Nanos now, ProxyId id, ClassId cls) {
  const auto known = clients_.find(id);
  if (known == clients_.end()) return {};
  auto& client = known->second;
  now = std::max(now, client.heard);
  fade(now, client);
  client.heard = now;
  const auto last = client.answers.find(cls);
  // A question before the lifetime ended says nothing: another reader of the same answer, or a repeat.
  const bool over = last != client.answers.end() && now >= last->second.at + Nanos(last->second.given);
  if (over) judge(client, last->second, now - last->second.at);

  const auto lifetime = longest_for(client);
  const bool shown = client.shown == kShown || (client.vouched && !client.doubted);
  const bool trusted = lifetime > Ttl{} && shown;
  TtlDecision ttl_decision;
  ttl_decision.service = trusted ? ClientService::replicas : ClientService::proxies;
  // While it has still to show itself, only short answers tell anything soon.
  ttl_decision.ttl = trusted ? lifetime : Ttl{1};
  ttl_decision.client_joined = trusted && !client.joined;
  ttl_decision.client_left = !trusted && client.joined;
  client.joined = trusted;
  if (over || last == client.answers.end()) client.answers[cls] = {now, ttl_decision.ttl};
  return ttl_decision;
}

void ClientTtlPolicy::on_report(Nanos now, ProxyId id) {
  const auto known = clients_.find(id);
  if (known != clients_.end()) known->second.heard = std::max(now, known->second.heard);
}

// Guards against a cache that holds on for longer than the silence: whoever returns from one, vouched for or
// not, shows itself again. A client that was away pays with a few seconds.
std::vector<ProxyId> ClientTtlPolicy::take_silent(Nanos now) {
  std::vector<ProxyId> left;
  for (auto& [id, client] : clients_) {
    if (client.answers.empty()) continue;
    Nanos until = client.heard + silence_;
    // What it was given must be over as well, or it could go on by it.
    for (const auto& [cls, answer] : client.answers)
      until = std::max(until, answer.at + held_for(client, answer.given));
    if (now < until) continue;
    if (client.joined) left.push_back(id);
    client.joined = false;
    client.doubted = true;
    client.shown = 0;
    client.answers.clear();
  }
  return left;
}

bool ClientTtlPolicy::is_joined(ProxyId id) const {
  const auto known = clients_.find(id);
  return known != clients_.end() && known->second.joined;
}

}  // namespace ospreypost::dns
