/// The updates of tables on a stream, beside a plain proxy that applies them as the platform's page says.
#include "platform/table_update_encoder.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "platform/table_push.h"
#include "policy/controller.h"
#include "program/platform_support.h"
#include "resp/resp.h"
#include "routing_state/routing_snapshot.h"
#include "routing_state/routing_state.h"

namespace ospreypost::platform {
namespace {

using test::Words;

// As a proxy has it: what it reads is text.
struct PlainTable {
  std::map<std::string, double> weights;
  std::string admitted_fraction = "1";
  std::string retry_mode = "1";
};

class PlainProxy {
 public:
  std::map<std::string, PlainTable> tables{{"read", {}}, {"sign", {}}};
  std::size_t entries = 0;  // that the messages held, as the platform counts them
  std::string nonce;        // of the last acknowledgement request

  void apply(const std::string& bytes) {
    resp::MessageReader reader({std::size_t{1} << 20, 4096});
    reader.append(bytes);
    bool another_follows = false;
    while (const auto words = reader.next()) {
      const auto fields = fields_of(*words);
      apply_message(fields);
      another_follows = fields.contains("continued");
    }
    RC_ASSERT(!another_follows);
  }

 private:
  using Fields = std::map<std::string, std::string>;

  static Fields fields_of(const std::vector<std::string_view>& words) {
    Fields fields;
    for (std::size_t n = 1; n + 1 < words.size(); n += 2) fields[std::string(words[n])] = words[n + 1];
    return fields;
  }
  static std::string value_of(const Fields& fields, const std::string& name) {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  std::vector<PlainTable*> tables_named(const Fields& fields) {
    const auto routes = "+" + value_of(fields, "routes") + "+";
    std::vector<PlainTable*> named;
    for (auto& [name, table] : tables) {
      const bool is_named = !fields.contains("routes") || routes.find("+" + name + "+") != std::string::npos;
      if (is_named) named.push_back(&table);
    }
    return named;
  }
  void apply_message(const Fields& fields) {
    const auto changes = test::parse_weights(value_of(fields, "endpoints"));
    const auto named = tables_named(fields);
    for (auto* table : named) {
      if (fields.contains("full")) *table = {};
      apply_changes(changes, *table);
      if (!fields.contains("admit")) continue;
      table->admitted_fraction = value_of(fields, "admit");
      table->retry_mode = value_of(fields, "policy");
    }
    entries += changes.size();
    if (fields.contains("full")) entries += 1;
    if (fields.contains("admit")) entries += named.size();
    if (fields.contains("nonce_out")) {
      entries += 1;
      nonce = value_of(fields, "nonce_out");
    }
  }
  static void apply_changes(const test::Weights& changes, PlainTable& table) {
    for (const auto& [replica, weight] : changes) {
      table.weights[replica] = std::stod(weight);
      if (std::stod(weight) <= 0) table.weights.erase(replica);
    }
  }
};

// Random actions on a routing state, whose snapshots go through the encoder to plain proxies.
class EncoderRun {
 public:
  void act() {
    const auto proxy_index = *rc::gen::inRange<std::size_t>(0, kProxies);
    const ProxyId proxy{static_cast<std::uint16_t>(proxy_index)};
    const ReplicaId replica{*rc::gen::inRange<std::uint32_t>(0, kReplicas)};
    const TableId table{*rc::gen::inRange<std::uint16_t>(0, 2)};
    const auto classes = *rc::gen::inRange<ClassMask>(0, 4);
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        return join(proxy);
      case 1:
        return leave(proxy);
      case 2:
        return state_.bind(proxy, table, classes);
      case 3:
        return state_.set_ejected(replica, *rc::gen::arbitrary<bool>());
      case 4:
        return set_admitted_fraction(table, classes);
      default:
        return state_.set_table_entry(table, replica, *rc::gen::element(0.0, 0.5, 1.0, 2.25));
    }
  }
  void publish() {
    const auto published = state_.publish(Nanos{});
    if (!published) return;
    snapshots_.clear();
    for (const auto& [proxy, snapshot] : published->snapshot->proxy_snapshots) snapshots_[proxy] = snapshot;
    for (const auto& change : published->changes)
      encoder_.on_published(change.proxy, snapshots_[change.proxy]);
  }
  // A proxy that reads slowly gets one message later, with all that is published by then.
  void deliver_to_some() {
    const auto due = encoder_.due_proxies();
    for (const auto proxy : due) {
      if (*rc::gen::inRange(0, 4) == 0) continue;
      auto& plain = joined_.at(proxy);
      const auto entries_before = plain.entries;
      const auto message = encoder_.next_message(proxy, name_of);
      plain.apply(message.bytes);
      RC_ASSERT(plain.entries - entries_before == message.entries);
    }
  }
  void check() {
    for (const auto& [proxy, plain] : joined_) {
      if (encoder_.due_proxies().contains(proxy) || !snapshots_.contains(proxy)) continue;
      check_table(plain.tables.at("read"), snapshots_[proxy]->routing_tables[0], 0);
      check_table(plain.tables.at("sign"), snapshots_[proxy]->routing_tables[1], 1);
    }
  }

