// The order book and the handouts beside plain models, on generated orders.
#include "routing_state/routing_state.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <set>

#include "routing_state/pull_delivery.h"

namespace ospreypost::routing_state {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kClasses = 2;

// Every order as it came; works out what a proxy may use from scratch each time it is asked.
struct PlainBook {
  std::map<TableId, std::map<ReplicaId, double>> tables;
  std::map<TableId, std::map<std::size_t, TrafficPolicy>> own_terms;
  std::map<std::size_t, TrafficPolicy> terms;
  std::map<ProxyId, std::map<std::size_t, TableId>> bound;
  std::set<ReplicaId> out;

  std::optional<RoutingTable> view(ProxyId proxy, std::size_t cls) const {
    const auto tables_of = bound.find(proxy);
    if (tables_of == bound.end() || !tables_of->second.contains(cls)) return std::nullopt;
    const auto table = tables_of->second.at(cls);
    RoutingTable view{{}, std::vector<TrafficPolicy>(kClasses)};
    if (tables.contains(table)) {
      for (const auto& [replica, weight] : tables.at(table)) {
        if (!out.contains(replica)) view.entries.push_back({replica, weight});
      }
    }
    for (std::size_t k = 0; k < kClasses; ++k) {
      if (terms.contains(k)) view.traffic_policies[k] = terms.at(k);
      if (!own_terms.contains(table) || !own_terms.at(table).contains(k)) continue;
      const auto& own = own_terms.at(table).at(k);
      view.traffic_policies[k] = {std::min(own.admitted_fraction, view.traffic_policies[k].admitted_fraction),
                                  own.retry};
    }
    return view;
  }
};

ClassMask random_mask() { return static_cast<ClassMask>(*rc::gen::inRange(0, 4)); }

void order_at_random(RoutingState& book, PlainBook& plain) {
  const ReplicaId replica{static_cast<std::uint32_t>(*rc::gen::inRange(0, 5))};
  const TableId table{static_cast<std::uint16_t>(*rc::gen::inRange(0, 3))};
  const ProxyId proxy{static_cast<std::uint16_t>(*rc::gen::inRange(0, 4))};
  const auto mask = random_mask();
  const auto named = [&](std::size_t k) { return mask == 0 || (mask >> k & 1u); };
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
    case 1: {
      const double weight = *rc::gen::inRange(0, 3);
      book.set_table_entry(table, replica, weight);
      if (weight > 0) plain.tables[table][replica] = weight;
      if (weight == 0) plain.tables[table].erase(replica);
      return;
    }
    case 2:
      book.clear_table(table);
      plain.tables.erase(table);
      plain.own_terms.erase(table);
      return;
    case 3:
      book.bind(proxy, table, mask);
      for (std::size_t k = 0; k < kClasses && plain.bound.contains(proxy); ++k) {
        if (named(k)) plain.bound[proxy][k] = table;
      }
      return;
    case 4: {
      const bool out = *rc::gen::arbitrary<bool>();
      book.set_ejected(replica, out);
      out ? void(plain.out.insert(replica)) : void(plain.out.erase(replica));
      return;
    }
    case 5: {
      const double level = *rc::gen::inRange(0, 3) / 2.0;
      const auto retry = static_cast<RetryMode>(*rc::gen::inRange(0, 4));
      const bool all = *rc::gen::arbitrary<bool>();
      book.set_admitted_fraction(all ? kAllTables : table, mask, level, retry);
      for (std::size_t k = 0; k < kClasses; ++k) {
        if (named(k)) (all ? plain.terms : plain.own_terms[table])[k] = {level, retry};
      }
      return;
    }
    case 6:
      book.add_proxy(proxy);
      plain.bound[proxy] = {};
      return;
    default:
      book.remove_proxy(proxy);
      plain.bound.erase(proxy);
      return;
  }
}

RC_GTEST_PROP(RoutingState, AgreesWithThePlainModel, ()) {
  RoutingState book(kClasses);
  PlainBook plain;
  std::map<ProxyId, std::shared_ptr<const ProxySnapshot>> last;
  std::uint64_t number = 0;
  for (int calls = *rc::gen::inRange(1, 30); calls > 0; --calls) {
    for (int orders = *rc::gen::inRange(0, 6); orders > 0; --orders) order_at_random(book, plain);
    const auto published = book.publish(1s);
    std::set<ProxyId> pending;
    if (published) {
      RC_ASSERT(static_cast<std::uint64_t>(published->snapshot->version) == ++number);
      for (const auto& of : published->changes) {
        RC_ASSERT(of.entries > 0U);
        pending.insert(of.proxy);
      }
    }
    for (std::uint16_t p = 0; p < 4; ++p) {
      const ProxyId proxy{p};
      const auto proxy_snapshot = published ? published->snapshot->snapshot_of(proxy) : last[proxy];
      // Who is told that something waits is who holds something else than before.
      if (published) RC_ASSERT(pending.contains(proxy) == (proxy_snapshot && proxy_snapshot != last[proxy]));
      last[proxy] = proxy_snapshot;
      for (std::size_t k = 0; k < kClasses; ++k) {
        const auto wanted = plain.view(proxy, k);
        const bool held = proxy_snapshot && proxy_snapshot->routing_tables[k];
        RC_ASSERT(held == wanted.has_value());
        if (held) RC_ASSERT(*proxy_snapshot->routing_tables[k] == *wanted);
      }
    }
  }
}

