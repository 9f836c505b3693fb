/// Tests of the table updates on a stream. A reference proxy applies the updates as the platform specifies.
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

// The routing table of one request class in the reference proxy. The policy fields are kept as received text.
struct ReferenceTable {
  std::map<std::string, double> weights;
  std::string admitted_fraction = "1";
  std::string retry_mode = "1";
};

class ReferenceProxy {
 public:
  std::map<std::string, ReferenceTable> tables{{"read", {}}, {"sign", {}}};
  std::size_t entries = 0;  // cost of all received messages, as the platform counts entries
  std::string nonce;        // nonce of the last acknowledgement request

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
  std::vector<ReferenceTable*> tables_named(const Fields& fields) {
    const auto routes = "+" + value_of(fields, "routes") + "+";
    std::vector<ReferenceTable*> selected;
    for (auto& [name, table] : tables) {
      const bool is_selected =
          !fields.contains("routes") || routes.find("+" + name + "+") != std::string::npos;
      if (is_selected) selected.push_back(&table);
    }
    return selected;
  }
  void apply_message(const Fields& fields) {
    const auto changes = test::parse_weights(value_of(fields, "endpoints"));
    const auto selected = tables_named(fields);
    for (auto* table : selected) {
      if (fields.contains("full")) *table = {};
      apply_changes(changes, *table);
      if (!fields.contains("admit")) continue;
      table->admitted_fraction = value_of(fields, "admit");
      table->retry_mode = value_of(fields, "policy");
    }
    entries += changes.size();
    if (fields.contains("full")) entries += 1;
    if (fields.contains("admit")) entries += selected.size();
    if (fields.contains("nonce_out")) {
      entries += 1;
      nonce = value_of(fields, "nonce_out");
    }
  }
  static void apply_changes(const test::Weights& changes, ReferenceTable& table) {
    for (const auto& [replica, weight] : changes) {
      table.weights[replica] = std::stod(weight);
      if (std::stod(weight) <= 0) table.weights.erase(replica);
    }
  }
};