 private:
  static constexpr std::size_t kProxies = 3;
  static constexpr std::size_t kReplicas = 5;

  static std::string_view name_of(ReplicaId replica) {
    static const Words names{"s-0", "s-1", "s-2", "s-3", "s-4"};
    return names.at(static_cast<std::size_t>(replica));
  }
  // It may bring along anything.
  void join(ProxyId proxy) {
    state_.add_proxy(proxy);
    encoder_.on_proxy_joined(proxy);
    auto& plain = joined_[proxy];
    plain = {};
    plain.tables["read"].weights = {{"s-4", 3.0}};
    plain.tables["sign"].admitted_fraction = "0.5";
    plain.tables["sign"].retry_mode = "3";
  }
  void leave(ProxyId proxy) {
    state_.remove_proxy(proxy);
    encoder_.on_proxy_left(proxy);
    joined_.erase(proxy);
  }
  void set_admitted_fraction(TableId table, ClassMask classes) {
    const auto chosen = *rc::gen::arbitrary<bool>() ? kAllTables : table;
    const auto fraction = *rc::gen::element(0.0, 0.25, 1.0);
    const auto retry = *rc::gen::element(RetryMode::none, RetryMode::after_rejection_proof, RetryMode::twice);
    state_.set_admitted_fraction(chosen, classes, fraction, retry);
  }
  static void check_table(const PlainTable& plain,
                          const std::shared_ptr<const routing_state::RoutingTable>& published,
                          std::size_t cls) {
    if (!published) return;
    std::map<std::string, double> weights;
    for (const auto& entry : published->entries) weights[std::string(name_of(entry.replica))] = entry.weight;
    RC_ASSERT(plain.weights == weights);
    RC_ASSERT(std::stod(plain.admitted_fraction) == published->traffic_policies[cls].admitted_fraction);
    RC_ASSERT(plain.retry_mode == std::to_string(static_cast<int>(published->traffic_policies[cls].retry)));
  }

