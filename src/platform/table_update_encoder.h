/// What was last written to each proxy on its stream, and the one message that brings the proxy to what is
/// published now. No I/O.
///
/// A replica that is ejected is taken out of the tables that are written. A proxy is never instructed to
/// eject one by itself, as that would outlive its stream and bind it under other control plane instances.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/table_push.h"
#include "policy/controller.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::platform {

/// Decides what a stream has to carry next. Not thread-safe.
class TableUpdateEncoder {
 public:
  /// `class_names`: in the order of the settings; `default_retry`: the mode of a proxy that received none.
  TableUpdateEncoder(std::vector<std::string> class_names, RetryMode default_retry);

  /// A new stream: whatever was written on another one counts for nothing.
  void on_proxy_joined(ProxyId proxy);
  /// The end of its stream: nothing is due to the proxy any more.
  void on_proxy_left(ProxyId proxy);
  /// What the proxy is to have from now on. Does nothing for a proxy without a stream, or without a snapshot.
  void on_published(ProxyId proxy, std::shared_ptr<const routing_state::ProxySnapshot> snapshot);
  /// Proxies on a stream that have no tables from here are to drop these replicas from the tables they
  /// brought along.
  void drop_replicas(const std::vector<ReplicaId>& replicas);
  /// The proxy is to answer once it has applied all that is published now. `even_alone`: also if there is
  /// nothing else to write to it.
  void request_acknowledgement(ProxyId proxy, AckRequestId request, bool even_alone);

  /// The proxies that there may be something to write to.
  const std::set<ProxyId>& due_proxies() const { return due_; }
  /// What there is to write to a proxy, which counts as written from then on.
  TableUpdateMessage next_message(ProxyId proxy, const EndpointNames& name_of);

  /// The requests that the answer to `nonce` settles, those of earlier messages included; none if the nonce
  /// is not one that waits for its answer.
  std::vector<AckRequestId> on_acknowledgement(ProxyId proxy, std::uint64_t nonce);
  /// Those of the replicas that are in no proxy's table, neither as written nor as published.
  std::vector<ReplicaId> unused_replicas(const std::vector<ReplicaId>& replicas) const;

 private:
  using SharedTable = std::shared_ptr<const routing_state::RoutingTable>;

  // One class's table as written. Tables are shared by all proxies that have the same, so that one more costs
  // no copy of its entries.
  struct WrittenTable {
    bool is_from_here = false;  // else it is what the proxy brought along
    SharedTable table;
    routing_state::TrafficPolicy policy;
  };
  struct PendingAcknowledgement {
    std::uint64_t nonce = 0;
    std::vector<AckRequestId> requests;
  };
  struct ProxyStream {
    std::vector<WrittenTable> written;  // by class
    std::shared_ptr<const routing_state::ProxySnapshot> published;
    std::vector<ReplicaId> replicas_to_drop;  // from the tables that it brought along
    std::vector<AckRequestId> new_requests;   // for the next message
    bool must_request = false;                // a message is written for them alone if need be
    std::vector<PendingAcknowledgement> pending;
  };

  std::vector<TablePush> take_pushes(ProxyStream& stream) const;
  void push_entries(ProxyStream& stream, std::vector<TablePush>& pushes) const;
  std::vector<std::size_t> classes_alike(const ProxyStream& stream, std::size_t first) const;
  void push_policies(ProxyStream& stream, std::vector<TablePush>& pushes) const;
  TablePush take_dropped_replicas(ProxyStream& stream) const;
  std::set<const routing_state::RoutingTable*> tables_in_use() const;

  const std::vector<std::string> class_names_;
  const routing_state::TrafficPolicy default_policy_;
  std::map<ProxyId, ProxyStream> streams_;
  std::set<ProxyId> due_;
  std::uint64_t last_nonce_ = 0;
};

}  // namespace ospreypost::platform
