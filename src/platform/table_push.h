/// Encodes table updates as the `push` messages of a proxy's stream. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/controller.h"
#include "routing_state/routing_snapshot.h"

namespace ospreypost::platform {

/// Returns the name of a replica in discovery; empty if the replica's id was released.
using EndpointNames = std::function<std::string_view(ReplicaId)>;

/// New weight of a replica in a routing table; 0 removes the replica's entry.
struct WeightChange {
  ReplicaId replica{};
  double weight = 0;
};

/// One update of the routing tables of some request classes. Absent or empty parts change nothing.
struct TablePush {
  std::vector<std::size_t> classes;  ///< indices in the settings; empty: all classes
  /// If true, the proxy clears the tables and resets their policy to the default before it applies `changes`.
  bool complete = false;
  std::vector<WeightChange> changes;
  std::optional<routing_state::TrafficPolicy> policy;
};

/// Encoded messages and their cost.
struct TableUpdateMessage {
  std::string bytes;  ///< empty if no message is pending
  /// Cost in entries, as the platform counts them, without the overhead per message.
  std::size_t entries = 0;
};

/// Encodes updates as a sequence of messages that a proxy applies together: each message except the last has
/// the field `continued`.
class TablePushEncoder {
 public:
  /// The arguments must outlive the encoder.
  TablePushEncoder(const std::vector<std::string>& class_names, const EndpointNames& name_of)
      : class_names_(class_names), name_of_(name_of) {}
  /// Adds an update, split into several messages if it has many changes.
  void add(const TablePush& push);
  /// Adds an acknowledgement request: the proxy answers with `nonce` once it has applied all added updates.
  /// At least one update must have been added.
  void request_acknowledgement(std::uint64_t nonce);
  /// Returns all encoded messages. No other method may be called afterwards.
  TableUpdateMessage finish();

 private:
  using Words = std::vector<std::string>;

  std::size_t add_part(const TablePush& push, std::size_t first_change);
  std::string encode_changes(const TablePush& push, std::size_t first_change, std::size_t end);
  std::string join_names(const std::vector<std::size_t>& classes) const;

  const std::vector<std::string>& class_names_;
  const EndpointNames& name_of_;
  std::vector<Words> messages_;
  std::size_t entries_ = 0;
};

}  // namespace ospreypost::platform
