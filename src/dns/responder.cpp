#include "dns/responder.h"

#include <algorithm>
#include <cstdio>

#include "dns/srv_weights.h"

namespace ospreypost::dns {
namespace {

constexpr std::size_t kLeastBytes = 12, kMostTcpBytes = 65535;
constexpr std::size_t kMostKept = 4096;
// The least that records carry: nobody should hold on for long to an answer that says no.
constexpr std::uint32_t kNegativeLifetime = 1;

// How operations of the class are let in and tried again, as RFC 6763 writes such pairs.
Record terms_record(const Question& question, std::uint32_t lifetime,
                    const routing_state::ProxySnapshot& proxy_snapshot,
                    const routing_state::TrafficPolicy& terms) {
  char level[32];
  std::snprintf(level, sizeof(level), "level=%.4f", terms.admitted_fraction);
  Txt txt{{"txtvers=1", "version=" + std::to_string(static_cast<std::uint64_t>(proxy_snapshot.changed_in)),
           level, std::string("retry=") + routing_state::name_of(terms.retry)}};
  return {question.asked, lifetime, std::move(txt)};
}

bool wants(const Question& question, Type type) {
  return question.type == type || question.type == Type::any;
}

std::vector<std::string> names_of(const std::vector<config::ProxyEntry>& proxies) {
  std::vector<std::string> names;
  for (const auto& proxy : proxies) names.push_back(proxy.name);
  return names;
}

}  // namespace

Responder::Responder(const config::Config& config, delivery::PullService& core)
    : catalogue_(config.dns.apex, config.dns.server_name, config.zones, config.classes,
                 names_of(config.proxies.known)),
      proxies_(config.proxies.known),
      own_address_(config.dns.listen),
      most_udp_bytes_(config.dns.most_udp_bytes),
      longest_(static_cast<std::uint32_t>(config.dns.longest_lifetime.count())),
      core_(core),
      made_(kMostKept) {}

std::optional<Bytes> Responder::answer(std::span<const std::uint8_t> wire, bool by_tcp) {
  if (wire.size() < kLeastBytes) return std::nullopt;
  // Whoever asks is judged each time; only the making of the same answer is saved.
  std::optional<delivery::PullAnswer> told;
  if (const auto made = made_.find(wire, by_tcp)) {
    told = core_.on_query(made->about.proxy, made->about.cls);
    if (told->ttl_decision.service == dns::ClientService::replicas && Basis(*told) == made->basis) {
      auto again = made->answer;
      std::copy_n(wire.begin(), 2, again.begin());
      return again;
    }
  }
  const auto question = read_question(wire);
  if (!question) return std::nullopt;
  const auto most = by_tcp ? kMostTcpBytes : std::min(question->udp_bytes, most_udp_bytes_);
  if (question->fault != Code::ok) {
    Reply refusal;
    refusal.code = question->fault;
    refusal.authoritative = false;
    return write_reply(*question, refusal, most);
  }
  const auto meaning = catalogue_.meaning_of(question->name);
  const auto* table = std::get_if<ProxyTable>(&meaning);
  if (!table || !(wants(*question, Type::srv) || wants(*question, Type::txt)))
    return write_reply(*question, reply_to(*question, meaning), most);
  if (!told) told = core_.on_query(table->proxy, table->cls);
  auto answer = write_reply(*question, proxy_table(*question, *table, *told), most);
  if (told->ttl_decision.service == dns::ClientService::replicas && told->proxy_snapshot)
    made_.keep(wire, by_tcp, {*table, Basis(*told), answer});
  return answer;
}

Reply Responder::reply_to(const Question& question, const NameTarget& meaning) {
  if (std::holds_alternative<OutOfZone>(meaning)) {
    auto refusal = nothing(Code::refused);
    refusal.authoritative = false;
    refusal.authority.clear();
    return refusal;
  }
  if (std::holds_alternative<NonexistentName>(meaning)) return nothing(Code::no_name);
  if (std::holds_alternative<EmptyNonTerminal>(meaning)) return nothing(Code::ok);
  if (std::holds_alternative<Apex>(meaning)) return apex(question);
  if (std::holds_alternative<OwnHost>(meaning)) return address(question, own_address_, longest_);
  if (std::holds_alternative<ProxyTable>(meaning)) return nothing(Code::ok);
  if (const auto* zone = std::get_if<ZoneProxies>(&meaning)) return zone_proxies(question, *zone);
  if (const auto* proxy = std::get_if<ProxyHost>(&meaning))
    return address(question, proxies_[static_cast<std::size_t>(proxy->proxy)].entry, longest_);
  const auto directory = core_.directory();
  const auto* place = directory->find(std::get<ReplicaHost>(meaning).replica);
  if (!place || place->removed) return nothing(Code::no_name);
  return address(question, place->address, kNegativeLifetime);
}

// RFC 2308: a no carries the SOA, whose lifetime is that of the no.
Reply Responder::nothing(Code code) const {
  Reply reply;
  reply.code = code;
  reply.authority.push_back(soa());
  return reply;
}

Record Responder::soa() const {
  const auto serial = static_cast<std::uint32_t>(static_cast<std::uint64_t>(core_.version()));
  return {
      catalogue_.apex(), kNegativeLifetime,
      Soa{catalogue_.server(), "hostmaster." + catalogue_.apex(), serial, 60, 10, 600, kNegativeLifetime}};
}

Reply Responder::apex(const Question& question) {
  Reply reply;
  if (wants(question, Type::soa)) {
    auto record = soa();
    record.owner = question.asked;
    reply.answers.push_back(std::move(record));
  }
  if (wants(question, Type::ns)) {
    reply.answers.push_back({question.asked, longest_, Ns{catalogue_.server()}});
    reply.additional.push_back({catalogue_.server(), longest_, own_address_});
  }
  return reply.answers.empty() ? nothing(Code::ok) : reply;
}

Reply Responder::address(const Question& question, const std::optional<net::Address>& at,
                         std::uint32_t lifetime) {
  if (!at || !wants(question, at->is_v6() ? Type::aaaa : Type::a)) return nothing(Code::ok);
  Reply reply;
  reply.answers.push_back({question.asked, lifetime, *at});
  return reply;
}

Reply Responder::proxy_table(const Question& question, const ProxyTable& asked,
                             const delivery::PullAnswer& told) {
  if (told.ttl_decision.service != dns::ClientService::replicas) {
    Reply reply;
    if (wants(question, Type::srv))
      add_entries(reply, question, told, proxies_[static_cast<std::size_t>(asked.proxy)].zone);
    return reply.answers.empty() ? nothing(Code::ok) : reply;
  }
  Reply reply;
  const auto& proxy_snapshot = told.proxy_snapshot;
  if (!proxy_snapshot || !proxy_snapshot->routing_tables[static_cast<std::size_t>(asked.cls)]) {
    // Not a no: the proxy asks again at once, and may go on with what it holds until its lifetime ends.
    reply.code = Code::server_failure;
    return reply;
  }
  const auto& view = *proxy_snapshot->routing_tables[static_cast<std::size_t>(asked.cls)];
  if (view.entries.empty()) return nothing(Code::ok);
  const auto lifetime = told.ttl_decision.ttl.count();
  const auto terms = terms_record(question, lifetime, *proxy_snapshot,
                                  view.traffic_policies[static_cast<std::size_t>(asked.cls)]);
  if (wants(question, Type::txt)) reply.answers.push_back(terms);
  if (!wants(question, Type::srv)) return reply;
  std::vector<double> weights;
  for (const auto& line : view.entries) weights.push_back(line.weight);
  const auto units = to_srv_weights(weights);
  if (question.type == Type::srv) reply.additional.push_back(terms);
  for (std::size_t n = 0; n < view.entries.size(); ++n) {
    const auto& place = told.directory->endpoint(view.entries[n].replica);
    const auto target = catalogue_.replica_host(place.name);
    reply.answers.push_back({question.asked, lifetime, Srv{0, units[n], place.address.port, target}});
    reply.additional.push_back({target, lifetime, place.address});
  }
  return reply;
}

Reply Responder::zone_proxies(const Question& question, const ZoneProxies& asked) {
  if (!wants(question, Type::srv)) return nothing(Code::ok);
  Reply reply;
  add_entries(reply, question, core_.on_zone_query(asked.zone), asked.zone);
  return reply.answers.empty() ? nothing(Code::ok) : reply;
}

// The proxies of the asker's own zone come first; those of others only when none of these answers.
void Responder::add_entries(Reply& reply, const Question& question, const delivery::PullAnswer& told,
                            std::optional<ZoneId> own_zone) const {
  const auto lifetime = told.ttl_decision.ttl.count();
  for (const auto& entry : told.fallback_proxies) {
    const auto target = catalogue_.proxy_host(entry.proxy);
    const std::uint16_t priority = entry.zone == own_zone ? 0 : 1;
    reply.answers.push_back({question.asked, lifetime, Srv{priority, 1, entry.address.port, target}});
    reply.additional.push_back({target, lifetime, entry.address});
  }
}

}  // namespace ospreypost::dns
