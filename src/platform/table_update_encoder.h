// What each proxy holds as last written on its stream, and the one message that brings it to what stands.
// Pure.
//
// What is withdrawn leaves the lines that are written; a proxy is never told to shut a replica out by itself,
// as that would outlive its stream and bind it under other governors.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "routing_state/routing_snapshot.h"

namespace ospreypost::platform {

class TableUpdateEncoder {
 public:
  // Names of classes in the order of the settings; `usual`: how a proxy that was told nothing tries again.
  TableUpdateEncoder(std::vector<std::string> classes, RetryMode usual);

  // A new stream: whatever was written on another counts for nothing.
  void on_proxy_joined(ProxyId proxy);
  void on_proxy_left(ProxyId proxy);
  // What the proxy is to hold from now on.
  void on_published(ProxyId proxy, std::shared_ptr<const routing_state::ProxySnapshot> proxy_snapshot);
  // Joined proxies without tables of ours are to drop these lines from what they brought along.
  void drop_replicas(const std::vector<ReplicaId>& replicas);
  // The proxy is to answer once it has applied all that stands now. `alone`: also if there is nothing else to
  // write to it.
  void request_acknowledgement(ProxyId proxy, AckRequestId mark, bool alone);

  // Whom there is something to write to.
  const std::set<ProxyId>& due_proxies() const { return due_; }

  struct Message {
    std::string bytes;        // empty: nothing differs
    std::size_t entries = 0;  // as the platform counts them, without the head
  };
  // Counts as written. `name_of` gives the name that discovery knows a replica by.
  Message next_message(ProxyId proxy, const std::function<std::string_view(ReplicaId)>& name_of);

  // The marks that the answer to `nonce` settles, that of earlier messages included.
  std::vector<AckRequestId> on_acknowledgement(ProxyId proxy, std::uint64_t nonce);
  // Those of which no proxy may still hold a line.
  std::vector<ReplicaId> unused_replicas(const std::vector<ReplicaId>& replicas) const;

 private:
  // Views are shared by all proxies that hold the same, so a table written costs no copy of its lines.
  struct Table {
    bool ours = false;  // else it is what the proxy brought along
    std::shared_ptr<const routing_state::RoutingTable> view;
    routing_state::TrafficPolicy terms;
  };
  struct Proxy {
    std::vector<Table> written;  // by class
    std::shared_ptr<const routing_state::ProxySnapshot> wanted;
    std::vector<ReplicaId> shed;      // lines to drop from what it brought along
    std::vector<AckRequestId> marks;  // to be asked for
    bool asks_alone = false;          // for one of them a message is written that has nothing else
    std::vector<std::pair<std::uint64_t, std::vector<AckRequestId>>> asked;
  };
  // A push to some classes; what is empty is not written.
  struct Part {
    std::vector<std::size_t> classes;
    bool full = false;
    std::vector<std::pair<ReplicaId, double>> lines;
    const routing_state::TrafficPolicy* terms = nullptr;
  };
  void settle_lines(Proxy& proxy, std::vector<Part>& parts) const;
  void settle_terms(Proxy& proxy, std::vector<Part>& parts) const;
  std::string routes(const std::vector<std::size_t>& classes) const;

  const std::vector<std::string> classes_;
  const routing_state::TrafficPolicy usual_;
  std::map<ProxyId, Proxy> proxies_;
  std::set<ProxyId> due_;
  std::uint64_t last_nonce_ = 0;
};

}  // namespace ospreypost::platform
