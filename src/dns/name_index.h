// The name index maps each DNS name that the control plane instance answers to the target of the name.
//
//   _CLASS._tcp.PROXY.proxies.APEX   SRV, TXT   the routing table of a proxy for a request class
//   _CLASS._tcp.ZONE.zones.APEX      SRV        plain proxies of a zone, for clients that can only query
//   PROXY.proxies.APEX               A, AAAA    address at which a proxy accepts requests of other clients
//   REPLICA.replicas.APEX            A, AAAA    the address of a replica
//   APEX                             SOA, NS
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "discovery/name_table.h"
#include "policy/controller.h"

namespace ospreypost::dns {

struct ProxyTable {
  ProxyId proxy{};
  ClassId cls{};
};
struct ZoneProxies {
  ZoneId zone{};
  ClassId cls{};
};
struct ProxyHost {
  ProxyId proxy{};
};
struct ReplicaHost {
  std::string replica;
};
struct Apex {};
struct OwnHost {};           // the name of the control plane instance itself
struct EmptyNonTerminal {};  // a name without records, but with names below it (RFC 8020)
struct NonexistentName {};
struct OutOfZone {};  // a name that is not below the apex
using NameTarget = std::variant<OutOfZone, NonexistentName, EmptyNonTerminal, Apex, OwnHost, ProxyTable,
                                ZoneProxies, ProxyHost, ReplicaHost>;

class NameIndex {
 public:
  // `apex` and `server`: names in lower case, with a trailing dot.
  NameIndex(std::string apex, std::string server, const std::vector<std::string>& zones,
            const std::vector<std::string>& classes, const std::vector<std::string>& proxies);
  // Returns the target of a complete name, which is in lower case and has a trailing dot.
  NameTarget target_of(std::string_view name) const;
  std::string proxy_host(ProxyId proxy) const { return proxies_.name(proxy) + ".proxies." + apex_; }
  std::string replica_host(std::string_view replica) const {
    return std::string(replica) + ".replicas." + apex_;
  }
  const std::string& apex() const { return apex_; }
  const std::string& server() const { return server_; }

 private:
  NameTarget target_below_apex(std::string_view labels) const;
  template <typename Make>
  NameTarget service_target(std::string_view labels, Make make_target) const;

  std::string apex_, server_;
  discovery::NameTable<ZoneId> zones_;
  discovery::NameTable<ClassId> classes_;
  discovery::NameTable<ProxyId> proxies_;
};

}  // namespace ospreypost::dns
