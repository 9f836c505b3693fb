/// Tracks the routing tables last sent to each proxy, and encodes the difference to the proxy's published
/// snapshot. No I/O.
///
/// An ejected replica is left out of the tables that are sent. A proxy is never instructed to eject a replica
/// itself: such an ejection would outlast the stream and stay in force under other control plane instances.
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

/// Encodes the next table update of each proxy's stream. Not thread-safe.
class TableUpdateEncoder {
 public:
  /// `class_names`: request class names, in the order of the settings. `default_retry`: retry mode that a
  /// proxy applies before it receives a traffic policy.
  TableUpdateEncoder(std::vector<std::string> class_names, RetryMode default_retry);

  /// The proxy has a new stream: updates that were sent on an earlier stream are disregarded.
  void on_proxy_joined(ProxyId proxy);
  /// The proxy's stream ended: no message is pending for the proxy any more.
  void on_proxy_left(ProxyId proxy);
  /// Sets the snapshot for the proxy. Does nothing if the proxy has no stream or `snapshot` is null.
  void on_published(ProxyId proxy, std::shared_ptr<const routing_state::ProxySnapshot> snapshot);
  /// Schedules the removal of these replicas from the routing tables of proxies for which no snapshot has
  /// been published on their stream. Such a proxy may still use tables from before the stream.
  void drop_replicas(const std::vector<ReplicaId>& replicas);
  /// Schedules an acknowledgement request: the proxy answers once it has applied the current snapshot.
  /// `without_update`: the request is sent even if no table update is pending; otherwise it is dropped in
  /// that case.
  void request_acknowledgement(ProxyId proxy, AckRequestId request, bool without_update);

  /// Returns the proxies that may have a pending message.
  const std::set<ProxyId>& due_proxies() const { return due_; }
  /// Returns the pending message for a proxy, which counts as sent from then on; its `bytes` are empty if no
  /// message is pending.
  TableUpdateMessage next_message(ProxyId proxy, const EndpointNames& name_of);

  /// Returns the acknowledgement requests that an answer with `nonce` completes, including those of earlier
  /// messages; empty if no request with this nonce is pending.
  std::vector<AckRequestId> on_acknowledgement(ProxyId proxy, std::uint64_t nonce);
  /// Returns those of `replicas` that are neither in a sent nor in a published table of any proxy.
  std::vector<ReplicaId> unused_replicas(const std::vector<ReplicaId>& replicas) const;

 private:
  using SharedTable = std::shared_ptr<const routing_state::RoutingTable>;

  // The routing table of one request class, as last sent on the stream. The table is shared with the
  // snapshots of all proxies that have the same table, so that its entries are not copied.
  struct WrittenTable {
    bool was_sent = false;  // false: no table was sent; the proxy may have one from before the stream
    SharedTable table;
    routing_state::TrafficPolicy policy;
  };
  // Acknowledgement requests that were sent in one message and are not answered yet.
  struct PendingAcknowledgement {
    std::uint64_t nonce = 0;
    std::vector<AckRequestId> requests;
  };
  struct ProxyStream {
    std::vector<WrittenTable> written;  // indexed by request class
    std::shared_ptr<const routing_state::ProxySnapshot> published;
    std::vector<ReplicaId> replicas_to_drop;  // to be removed from tables from before the stream
    std::vector<AckRequestId> new_requests;   // to be sent with the next message
    bool must_send_requests = false;          // `new_requests` are sent even if no table update is pending
    std::vector<PendingAcknowledgement> pending;
  };

  std::vector<TablePush> take_pushes(ProxyStream& stream) const;
  void push_entries(ProxyStream& stream, std::vector<TablePush>& pushes) const;
  std::vector<std::size_t> classes_with_same_tables(const ProxyStream& stream, std::size_t first) const;
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
