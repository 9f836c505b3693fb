/// The form of table updates on a proxy's stream: `push` messages. No I/O.
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

/// The name that discovery knows a replica by; empty if it is not known any more.
using EndpointNames = std::function<std::string_view(ReplicaId)>;

/// The weight that a replica gets in a table; 0 removes its entry.
struct WeightChange {
  ReplicaId replica{};
  double weight = 0;
};

/// One update that is the same for some classes. Whatever is absent or empty stays as it is.
struct TablePush {
  std::vector<std::size_t> classes;  ///< positions in the settings; none: all
  bool complete = false;             ///< the changes are made to empty tables with the default policy
  std::vector<WeightChange> changes;
  std::optional<routing_state::TrafficPolicy> policy;
};

/// The bytes of some messages, and their cost.
struct TableUpdateMessage {
  std::string bytes;        ///< empty: there is nothing to write
  std::size_t entries = 0;  ///< as the platform counts them, without the overhead of the message
};

/// Encodes updates as messages that a proxy applies together: each but the last says that another one
/// follows.
class TablePushEncoder {
 public:
  /// Both must outlive the encoder.
  TablePushEncoder(const std::vector<std::string>& class_names, const EndpointNames& name_of)
      : class_names_(class_names), name_of_(name_of) {}
  /// Adds an update, as several messages if it is long.
  void add(const TablePush& push);
  /// The proxy is to answer with the nonce once it has applied all that was added; something must have been.
  void request_acknowledgement(std::uint64_t nonce);
  /// All of it; the last call.
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