// Executes random actions on a routing state, and delivers the published snapshots through the encoder to
// reference proxies.
class EncoderRun {
 public:
  void apply_random_action() {
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
  // Skips a quarter of the due proxies at random. A skipped proxy later receives one message with everything
  // published until then.
  void deliver_to_some() {
    const auto due = encoder_.due_proxies();
    for (const auto proxy : due) {
      if (*rc::gen::inRange(0, 4) == 0) continue;
      auto& reference = joined_.at(proxy);
      const auto entries_before = reference.entries;
      const auto message = encoder_.next_message(proxy, name_of);
      reference.apply(message.bytes);
      RC_ASSERT(reference.entries - entries_before == message.entries);
    }
  }
  void check() {
    for (const auto& [proxy, reference] : joined_) {
      if (encoder_.due_proxies().contains(proxy) || !snapshots_.contains(proxy)) continue;
      check_table(reference.tables.at("read"), snapshots_[proxy]->routing_tables[0], 0);
      check_table(reference.tables.at("sign"), snapshots_[proxy]->routing_tables[1], 1);
    }
  }

 private:
  static constexpr std::size_t kProxies = 3;
  static constexpr std::size_t kReplicas = 5;

  static std::string_view name_of(ReplicaId replica) {
    static const Words names{"s-0", "s-1", "s-2", "s-3", "s-4"};
    return names.at(static_cast<std::size_t>(replica));
  }
  // The proxy joins with tables and policies from before the stream.
  void join(ProxyId proxy) {
    state_.add_proxy(proxy);
    encoder_.on_proxy_joined(proxy);
    auto& reference = joined_[proxy];
    reference = {};
    reference.tables["read"].weights = {{"s-4", 3.0}};
    reference.tables["sign"].admitted_fraction = "0.5";
    reference.tables["sign"].retry_mode = "3";
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
  static void check_table(const ReferenceTable& reference,
                          const std::shared_ptr<const routing_state::RoutingTable>& published,
                          std::size_t cls) {
    if (!published) return;
    std::map<std::string, double> weights;
    for (const auto& entry : published->entries) weights[std::string(name_of(entry.replica))] = entry.weight;
    RC_ASSERT(reference.weights == weights);
    RC_ASSERT(std::stod(reference.admitted_fraction) == published->traffic_policies[cls].admitted_fraction);
    RC_ASSERT(reference.retry_mode ==
              std::to_string(static_cast<int>(published->traffic_policies[cls].retry)));
  }

  routing_state::RoutingState state_{2};
  TableUpdateEncoder encoder_{{"read", "sign"}, RetryMode::after_rejection_proof};
  std::map<ProxyId, ReferenceProxy> joined_;
  std::map<ProxyId, std::shared_ptr<const routing_state::ProxySnapshot>> snapshots_;
};

RC_GTEST_PROP(TableUpdateEncoderProperty, BringsAProxyToThePublishedSnapshotFromAnyState, ()) {
  EncoderRun run;
  for (int step = *rc::gen::inRange(1, 60); step > 0; --step) {
    run.apply_random_action();
    if (*rc::gen::inRange(0, 3) > 0) continue;  // several actions are published together
    run.publish();
    run.deliver_to_some();
    run.check();
  }
}

constexpr ProxyId kProxy{1};

std::string_view same_name(ReplicaId) { return "s"; }

struct TableUpdateEncoderTest : testing::Test {
  TableUpdateEncoder encoder{{"read", "sign"}, RetryMode::after_rejection_proof};
  ReferenceProxy reference;
};

TEST_F(TableUpdateEncoderTest, CompletesBothRequestsOfOneMessage) {
  encoder.on_proxy_joined(kProxy);
  encoder.request_acknowledgement(kProxy, AckRequestId{4}, true);
  encoder.request_acknowledgement(kProxy, AckRequestId{9}, true);
  reference.apply(encoder.next_message(kProxy, same_name).bytes);
  EXPECT_TRUE(encoder.on_acknowledgement(kProxy, 77).empty()) << "this nonce was never requested";
  EXPECT_EQ(encoder.on_acknowledgement(kProxy, std::stoul(reference.nonce)),
            (std::vector<AckRequestId>{AckRequestId{4}, AckRequestId{9}}));
  EXPECT_TRUE(encoder.on_acknowledgement(kProxy, std::stoul(reference.nonce)).empty());
}

TEST_F(TableUpdateEncoderTest, SendsNoMessageForARequestWithoutAnUpdate) {
  encoder.on_proxy_joined(kProxy);
  encoder.request_acknowledgement(kProxy, AckRequestId{4}, false);
  EXPECT_TRUE(encoder.next_message(kProxy, same_name).bytes.empty())
      << "an additional message would count against the limit of messages";
  encoder.drop_replicas({ReplicaId{2}});
  encoder.request_acknowledgement(kProxy, AckRequestId{5}, false);
  reference.apply(encoder.next_message(kProxy, same_name).bytes);
  EXPECT_EQ(encoder.on_acknowledgement(kProxy, std::stoul(reference.nonce)),
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
  EXPECT_EQ(encoder.unused_replicas(both), std::vector<ReplicaId>{ReplicaId{2}}) << "replica 1 is published";
  encoder.next_message(kProxy, same_name);
  publish_entry(ReplicaId{2}, 1);
  publish_entry(ReplicaId{1}, 0);
  EXPECT_TRUE(encoder.unused_replicas(both).empty()) << "replica 1 was sent, replica 2 is published";
  encoder.next_message(kProxy, same_name);
  EXPECT_EQ(encoder.unused_replicas(both), std::vector<ReplicaId>{ReplicaId{1}});
}

TEST_F(TableUpdateEncoderTest, DropsReplicasFromTablesThatAProxyHadBeforeTheStream) {
  encoder.on_proxy_joined(kProxy);
  encoder.drop_replicas({ReplicaId{2}});
  reference.tables["read"].weights = {{"s-2", 1.0}, {"s-3", 1.0}};
  const auto second_name = [](ReplicaId) { return std::string_view("s-2"); };
  reference.apply(encoder.next_message(kProxy, second_name).bytes);
  EXPECT_EQ(reference.tables["read"].weights, (std::map<std::string, double>{{"s-3", 1.0}}));
}

TEST_F(TableUpdateEncoderTest, NeverSendsTheNameOfAReleasedReplica) {
  // A proxy closes a stream on which it receives a name that discovery never listed, such as an empty one.
  encoder.on_proxy_joined(kProxy);
  encoder.drop_replicas({ReplicaId{4}});
  EXPECT_EQ(encoder.next_message(kProxy, [](ReplicaId) { return std::string_view(); }).entries, 0U);
}

}  // namespace
}  // namespace ospreypost::platform
