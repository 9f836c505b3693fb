#include "policy/table_admission.h"

#include <algorithm>

#include "policy/log_events.h"

namespace ospreypost::policy {
namespace {

/// Minimum relative change of a fraction that is sent.
constexpr double kMinRelativeChange = 0.08;

bool has_all_replicas(const TableEntries& published, const TableEntries& wanted) {
  return std::all_of(wanted.begin(), wanted.end(),
                     [&](const TableEntries::value_type& entry) { return published.contains(entry.first); });
}

}  // namespace

void TableAdmission::set_table_count(std::size_t subsets, std::size_t groups) {
  tables_.assign(subsets, std::vector<Published>(groups));
}

/// Sends a fraction if it fits into the batch.
void TableAdmission::send(TableId id, Position position, double fraction, RetryMode retry_mode,
                          MessageBatch::Urgency urgency, MessageBatch& batch) {
  const auto reservation =
      batch.try_reserve({position.subset}, entries_, MessageBatch::Unassigned::excluded, urgency);
  if (reservation != MessageBatch::Reservation::granted) return;
  auto& published = tables_[position.subset][position.group];
  if (fraction < 1 && published.fraction >= 1) actions_.log(log_events::table_admission_limited(id));
  if (fraction >= 1 && published.fraction < 1) actions_.log(log_events::table_admission_unlimited(id));
  published = {fraction, retry_mode, true, false};
  actions_.set_admitted_fraction(id, kAllClasses, fraction, retry_mode);
}

void TableAdmission::lower(const TableSet& wanted, RetryMode retry_mode, MessageBatch& batch) {
  for (std::size_t subset = 0; subset < tables_.size(); ++subset) {
    for (std::size_t group = 0; group < tables_[subset].size(); ++group) {
      auto& published = tables_[subset][group];
      const double fraction = wanted.admitted_fraction(subset, group);
      published.is_pending = fraction < published.fraction * (1 - kMinRelativeChange);
      if (!published.is_pending) continue;
      send(wanted.id(subset, group), {subset, group}, fraction, retry_mode, MessageBatch::Urgency::urgent,
           batch);
    }
  }
}

void TableAdmission::raise(const TableSet& wanted, RetryMode retry_mode,
                           const std::vector<std::vector<TableEntries>>& published_tables,
                           MessageBatch& batch) {
  for (std::size_t subset = 0; subset < tables_.size(); ++subset) {
    for (std::size_t group = 0; group < tables_[subset].size(); ++group) {
      const auto& published = tables_[subset][group];
      const double fraction = wanted.admitted_fraction(subset, group);
      const bool admits_all_again = fraction >= 1 && published.fraction < 1;
      const bool differs = admits_all_again || fraction > published.fraction * (1 + kMinRelativeChange);
      const bool rises =
          differs && has_all_replicas(published_tables[subset][group], wanted.at(subset, group));
      const bool changes_retries = published.was_sent && published.retry_mode != retry_mode;
      if (!rises && !changes_retries) continue;
      const double sent_fraction = rises ? fraction : std::min(fraction, published.fraction);
      send(wanted.id(subset, group), {subset, group}, sent_fraction, retry_mode,
           MessageBatch::Urgency::normal, batch);
    }
  }
}

bool TableAdmission::any_pending() const {
  return std::any_of(tables_.begin(), tables_.end(), [](const std::vector<Published>& tables) {
    return std::any_of(tables.begin(), tables.end(), [](const Published& table) { return table.is_pending; });
  });
}

bool TableAdmission::is_limited(std::size_t subset) const {
  return std::any_of(tables_[subset].begin(), tables_[subset].end(),
                     [](const Published& table) { return table.fraction < 1; });
}

double TableAdmission::binding_cost(std::size_t subset) const {
  const auto& tables = tables_[subset];
  const auto own =
      std::count_if(tables.begin(), tables.end(), [](const Published& table) { return table.was_sent; });
  return entries_ * static_cast<double>(own);
}

}  // namespace ospreypost::policy
