// Which names the governor answers, and what stands behind each.
//
//   _CLASS._tcp.PROXY.proxies.APEX   SRV, TXT   a proxy's own table of a class
//   _CLASS._tcp.ZONE.zones.APEX      SRV        the plain proxies of a zone, for those that can only ask
//   PROXY.proxies.APEX               A, AAAA    where a proxy takes operations of others
//   REPLICA.replicas.APEX            A, AAAA    where a replica stands
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
struct OwnHost {};           // the governor's own name
struct EmptyNonTerminal {};  // no records of its own, but names below it (RFC 8020)
struct NonexistentName {};   // does not exist
struct OutOfZone {};         // not under the apex
using NameTarget = std::variant<OutOfZone, NonexistentName, EmptyNonTerminal, Apex, OwnHost, ProxyTable,
                                ZoneProxies, ProxyHost, ReplicaHost>;

class NameIndex {
 public:
  // `apex` and `server` with their closing dots, in small letters.
  NameIndex(std::string apex, std::string server, const std::vector<std::string>& zones,
            const std::vector<std::string>& classes, const std::vector<std::string>& proxies);
  // Of a whole name in small letters with its closing dot.
  NameTarget meaning_of(std::string_view name) const;
  std::string proxy_host(ProxyId proxy) const { return proxies_.name(proxy) + ".proxies." + apex_; }
  std::string replica_host(std::string_view replica) const {
    return std::string(replica) + ".replicas." + apex_;
  }
  const std::string& apex() const { return apex_; }
  const std::string& server() const { return server_; }

 private:
  NameTarget below(std::string_view labels) const;
  template <typename Make>
  NameTarget service(std::string_view labels, Make make) const;

  std::string apex_, server_;
  discovery::NameTable<ZoneId> zones_;
  discovery::NameTable<ClassId> classes_;
  discovery::NameTable<ProxyId> proxies_;
};

}  // namespace ospreypost::dns
