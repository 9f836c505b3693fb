/// Publishes the admitted fractions of single tables, which `WarmUpLimiter` sets beside those of all tables.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/action_sink.h"
#include "policy/message_batch.h"
#include "policy/table_set.h"

namespace ospreypost::policy {

class TableAdmission {
 public:
  /// `entries`: cost of an admitted fraction, in entries to each proxy that uses the table.
  TableAdmission(double entries, ActionSink& actions) : entries_(entries), actions_(actions) {}

  /// Sets the number of tables, once the subsets are laid out.
  void set_table_count(std::size_t subsets, std::size_t groups);

  /// Sends the fractions that fall. A fraction that does not fit is pending until a later call sends it.
  void lower(const TableSet& wanted, RetryMode retry_mode, MessageBatch& batch);
  /// Sends the fractions that rise, and the retry mode of tables with a fraction of their own. A table's
  /// fraction rises only if `published_tables`, by subset and routing group, has all its wanted replicas.
  void raise(const TableSet& wanted, RetryMode retry_mode,
             const std::vector<std::vector<TableEntries>>& published_tables, MessageBatch& batch);

  /// Returns whether a lower fraction of the table is still to be sent. Until then, the table must not get
  /// new entries, which rely on that fraction.
  bool is_pending(std::size_t subset, std::size_t group) const { return tables_[subset][group].is_pending; }
  bool any_pending() const;
  /// Returns whether proxies admit only a fraction of the requests of any of the subset's tables.
  bool is_limited(std::size_t subset) const;
  /// Returns the additional cost of binding a proxy to the subset's tables, in entries.
  double binding_cost(std::size_t subset) const;

 private:
  struct Published {
    double fraction = 1;
    RetryMode retry_mode = RetryMode::none;
    bool was_sent = false;    // whether the table has a fraction of its own
    bool is_pending = false;  // whether a lower fraction is still to be sent
  };

  /// A table as its position in a table set.
  struct Position {
    std::size_t subset = 0;
    std::size_t group = 0;
  };

  void send(TableId id, Position position, double fraction, RetryMode retry_mode,
            MessageBatch::Urgency urgency, MessageBatch& batch);

  const double entries_;
  ActionSink& actions_;
  std::vector<std::vector<Published>> tables_;  // by subset and routing group
};

}  // namespace ospreypost::policy
