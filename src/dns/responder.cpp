#include "dns/responder.h"

#include <algorithm>
#include <cstdio>

#include "dns/srv_weights.h"

namespace ospreypost::dns {
namespace {

constexpr std::size_t kMinQuestionBytes = 12, kMaxTcpBytes = 65535;
// Minimum TTL of records, in seconds. Negative answers and replica addresses have this TTL, so that clients
// do not cache them for long.
constexpr std::uint32_t kMinTtl = 1;

// Returns a TXT record with the admitted fraction and the retry mode of a request class, as key-value pairs
// according to RFC 6763.
Record traffic_policy_record(const Question& question, std::uint32_t ttl,
                             const routing_state::ProxySnapshot& proxy_snapshot,
                             const routing_state::TrafficPolicy& policy) {
  char level[32];
  std::snprintf(level, sizeof(level), "level=%.4f", policy.admitted_fraction);
  Txt txt{{"txtvers=1", "version=" + std::to_string(static_cast<std::uint64_t>(proxy_snapshot.changed_in)),
           level, std::string("retry=") + routing_state::name_of(policy.retry)}};
  return {question.name_as_sent, ttl, std::move(txt)};
}

bool asks_for(const Question& question, Type type) {
  return question.type == type || question.type == Type::any;
}

std::vector<std::string> names_of(const std::vector<config::ProxyEntry>& proxies) {
  std::vector<std::string> names;
  for (const auto& proxy : proxies) names.push_back(proxy.name);
  return names;
}

}  // namespace

Responder::Responder(const config::Config& config, delivery::PullService& pull_service)
    : name_index_(config.dns.apex, config.dns.server_name, config.zones, config.classes,
                  names_of(config.proxies.known)),
      proxies_(config.proxies.known),
      own_address_(config.dns.listen),
      max_udp_bytes_(config.dns.max_udp_bytes),
      max_ttl_(static_cast<std::uint32_t>(config.dns.max_ttl.count())),
      pull_service_(pull_service),
      answer_cache_(AnswerCache::Limits{}) {}

std::optional<Bytes> Responder::answer(std::span<const std::uint8_t> wire, bool over_tcp) {
  if (wire.size() < kMinQuestionBytes) return std::nullopt;
  // The pull service decides about the client on each query; only the encoding of an unchanged answer is
  // skipped.
  std::optional<delivery::PullAnswer> pull_answer;
  if (const auto cached = answer_cache_.find(wire, over_tcp)) {
    pull_answer = pull_service_.on_query(cached->proxy_table.proxy, cached->proxy_table.cls);
    if (pull_answer->ttl_decision.service == dns::ClientService::replicas &&
        AnswerInputs(*pull_answer) == cached->inputs) {
      auto repeated_answer = cached->answer;
      std::copy_n(wire.begin(), 2, repeated_answer.begin());
      return repeated_answer;
    }
  }
  const auto question = read_question(wire);
  if (!question) return std::nullopt;
  const auto max_bytes = over_tcp ? kMaxTcpBytes : std::min(question->max_udp_bytes, max_udp_bytes_);
  if (question->error != Code::ok) {
    Reply refusal;
    refusal.code = question->error;
    refusal.authoritative = false;
    return write_reply(*question, refusal, max_bytes);
  }
  const auto target = name_index_.target_of(question->name);
  const auto* table = std::get_if<ProxyTable>(&target);
  if (!table || !(asks_for(*question, Type::srv) || asks_for(*question, Type::txt)))
    return write_reply(*question, reply_to(*question, target), max_bytes);
  if (!pull_answer) pull_answer = pull_service_.on_query(table->proxy, table->cls);
  auto answer = write_reply(*question, proxy_table_reply(*question, *table, *pull_answer), max_bytes);
  if (pull_answer->ttl_decision.service == dns::ClientService::replicas && pull_answer->proxy_snapshot)
    answer_cache_.insert(wire, over_tcp, {*table, AnswerInputs(*pull_answer), answer});
  return answer;
}

Reply Responder::reply_to(const Question& question, const NameTarget& target) {
  if (std::holds_alternative<OutOfZone>(target)) {
    auto refusal = negative_reply(Code::refused);
    refusal.authoritative = false;
    refusal.authority.clear();
    return refusal;
  }
  if (std::holds_alternative<NonexistentName>(target)) return negative_reply(Code::name_error);
  if (std::holds_alternative<EmptyNonTerminal>(target)) return negative_reply(Code::ok);
  if (std::holds_alternative<Apex>(target)) return apex_reply(question);
  if (std::holds_alternative<OwnHost>(target)) return address_reply(question, own_address_, max_ttl_);
  if (std::holds_alternative<ProxyTable>(target)) return negative_reply(Code::ok);
  if (const auto* zone = std::get_if<ZoneProxies>(&target)) return zone_proxies_reply(question, *zone);
  if (const auto* proxy = std::get_if<ProxyHost>(&target))
    return address_reply(question, proxies_[static_cast<std::size_t>(proxy->proxy)].entry, max_ttl_);
  const auto directory = pull_service_.directory();
  const auto* endpoint = directory->find(std::get<ReplicaHost>(target).replica);
  if (!endpoint || endpoint->removed) return negative_reply(Code::name_error);
  return address_reply(question, endpoint->address, kMinTtl);
}

// Returns a negative answer with the SOA record, whose TTL is also that of the negative answer (RFC 2308).
Reply Responder::negative_reply(Code code) const {
  Reply reply;
  reply.code = code;
  reply.authority.push_back(soa_record());
  return reply;
}

Record Responder::soa_record() const {
  const auto serial = static_cast<std::uint32_t>(static_cast<std::uint64_t>(pull_service_.version()));
  return {name_index_.apex(), kMinTtl,
          Soa{name_index_.server(), "hostmaster." + name_index_.apex(), serial, 60, 10, 600, kMinTtl}};
}

Reply Responder::apex_reply(const Question& question) {
  Reply reply;
  if (asks_for(question, Type::soa)) {
    auto record = soa_record();
    record.owner = question.name_as_sent;
    reply.answers.push_back(std::move(record));
  }
  if (asks_for(question, Type::ns)) {
    reply.answers.push_back({question.name_as_sent, max_ttl_, Ns{name_index_.server()}});
    reply.additional.push_back({name_index_.server(), max_ttl_, own_address_});
  }
  return reply.answers.empty() ? negative_reply(Code::ok) : reply;
}

Reply Responder::address_reply(const Question& question, const std::optional<net::Address>& host_address,
                               std::uint32_t ttl) {
  if (!host_address || !asks_for(question, host_address->is_v6() ? Type::aaaa : Type::a))
    return negative_reply(Code::ok);
  Reply reply;
  reply.answers.push_back({question.name_as_sent, ttl, *host_address});
  return reply;
}

Reply Responder::proxy_table_reply(const Question& question, const ProxyTable& proxy_table,
                                   const delivery::PullAnswer& pull_answer) {
  if (pull_answer.ttl_decision.service != dns::ClientService::replicas) {
    Reply reply;
    if (asks_for(question, Type::srv))
      add_fallback_proxies(reply, question, pull_answer,
                           proxies_[static_cast<std::size_t>(proxy_table.proxy)].zone);
    return reply.answers.empty() ? negative_reply(Code::ok) : reply;
  }
  Reply reply;
  const auto& proxy_snapshot = pull_answer.proxy_snapshot;
  if (!proxy_snapshot || !proxy_snapshot->routing_tables[static_cast<std::size_t>(proxy_table.cls)]) {
    // A server failure is not a negative answer: the proxy queries again at once, and may use its cached
    // answer until the end of the TTL.
    reply.code = Code::server_failure;
    return reply;
  }
  const auto& table = *proxy_snapshot->routing_tables[static_cast<std::size_t>(proxy_table.cls)];
  if (table.entries.empty()) return negative_reply(Code::ok);
  const auto ttl = pull_answer.ttl_decision.ttl.count();
  const auto policy = traffic_policy_record(
      question, ttl, *proxy_snapshot, table.traffic_policies[static_cast<std::size_t>(proxy_table.cls)]);
  if (asks_for(question, Type::txt)) reply.answers.push_back(policy);
  if (!asks_for(question, Type::srv)) return reply;
  std::vector<double> weights;
  for (const auto& entry : table.entries) weights.push_back(entry.weight);
  const auto srv_weights = to_srv_weights(weights);
  if (question.type == Type::srv) reply.additional.push_back(policy);
  for (std::size_t n = 0; n < table.entries.size(); ++n) {
    const auto& endpoint = pull_answer.directory->endpoint(table.entries[n].replica);
    const auto target = name_index_.replica_host(endpoint.name);
    reply.answers.push_back(
        {question.name_as_sent, ttl, Srv{0, srv_weights[n], endpoint.address.port, target}});
    reply.additional.push_back({target, ttl, endpoint.address});
  }
  return reply;
}

Reply Responder::zone_proxies_reply(const Question& question, const ZoneProxies& zone_proxies) {
  if (!asks_for(question, Type::srv)) return negative_reply(Code::ok);
  Reply reply;
  add_fallback_proxies(reply, question, pull_service_.on_zone_query(zone_proxies.zone), zone_proxies.zone);
  return reply.answers.empty() ? negative_reply(Code::ok) : reply;
}

// Adds the fallback proxies to the reply. The proxies of the client's own zone get the better priority;
// clients use the proxies of other zones only if no proxy of the own zone responds.
void Responder::add_fallback_proxies(Reply& reply, const Question& question,
                                     const delivery::PullAnswer& pull_answer,
                                     std::optional<ZoneId> own_zone) const {
  const auto ttl = pull_answer.ttl_decision.ttl.count();
  for (const auto& entry : pull_answer.fallback_proxies) {
    const auto target = name_index_.proxy_host(entry.proxy);
    const std::uint16_t priority = entry.zone == own_zone ? 0 : 1;
    reply.answers.push_back({question.name_as_sent, ttl, Srv{priority, 1, entry.address.port, target}});
    reply.additional.push_back({target, ttl, entry.address});
  }
}

}  // namespace ospreypost::dns