std::shared_ptr<const ProxySnapshot> random_holding(std::uint64_t since) {
  auto view = std::make_shared<RoutingTable>();
  view->traffic_policies.resize(1);
  for (std::uint32_t id = 0; id < 4; ++id) {
    const double weight = *rc::gen::inRange(0, 4);
    if (weight > 0) view->entries.push_back({ReplicaId{id}, weight});
  }
  auto proxy_snapshot = std::make_shared<ProxySnapshot>();
  proxy_snapshot->changed_in = SnapshotVersion{since};
  proxy_snapshot->routing_tables = {view};
  return proxy_snapshot;
}

double weight_in(const ProxySnapshot& proxy_snapshot, ReplicaId id) {
  for (const auto& line : proxy_snapshot.routing_tables[0]->entries) {
    if (line.replica == id) return line.weight;
  }
  return 0;
}

// Whatever is ordered and whenever it is asked for: no window holds too many messages, nobody is sent where
// the standing table does not let it, and what waits stays below the whole of what there is.
RC_GTEST_PROP(PullDelivery, KeepTheMessagesAndNeverNameWhatIsOut, ()) {
  const auto allowed = static_cast<std::size_t>(*rc::gen::inRange(4, 14));
  PullDelivery handouts({2, allowed, 10s});
  const ProxyId proxy{3};
  Nanos now{100s};
  handouts.add_proxy(now, proxy);
  std::shared_ptr<const ProxySnapshot> standing, given;
  std::deque<Nanos> messages;
  for (int steps = *rc::gen::inRange(1, 200); steps > 0; --steps) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 400));
    if (*rc::gen::inRange(0, 3) == 0) {
      standing = random_holding(static_cast<std::uint64_t>(steps));
      handouts.on_published(now, proxy, standing, 1 + static_cast<std::size_t>(*rc::gen::inRange(0, 9)));
      RC_ASSERT(handouts.counts().queued_entries <= 2 + 6.0);
      continue;
    }
    const auto answer = handouts.take_answer(now, proxy);
    if (!answer) continue;
    if (answer != given) {
      messages.push_back(now);
      given = answer;
    }
    while (!messages.empty() && messages.front() <= now - 10s) messages.pop_front();
    RC_ASSERT(messages.size() <= allowed);
    for (std::uint32_t id = 0; id < 4; ++id)
      RC_ASSERT(weight_in(*answer, ReplicaId{id}) <= 2 * weight_in(*standing, ReplicaId{id}));
  }
}

std::shared_ptr<const ProxySnapshot> snapshot_of(std::uint64_t since, std::vector<TableEntry> lines) {
  auto view = std::make_shared<RoutingTable>();
  view->entries = std::move(lines);
  auto proxy_snapshot = std::make_shared<ProxySnapshot>();
  proxy_snapshot->changed_in = SnapshotVersion{since};
  proxy_snapshot->routing_tables = {view};
  return proxy_snapshot;
}

TEST(PullDelivery, AWithdrawalIsToldAtOnceWhileAPlainChangeWaits) {
  PullDelivery handouts({1, 12, 10s});
  const ProxyId proxy{0};
  const TableEntry a{ReplicaId{1}, 1}, b{ReplicaId{2}, 1}, c{ReplicaId{3}, 1};
  handouts.add_proxy(0s, proxy);
  handouts.on_published(0s, proxy, snapshot_of(1, {a, b}), 2);
  ASSERT_TRUE(handouts.take_answer(0s, proxy));
  handouts.on_published(10ms, proxy, snapshot_of(2, {a, b, c}), 1);
  EXPECT_EQ(handouts.take_answer(20ms, proxy)->changed_in, SnapshotVersion{1});
  handouts.on_published(30ms, proxy, snapshot_of(3, {a, c}), 1);
  EXPECT_EQ(handouts.take_answer(40ms, proxy)->changed_in, SnapshotVersion{3});
  EXPECT_EQ(handouts.counts().rate_limited_queries, 1U);
}

TEST(PullDelivery, MarksAreReachedWithWhatCarriesThemOrMore) {
  PullDelivery handouts({1, 12, 10s});
  const ProxyId proxy{0};
  const TableEntry a{ReplicaId{1}, 1};
  handouts.add_proxy(0s, proxy);
  handouts.on_published(0s, proxy, snapshot_of(1, {a}), 1);
  handouts.request_acknowledgement(0s, AckRequestId{7}, SnapshotVersion{1}, {proxy});
  EXPECT_TRUE(handouts.take_acknowledged(1s, proxy).empty());
  ASSERT_TRUE(handouts.take_answer(1s, proxy));
  const auto reached = handouts.take_acknowledged(2s, proxy);
  ASSERT_EQ(reached.size(), 1U);
  EXPECT_EQ(reached[0].latency, 2s);
  EXPECT_TRUE(handouts.take_acknowledged(3s, proxy).empty());
  handouts.remove_proxy(proxy);
  handouts.add_proxy(4s, proxy);
  EXPECT_FALSE(handouts.take_answer(4s, proxy));
  EXPECT_EQ(handouts.counts().queued_entries, 0);
}

}  // namespace
}  // namespace ospreypost::routing_state
