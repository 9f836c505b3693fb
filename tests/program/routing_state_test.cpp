/// Compares the routing state with a simple model, on generated actions.
#include "routing_state/routing_state.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace ospreypost::routing_state {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kClassCount = 2;
constexpr std::uint16_t kProxyCount = 4;

/// A simple model of the routing state: stores the effect of each action, and computes the table of a proxy
/// from scratch on each call.
struct PlainRoutingState {
  std::map<TableId, std::map<ReplicaId, double>> tables;
  std::map<TableId, std::map<std::size_t, TrafficPolicy>> own_policies;
  std::map<std::size_t, TrafficPolicy> default_policies;
  std::map<ProxyId, std::map<std::size_t, TableId>> bindings;
  std::set<ReplicaId> ejected;

  std::vector<TableEntry> entries_of(TableId table) const {
    std::vector<TableEntry> entries;
    if (!tables.contains(table)) return entries;
    for (const auto& [replica, weight] : tables.at(table)) {
      if (!ejected.contains(replica)) entries.push_back({replica, weight});
    }
    return entries;
  }

  TrafficPolicy policy_of(TableId table, std::size_t cls) const {
    const TrafficPolicy inherited =
        default_policies.contains(cls) ? default_policies.at(cls) : TrafficPolicy{};
    if (!own_policies.contains(table) || !own_policies.at(table).contains(cls)) return inherited;
    const TrafficPolicy& own = own_policies.at(table).at(cls);
    return {std::min(own.admitted_fraction, inherited.admitted_fraction), own.retry};
  }

  std::optional<RoutingTable> table_of(ProxyId proxy, std::size_t cls) const {
    const auto binding = bindings.find(proxy);
    if (binding == bindings.end() || !binding->second.contains(cls)) return std::nullopt;
    const TableId id = binding->second.at(cls);
    RoutingTable table;
    table.entries = entries_of(id);
    for (std::size_t each = 0; each < kClassCount; ++each) {
      table.traffic_policies.push_back(policy_of(id, each));
    }
    return table;
  }
};

bool contains(ClassMask mask, std::size_t cls) { return mask == 0 || (mask >> cls & 1U) != 0; }

/// Random parameters for an action; each kind of action uses some of them.
struct RandomTarget {
  ReplicaId replica{static_cast<std::uint32_t>(*rc::gen::inRange(0, 5))};
  TableId table{static_cast<std::uint16_t>(*rc::gen::inRange(0, 3))};
  ProxyId proxy{static_cast<std::uint16_t>(*rc::gen::inRange(0, static_cast<int>(kProxyCount)))};
  ClassMask classes{static_cast<ClassMask>(*rc::gen::inRange(0, 4))};
};

void set_random_entry(const RandomTarget& target, RoutingState& state, PlainRoutingState& plain) {
  const double weight = *rc::gen::inRange(0, 3);
  state.set_table_entry(target.table, target.replica, weight);
  if (weight > 0) plain.tables[target.table][target.replica] = weight;
  if (weight == 0) plain.tables[target.table].erase(target.replica);
}

void clear(const RandomTarget& target, RoutingState& state, PlainRoutingState& plain) {
  state.clear_table(target.table);
  plain.tables.erase(target.table);
  plain.own_policies.erase(target.table);
}

void bind(const RandomTarget& target, RoutingState& state, PlainRoutingState& plain) {
  state.bind(target.proxy, target.table, target.classes);
  if (!plain.bindings.contains(target.proxy)) return;
  for (std::size_t cls = 0; cls < kClassCount; ++cls) {
    if (contains(target.classes, cls)) plain.bindings[target.proxy][cls] = target.table;
  }
}

void set_random_ejection(const RandomTarget& target, RoutingState& state, PlainRoutingState& plain) {
  const bool ejected = *rc::gen::arbitrary<bool>();
  state.set_ejected(target.replica, ejected);
  if (ejected) {
    plain.ejected.insert(target.replica);
  } else {
    plain.ejected.erase(target.replica);
  }
}

void set_random_admitted_fraction(const RandomTarget& target, RoutingState& state, PlainRoutingState& plain) {
  const double fraction = *rc::gen::inRange(0, 3) / 2.0;
  const auto retry = static_cast<RetryMode>(*rc::gen::inRange(0, 4));
  const bool all_tables = *rc::gen::arbitrary<bool>();
  state.set_admitted_fraction(all_tables ? kAllTables : target.table, target.classes, fraction, retry);
  for (std::size_t cls = 0; cls < kClassCount; ++cls) {
    if (!contains(target.classes, cls)) continue;
    auto& policies = all_tables ? plain.default_policies : plain.own_policies[target.table];
    policies[cls] = {fraction, retry};
  }
}

void apply_random_action(RoutingState& state, PlainRoutingState& plain) {
  const RandomTarget target;
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
    case 1:
      return set_random_entry(target, state, plain);
    case 2:
      return clear(target, state, plain);
    case 3:
      return bind(target, state, plain);
    case 4:
      return set_random_ejection(target, state, plain);
    case 5:
      return set_random_admitted_fraction(target, state, plain);
    case 6:
      state.add_proxy(target.proxy);
      plain.bindings[target.proxy] = {};
      return;
    default:
      state.remove_proxy(target.proxy);
      plain.bindings.erase(target.proxy);
      return;
  }
}

void expect_tables(const ProxySnapshot* snapshot, ProxyId proxy, const PlainRoutingState& plain) {
  for (std::size_t cls = 0; cls < kClassCount; ++cls) {
    const std::optional<RoutingTable> expected = plain.table_of(proxy, cls);
    const bool is_bound = snapshot != nullptr && snapshot->routing_tables[cls];
    RC_ASSERT(is_bound == expected.has_value());
    if (is_bound) RC_ASSERT(*snapshot->routing_tables[cls] == *expected);
  }
}

RC_GTEST_PROP(RoutingStateTest, AgreesWithAPlainModel, ()) {
  RoutingState state(kClassCount);
  PlainRoutingState plain;
  std::map<ProxyId, std::shared_ptr<const ProxySnapshot>> last;
  std::uint64_t version = 0;
  for (int publications = *rc::gen::inRange(1, 30); publications > 0; --publications) {
    for (int actions = *rc::gen::inRange(0, 6); actions > 0; --actions) apply_random_action(state, plain);
    const auto publication = state.publish(1s);
    std::set<ProxyId> changed;
    if (publication) {
      RC_ASSERT(static_cast<std::uint64_t>(publication->snapshot->version) == ++version);
      for (const auto& change : publication->changes) {
        RC_ASSERT(change.entries > 0U);
        changed.insert(change.proxy);
      }
    }
    for (std::uint16_t id = 0; id < kProxyCount; ++id) {
      const ProxyId proxy{id};
      const auto snapshot = publication ? publication->snapshot->snapshot_of(proxy) : last[proxy];
      // The changes must list exactly the proxies whose configuration differs from the previous one.
      const bool differs = snapshot && snapshot != last[proxy];
      if (publication) RC_ASSERT(changed.contains(proxy) == differs);
      last[proxy] = snapshot;
      expect_tables(snapshot.get(), proxy, plain);
    }
  }
}

}  // namespace
}  // namespace ospreypost::routing_state
