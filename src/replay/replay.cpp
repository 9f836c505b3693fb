#include "replay/replay.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>

#include "record.pb.h"
#include "record/action_encoder.h"
#include "record/reader.h"

namespace ospreypost::replay {
namespace {

using kept::Entry;

// The call is made again, as it was made then. False if it is none of a governor's.
bool make(Controller& governor, const Entry& entry) {
  const Nanos now(entry.at());
  const auto load = [](const auto& values) { return std::vector<float>(values.begin(), values.end()); };
  switch (entry.call_case()) {
    case Entry::kListReceived: {
      std::vector<EndpointUpdate> entries;
      for (const auto& from : entry.list_received().entries()) {
        EndpointUpdate to;
        to.replica = ReplicaId{from.replica()};
        to.zone = ZoneId{static_cast<std::uint16_t>(from.zone())};
        to.kind = HardwareKindId{static_cast<std::uint16_t>(from.kind())};
        to.cell = CellId{static_cast<std::uint16_t>(from.cell())};
        to.phase = static_cast<EndpointPhase>(from.phase());
        to.weight = from.weight();
        if (from.has_started()) to.started = Nanos(from.started());
        entries.push_back(to);
      }
      governor.on_endpoint_list(now, static_cast<EndpointListKind>(entry.list_received().kind()), entries);
      return true;
    }
    case Entry::kListFailed:
      governor.on_endpoint_list_failed(now);
      return true;
    case Entry::kProxyJoined: {
      const auto& joined = entry.proxy_joined();
      governor.on_proxy_joined(now, ProxyId{static_cast<std::uint16_t>(joined.proxy())},
                               ZoneId{static_cast<std::uint16_t>(joined.zone())}, joined.usual_rate(),
                               joined.fresh());
      return true;
    }
    case Entry::kProxyLeft:
      governor.on_proxy_left(now, ProxyId{static_cast<std::uint16_t>(entry.proxy_left())});
      return true;
    case Entry::kReplicaSummed: {
      const auto& from = entry.replica_summed();
      governor.on_replica_load_report(
          now, {ZoneId{static_cast<std::uint16_t>(from.zone())}, ReplicaId{from.replica()}, from.tries(),
                from.failed(), Nanos(from.mean_time()), Nanos(from.span()), load(from.load())});
      return true;
    }
    case Entry::kDemandSummed: {
      const auto& from = entry.demand_summed();
      governor.on_demand_report(now, ProxyId{static_cast<std::uint16_t>(from.proxy())},
                                {ClassId{static_cast<std::uint16_t>(from.cls())}, from.operations(),
                                 from.unanswered(), Nanos(from.span())});
      return true;
    }
    case Entry::kOrdersApplied: {
      const auto& from = entry.orders_applied();
      governor.on_acknowledged(now, ProxyId{static_cast<std::uint16_t>(from.proxy())},
                               AckRequestId{from.mark()}, Nanos(from.took()));
      return true;
    }
    case Entry::kProbeAnswered: {
      const auto& from = entry.probe_answered();
      governor.on_health_check_result(now, {ReplicaId{from.replica()}, from.answered(), from.refused(),
                                            Nanos(from.took()), load(from.load())});
      return true;
    }
    case Entry::kTimerDue:
      governor.on_timer(now, TimerId{entry.timer_due()});
      return true;
    case Entry::kPeerSaid:
      governor.on_peer_message(now, PeerId{static_cast<std::uint16_t>(entry.peer_said().peer())},
                               entry.peer_said().message());
      return true;
    case Entry::kBegin:
    case Entry::kNamed:
    case Entry::CALL_NOT_SET:
      return false;
  }
  return false;
}

class Replaying : private record::RecordVisitor, private ActionSink {
 public:
  explicit Replaying(const Options& options) : options_(options) {}

  ReplayResult play(const std::vector<std::string>& files) {
    const auto corruption = record::visit_record(files, *this);
    outcome_.lost_entries = corruption.lost_entries;
    outcome_.corrupt_stretches = corruption.corrupt_stretches;
    outcome_.digest = digest_;
    return outcome_;
  }

 private:
  // The module would go on from a state that nobody knows.
  void on_gap(std::uint64_t) override { governor_.reset(); }

  void on_entry(const Entry& entry) override {
    if (outcome_.events == 0) outcome_.from = Nanos(entry.at());
    outcome_.to = Nanos(entry.at());
    ++outcome_.events;
    replayed_.clear_orders();
    if (entry.call_case() == Entry::kBegin) {
      const auto [settings, seed] = options_.settings_of(entry.begin().configuration());
      governor_ =
          std::make_unique<Controller>(settings, seed, Nanos(entry.at()), static_cast<ActionSink&>(*this));
      ++outcome_.incarnations;
    } else if (!governor_) {
      ++outcome_.skipped_events;
      return;
    } else if (!make(*governor_, entry)) {
      return;
    }
    compare(entry);
  }

  void on_action(const Action& action) override { record::encode_action(action, replayed_); }

  void compare(const Entry& entry) {
    for (int n = 0; n < std::max(entry.orders_size(), replayed_.orders_size()); ++n) {
      std::string then, now;
      if (n < entry.orders_size()) entry.orders(n).SerializeToString(&then);
      if (n < replayed_.orders_size()) {
        replayed_.orders(n).SerializeToString(&now);
        digest_ = XXH3_64bits_withSeed(now.data(), now.size(), digest_);
        ++outcome_.actions;
      }
      if (then == now) continue;
      ++outcome_.differing_actions;
      if (outcome_.first_difference && !options_.on_difference) continue;
      auto call = entry;
      call.clear_orders();
      const Difference difference{Nanos(entry.at()), outcome_.events, call.ShortDebugString(),
                                  n < entry.orders_size() ? entry.orders(n).ShortDebugString() : "",
                                  n < replayed_.orders_size() ? replayed_.orders(n).ShortDebugString() : ""};
      if (!outcome_.first_difference) outcome_.first_difference = difference;
      if (options_.on_difference) options_.on_difference(difference);
    }
  }

  const Options& options_;
  ReplayResult outcome_;
  Entry replayed_;  // the orders that are made now
  std::unique_ptr<Controller> governor_;
  std::uint64_t digest_ = 0;
};

}  // namespace

ReplayResult replay(const std::vector<std::string>& files, const Options& options) {
  return Replaying(options).play(files);
}

}  // namespace ospreypost::replay
