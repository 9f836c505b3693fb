/// Publishes tables, ejections and admitted fractions to proxies, the most urgent first.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "policy/action_sink.h"
#include "policy/control_channel.h"
#include "policy/message_batch.h"
#include "policy/message_pacing.h"
#include "policy/replica.h"
#include "policy/settings.h"
#include "policy/slow_start.h"
#include "policy/subset_assignment.h"
#include "policy/table_admission.h"
#include "policy/table_set.h"

namespace ospreypost::policy {

/// The state that proxies should have.
struct WantedState {
  TableSet tables;
  Values admitted_fractions;  ///< admitted fraction of each class
  RetryMode retry_mode = RetryMode::after_rejection_proof;
};

class TablePublisher {
 public:
  TablePublisher(const Settings& settings, ControlChannel& channel, ActionSink& actions);

  /// Sets the number of tables, once the subsets are laid out. Later calls have no effect.
  void set_table_count(std::size_t subsets, std::size_t groups);
  /// Makes the next publication due at once instead of after the publish interval.
  void request_urgent_publication() { is_urgent_ = true; }
  bool is_urgent() const { return is_urgent_; }
  bool is_due(Nanos now) const { return is_urgent_ || now >= next_publication_; }

  /// Sends the differences between the wanted and the published state, as far as they fit into the channel.
  /// The order is: ejections, admitted fractions (of single tables only those that fall), table changes (the
  /// tables that differ most first), returns of ejected replicas, and the fractions of single tables that
  /// rise. Differences that do not fit are left to a later publication.
  void publish(const WantedState& wanted, ReplicaMap& replicas, const SlowStart& slow_start,
               const SubsetAssignment& assignment, Nanos now);

  /// Whether a proxy is bound for the first time, or moves to another subset.
  enum class Binding { joining, migration };
  /// Binds a proxy to all tables of a subset at once.
  /// Returns false without effect if any of these tables is empty, if the entries would fill the channel's
  /// queue beyond the fraction for such bindings, or if the proxy was sent too many messages recently.
  bool bind(ProxyId proxy, std::size_t subset, const std::vector<RoutingGroup>& groups,
            const ReplicaMap& replicas, Binding binding, Nanos now);
  /// Returns whether a proxy may be moved to another subset now without exceeding its message limit.
  bool may_migrate(ProxyId proxy, Nanos now) { return pacing_.may_migrate(proxy, now); }
  /// Returns the subsets with an entry of the replica in any of their published tables.
  std::vector<std::size_t> subsets_holding(ReplicaId id) const;
  /// Returns whether proxies admit only a fraction of the requests of any of the subset's tables.
  bool has_limited_table(std::size_t subset) const { return table_admission_.is_limited(subset); }
  /// Returns the fixed cost of a message, in entries, beyond the entries it carries.
  double message_overhead() const { return message_overhead_; }

 private:
  /// A published table entry that differs from the wanted one.
  struct Change {
    double difference = 0;  // difference of weights relative to the table's total; plus 1 if sent first
    std::size_t group = 0;
    ReplicaId replica{};
    double weight = 0;  // the wanted weight; 0 removes the entry
  };
  /// The changes to all tables of one subset.
  struct SubsetChanges {
    std::size_t subset = 0;
    bool has_endpoints = true;  // whether each published table of the subset has a replica that may be picked
    double total_difference = 0;
    std::vector<Change> changes;
    std::set<ReplicaId> postponed;  // replicas of tables that cannot be changed yet
  };
  /// An ejection that could not be sent at once.
  struct DelayedEjection {
    Nanos since{};
    MessageBatch::Reservation reason{};  // why it could not be sent at first
  };
  struct Publication;

  void eject(Publication& publication);
  std::vector<ReplicaId> ids_to_eject(const Publication& publication) const;
  void eject_one(Publication& publication, ReplicaId id, Replica& replica);
  void eject_together(Publication& publication, const std::vector<ReplicaId>& ids);
  void delay_ejection(ReplicaId id, MessageBatch::Reservation reason, Nanos now);
  void send_ejection(Publication& publication, ReplicaId id);
  void hold_back(Publication& publication, const std::vector<std::size_t>& subsets);
  void release_subsets_without_endpoints(Publication& publication) const;
  void send_admission(Publication& publication);
  std::set<ReplicaId> send_tables(Publication& publication);
  std::size_t send_changes(Publication& publication, const SubsetChanges& subset_changes,
                           double urgent_capacity);
  void readmit(Publication& publication, const std::set<ReplicaId>& unsent);
  std::vector<SubsetChanges> find_changes(const Publication& publication);
  std::vector<Change> changes_of(const Publication& publication, std::size_t subset, double min_change) const;
  void add_differences(const TableEntries& wanted, std::size_t subset, std::size_t group, double min_change,
                       std::vector<Change>& changes) const;
  std::set<ReplicaId> postponed_in(const Publication& publication, std::size_t subset) const;
  void add_removals(const Publication& publication, std::size_t subset, std::size_t group,
                    std::vector<Change>& changes) const;
  bool has_endpoints(const Publication& publication, std::size_t subset) const;
  std::optional<double> cost_of_binding(std::size_t subset, const ReplicaMap& replicas) const;
  TableId table_id(std::size_t subset, std::size_t group) const;

  ControlChannel& channel_;
  ActionSink& actions_;
  const double configured_overhead_;
  MessagePacing pacing_;
  const Nanos publish_interval_;

  std::vector<std::vector<TableEntries>> tables_;            // published tables, by subset and routing group
  Values admitted_fractions_;                                // published admitted fractions, by class
  RetryMode retry_mode_ = RetryMode::after_rejection_proof;  // published retry mode
  std::map<ReplicaId, DelayedEjection> delayed_ejections_;
  TableAdmission table_admission_;
  double message_overhead_;
  Nanos next_publication_{};
  bool is_urgent_ = false;
};

}  // namespace ospreypost::policy
