#include "fakes/stub_resolver.h"

#include <arpa/inet.h>
#include <arpa/nameser.h>
#include <netdb.h>
#include <netinet/in.h>
#include <resolv.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <map>

namespace ospreypost::fakes {
namespace {

constexpr std::size_t kMaxMessageBytes = 65535;

std::string first_label(const std::string& name) { return name.substr(0, name.find('.')); }

void read_text(const ns_rr& rr, Resolved& resolved) {
  const auto* position = ns_rr_rdata(rr);
  const auto* end = position + ns_rr_rdlen(rr);
  while (position < end && position + 1 + *position <= end) {
    const std::string pair(reinterpret_cast<const char*>(position + 1), *position);
    position += 1 + *position;
    const auto value = pair.substr(std::min(pair.size(), pair.find('=') + 1));
    if (pair.starts_with("version=")) resolved.version = std::strtoull(value.c_str(), nullptr, 10);
    if (pair.starts_with("level=")) resolved.level = std::strtod(value.c_str(), nullptr);
    if (pair.starts_with("retry=")) resolved.retry = value;
  }
}

// Returns the message of the server. If there is no answer, returns an empty message and sets `error` to the
// reason.
std::vector<unsigned char> query(const net::Address& server, const std::string& name, bool by_tcp,
                                 int& error) {
  struct __res_state state {};
  error = NETDB_INTERNAL;
  if (res_ninit(&state) != 0) return {};
  state.options = (state.options | RES_USE_EDNS0) & ~static_cast<unsigned long>(RES_DNSRCH | RES_DEFNAMES);
  if (by_tcp) state.options |= RES_USEVC;
  state.retrans = 1;
  state.retry = 2;
  state.nscount = 1;
  auto& server_address = state.nsaddr_list[0];
  server_address.sin_family = AF_INET;
  server_address.sin_port = htons(server.port);
  inet_pton(AF_INET, server.host.c_str(), &server_address.sin_addr);
  std::vector<unsigned char> wire(kMaxMessageBytes);
  const int size =
      res_nquery(&state, name.c_str(), ns_c_in, ns_t_srv, wire.data(), static_cast<int>(wire.size()));
  error = state.res_h_errno;
  res_nclose(&state);
  wire.resize(static_cast<std::size_t>(std::max(size, 0)));
  return wire;
}

// Adds the targets of a message to `resolved`. Returns false if the address of a target is missing.
bool read_targets(const std::vector<unsigned char>& wire, Resolved& resolved) {
  ns_msg message{};
  if (ns_initparse(wire.data(), static_cast<int>(wire.size()), &message) != 0) return true;
  std::map<std::string, std::string> addresses;
  for (int n = 0; n < ns_msg_count(message, ns_s_ar); ++n) {
    ns_rr rr{};
    if (ns_parserr(&message, ns_s_ar, n, &rr) != 0) break;
    if (ns_rr_type(rr) == ns_t_txt) read_text(rr, resolved);
    if (ns_rr_type(rr) != ns_t_a || ns_rr_rdlen(rr) != 4) continue;
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, ns_rr_rdata(rr), text.data(), text.size());
    addresses[ns_rr_name(rr)] = text.data();
  }
  for (int n = 0; n < ns_msg_count(message, ns_s_an); ++n) {
    ns_rr rr{};
    if (ns_parserr(&message, ns_s_an, n, &rr) != 0) return true;
    if (ns_rr_type(rr) != ns_t_srv || ns_rr_rdlen(rr) < 7) continue;
    const auto* data = ns_rr_rdata(rr);
    std::array<char, NS_MAXDNAME> target{};
    if (dn_expand(ns_msg_base(message), ns_msg_end(message), data + 6, target.data(), target.size()) < 0)
      return true;
    const auto address = addresses.find(target.data());
    if (address == addresses.end()) return false;
    Target found;
    found.priority = static_cast<std::uint16_t>(ns_get16(data));
    found.weight = static_cast<std::uint16_t>(ns_get16(data + 2));
    found.name = first_label(target.data());
    found.address = {address->second, static_cast<std::uint16_t>(ns_get16(data + 4))};
    resolved.replicas = std::string(target.data()).find(".replicas.") != std::string::npos;
    resolved.lifetime = ns_rr_ttl(rr);
    resolved.targets.push_back(std::move(found));
  }
  return true;
}

}  // namespace

Resolved resolve(const net::Address& server, const std::string& name) {
  for (const bool by_tcp : {false, true}) {
    Resolved resolved;
    int error = 0;
    const auto wire = query(server, name, by_tcp, error);
    if (wire.empty()) {
      const bool no_data = error == NO_DATA || error == HOST_NOT_FOUND;
      resolved.kind = no_data ? Resolved::Kind::no_endpoints : Resolved::Kind::failed;
      return resolved;
    }
    // The UDP message had no room for all addresses: repeat the query over TCP.
    if (!read_targets(wire, resolved)) continue;
    if (!resolved.targets.empty()) resolved.kind = Resolved::Kind::answer;
    return resolved;
  }
  return {};
}

}  // namespace ospreypost::fakes