  routing_state::RoutingState state_{2};
  TableUpdateEncoder encoder_{{"read", "sign"}, RetryMode::after_rejection_proof};
  std::map<ProxyId, PlainProxy> joined_;
  std::map<ProxyId, std::shared_ptr<const routing_state::ProxySnapshot>> snapshots_;
};

RC_GTEST_PROP(TableUpdateEncoderProperty, BringsAProxyToWhatIsPublishedWhateverCameBefore, ()) {
  EncoderRun run;
  for (int step = *rc::gen::inRange(1, 60); step > 0; --step) {
    run.act();
    if (*rc::gen::inRange(0, 3) > 0) continue;  // several calls, one message
    run.publish();
    run.deliver_to_some();
    run.check();
  }
}

constexpr ProxyId kProxy{1};

std::string_view same_name(ReplicaId) { return "s"; }

struct TableUpdateEncoderTest : testing::Test {
  TableUpdateEncoder encoder{{"read", "sign"}, RetryMode::after_rejection_proof};
  PlainProxy plain;
};

TEST_F(TableUpdateEncoderTest, SettlesBothRequestsOfOneMessage) {
  encoder.on_proxy_joined(kProxy);
  encoder.request_acknowledgement(kProxy, AckRequestId{4}, true);
  encoder.request_acknowledgement(kProxy, AckRequestId{9}, true);
  plain.apply(encoder.next_message(kProxy, same_name).bytes);
  EXPECT_TRUE(encoder.on_acknowledgement(kProxy, 77).empty()) << "an answer to what was never requested";
  EXPECT_EQ(encoder.on_acknowledgement(kProxy, std::stoul(plain.nonce)),
            (std::vector<AckRequestId>{AckRequestId{4}, AckRequestId{9}}));
  EXPECT_TRUE(encoder.on_acknowledgement(kProxy, std::stoul(plain.nonce)).empty());
}

TEST_F(TableUpdateEncoderTest, WritesNoMessageForARequestThatGoesWithUpdates) {
  encoder.on_proxy_joined(kProxy);
  encoder.request_acknowledgement(kProxy, AckRequestId{4}, false);
  EXPECT_TRUE(encoder.next_message(kProxy, same_name).bytes.empty())
      << "each message counts against its limit";
  encoder.drop_replicas({ReplicaId{2}});
  encoder.request_acknowledgement(kProxy, AckRequestId{5}, false);
  plain.apply(encoder.next_message(kProxy, same_name).bytes);
  EXPECT_EQ(encoder.on_acknowledgement(kProxy, std::stoul(plain.nonce)),
            std::vector<AckRequestId>{AckRequestId{5}});
}

TEST_F(TableUpdateEncoderTest, FindsReplicasThatAreInNoTable) {
  routing_state::RoutingState state(2);
  const std::vector<ReplicaId> both{ReplicaId{1}, ReplicaId{2}};
  EXPECT_EQ(encoder.unused_replicas(both), both);
  const auto publish_entry = [&](ReplicaId replica, double weight) {
    state.set_table_entry(TableId{0}, replica, weight);
    encoder.on_published(kProxy, state.publish(Nanos{})->snapshot->snapshot_of(kProxy));
  };
  state.add_proxy(kProxy);
  encoder.on_proxy_joined(kProxy);
  state.bind(kProxy, TableId{0}, 0);
  publish_entry(ReplicaId{1}, 1);
  EXPECT_EQ(encoder.unused_replicas(both), std::vector<ReplicaId>{ReplicaId{2}}) << "the other is published";
  encoder.next_message(kProxy, same_name);
  publish_entry(ReplicaId{2}, 1);
  publish_entry(ReplicaId{1}, 0);
  EXPECT_TRUE(encoder.unused_replicas(both).empty()) << "one is written, the other is published";
  encoder.next_message(kProxy, same_name);
  EXPECT_EQ(encoder.unused_replicas(both), std::vector<ReplicaId>{ReplicaId{1}});
}

TEST_F(TableUpdateEncoderTest, DropsReplicasFromTablesThatAProxyBroughtAlong) {
  encoder.on_proxy_joined(kProxy);
  encoder.drop_replicas({ReplicaId{2}});
  plain.tables["read"].weights = {{"s-2", 1.0}, {"s-3", 1.0}};
  const auto second_name = [](ReplicaId) { return std::string_view("s-2"); };
  plain.apply(encoder.next_message(kProxy, second_name).bytes);
  EXPECT_EQ(plain.tables["read"].weights, (std::map<std::string, double>{{"s-3", 1.0}}));
}

TEST_F(TableUpdateEncoderTest, NeverWritesANameThatWasReleased) {
  // A proxy would end the stream for it.
  encoder.on_proxy_joined(kProxy);
  encoder.drop_replicas({ReplicaId{4}});
  EXPECT_EQ(encoder.next_message(kProxy, [](ReplicaId) { return std::string_view(); }).entries, 0U);
}

}  // namespace
}  // namespace ospreypost::platform
