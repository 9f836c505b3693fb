/// The tables, ejections and admitted fractions as published, and what is sent first when not all fits.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "policy/action_sink.h"
#include "policy/control_channel.h"
#include "policy/locality_planner.h"
#include "policy/message_batch.h"
#include "policy/replica.h"
#include "policy/settings.h"
#include "policy/slow_start.h"
#include "policy/subset_assignment.h"

namespace ospreypost::policy {

/// What should stand at the proxies.
struct WantedState {
  TableSet tables;
  Values admitted_fractions;  ///< by class
  RetryMode retry_mode = RetryMode::after_rejection_proof;
};

class TablePublisher {
 public:
  TablePublisher(const Settings& settings, ControlChannel& channel, ActionSink& actions);

  /// To be called once the subsets are laid out.
  void set_table_count(std::size_t subsets, std::size_t groups);
  /// Something was noticed that must not wait for its turn.
  void hurry() { is_urgent_ = true; }
  bool is_urgent() const { return is_urgent_; }
  bool is_due(Nanos now) const { return is_urgent_ || now >= next_publication_; }

  /// Sends what differs from what stands, as much as fits, in the order of what it protects: ejections,
  /// admitted fractions, the tables that are furthest off, and last what may return. The rest waits.
  void publish(const WantedState& wanted, ReplicaMap& replicas, const SlowStart& slow_start,
               const SubsetAssignment& assignment, Nanos now);

  /// Gives a proxy all tables of a subset at once, if they fit within that fraction of the channel's limit.
  /// False if not.
  bool bind(ProxyId proxy, std::size_t subset, const std::vector<RoutingGroup>& groups,
            const ReplicaMap& replicas, double queue_fraction, Nanos now);
  /// The subsets in whose tables the replica stands.
  std::vector<std::size_t> holders_of(ReplicaId id) const;
  /// Entries that each message costs beyond its own.
  double message_overhead() const { return message_overhead_; }

 private:
  /// One entry that differs from what is wanted.
  struct Change {
    double difference = 0;  // of the weights, against all of the table's; plus 1 for what goes first
    std::size_t group = 0;
    ReplicaId replica{};
    double weight = 0;
  };
  /// The changes of one subset.
  struct SubsetChanges {
    std::size_t subset = 0;
    bool has_endpoints = true;  // in each of its tables
    double total_difference = 0;
    std::vector<Change> changes;
  };
  struct Publication;

  void eject(Publication& publication);
  void eject_one(Publication& publication, ReplicaId id, Replica& replica);
  void send_admission(Publication& publication);
  std::set<ReplicaId> send_tables(Publication& publication);
  std::size_t send_changes(Publication& publication, const SubsetChanges& subset_changes,
                           double urgent_capacity);
  void readmit(Publication& publication, const std::set<ReplicaId>& unsent);
  std::vector<SubsetChanges> find_changes(const Publication& publication);
  std::vector<Change> changes_of(const Publication& publication, std::size_t subset, double min_change) const;
  void add_missing(const Publication& publication, std::size_t subset, std::size_t group,
                   std::vector<Change>& changes) const;
  bool has_endpoints(const Publication& publication, std::size_t subset) const;
  std::optional<double> cost_of_binding(std::size_t subset, const ReplicaMap& replicas) const;
  TableId table_id(std::size_t subset, std::size_t group) const;

  ControlChannel& channel_;
  ActionSink& actions_;
  const double stated_overhead_;
  const Nanos min_message_gap_;  // to one proxy, so that no window ever holds too many
  const Nanos publish_interval_;

  std::vector<std::vector<TableEntries>> tables_;            // as published, by subset and routing group
  std::vector<Nanos> last_messages_;                         // by subset
  Values admitted_fractions_;                                // as published, by class
  RetryMode retry_mode_ = RetryMode::after_rejection_proof;  // as published
  double message_overhead_;
  Nanos next_publication_{};
  bool is_urgent_ = false;
};

}  // namespace ospreypost::policy
