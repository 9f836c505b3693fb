#include "replay/replay.h"

#include <xxhash.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>

#include "net/socket.h"
#include "record.pb.h"
#include "record/blocks.h"

namespace ospreypost::replay {
namespace {

namespace fs = std::filesystem;
using kept::Entry;
using kept::Order;

// Notes each order as the record has it.
class Noting : public Host {
 public:
  std::vector<Order> orders;

  void set_line(TableId table, ReplicaId replica, double weight) override {
    auto& to = *add().mutable_set_line();
    to.set_table(static_cast<std::uint32_t>(table));
    to.set_replica(static_cast<std::uint32_t>(replica));
    to.set_weight(weight);
  }
  void clear_table(TableId table) override { add().set_clear_table(static_cast<std::uint32_t>(table)); }
  void bind(ProxyId proxy, TableId table, ClassMask classes) override {
    auto& to = *add().mutable_bind();
    to.set_proxy(static_cast<std::uint32_t>(proxy));
    to.set_table(static_cast<std::uint32_t>(table));
    to.set_classes(classes);
  }
  void withdraw(ReplicaId replica, bool out) override {
    auto& to = *add().mutable_withdraw();
    to.set_replica(static_cast<std::uint32_t>(replica));
    to.set_out(out);
  }
  void set_level(TableId table, ClassMask classes, double level, Retry retry) override {
    auto& to = *add().mutable_set_level();
    to.set_table(static_cast<std::uint32_t>(table));
    to.set_classes(classes);
    to.set_level(level);
    to.set_retry(static_cast<std::uint32_t>(retry));
  }
  void mark(MarkId mark, bool reach_all) override {
    auto& to = *add().mutable_mark();
    to.set_mark(static_cast<std::uint64_t>(mark));
    to.set_reach_all(reach_all);
  }
  void arm(Nanos from_now, TimerId timer) override {
    auto& to = *add().mutable_arm();
    to.set_from_now(from_now.count());
    to.set_timer(static_cast<std::uint64_t>(timer));
  }
  void watch_list(bool on) override { add().set_watch_list(on); }
  void look_up_list() override { add().set_look_up_list(true); }
  void probe(ReplicaId replica) override { add().set_probe(static_cast<std::uint32_t>(replica)); }
  void tell(std::optional<PeerId> peer, std::string_view message) override {
    auto& to = *add().mutable_tell();
    if (peer) to.set_peer(static_cast<std::uint32_t>(*peer));
    to.set_message(std::string(message));
  }
  void log(std::string_view line) override { add().set_log(std::string(line)); }

 private:
  Order& add() { return orders.emplace_back(); }
};

// The call is made again, as it was made then. False if it is none of a governor's.
bool make(Governor& governor, const Entry& entry) {
  const Nanos now(entry.at());
  const auto load = [](const auto& values) { return std::vector<float>(values.begin(), values.end()); };
  switch (entry.call_case()) {
    case Entry::kListReceived: {
      std::vector<ListEntry> entries;
      for (const auto& from : entry.list_received().entries()) {
        ListEntry to;
        to.replica = ReplicaId{from.replica()};
        to.zone = ZoneId{static_cast<std::uint16_t>(from.zone())};
        to.kind = KindId{static_cast<std::uint16_t>(from.kind())};
        to.cell = CellId{static_cast<std::uint16_t>(from.cell())};
        to.phase = static_cast<Phase>(from.phase());
        to.weight = from.weight();
        if (from.has_started()) to.started = Nanos(from.started());
        entries.push_back(to);
      }
      governor.list_received(now, static_cast<ListKind>(entry.list_received().kind()), entries);
      return true;
    }
    case Entry::kListFailed:
      governor.list_failed(now);
      return true;
    case Entry::kProxyJoined: {
      const auto& joined = entry.proxy_joined();
      governor.proxy_joined(now, ProxyId{static_cast<std::uint16_t>(joined.proxy())},
                            ZoneId{static_cast<std::uint16_t>(joined.zone())}, joined.usual_rate(),
                            joined.fresh());
      return true;
    }
    case Entry::kProxyLeft:
      governor.proxy_left(now, ProxyId{static_cast<std::uint16_t>(entry.proxy_left())});
      return true;
    case Entry::kReplicaSummed: {
      const auto& from = entry.replica_summed();
      governor.replica_summed(
          now, {ZoneId{static_cast<std::uint16_t>(from.zone())}, ReplicaId{from.replica()}, from.tries(),
                from.failed(), Nanos(from.mean_time()), Nanos(from.span()), load(from.load())});
      return true;
    }
    case Entry::kDemandSummed: {
      const auto& from = entry.demand_summed();
      governor.demand_summed(now, ProxyId{static_cast<std::uint16_t>(from.proxy())},
                             {ClassId{static_cast<std::uint16_t>(from.cls())}, from.operations(),
                              from.unanswered(), Nanos(from.span())});
      return true;
    }
    case Entry::kOrdersApplied: {
      const auto& from = entry.orders_applied();
      governor.orders_applied(now, ProxyId{static_cast<std::uint16_t>(from.proxy())}, MarkId{from.mark()},
                              Nanos(from.took()));
      return true;
    }
    case Entry::kProbeAnswered: {
      const auto& from = entry.probe_answered();
      governor.probe_answered(now, {ReplicaId{from.replica()}, from.answered(), from.refused(),
                                    Nanos(from.took()), load(from.load())});
      return true;
    }
    case Entry::kTimerDue:
      governor.timer_due(now, TimerId{entry.timer_due()});
      return true;
    case Entry::kPeerSaid:
      governor.peer_said(now, PeerId{static_cast<std::uint16_t>(entry.peer_said().peer())},
                         entry.peer_said().message());
      return true;
    case Entry::kBegin:
    case Entry::kNamed:
    case Entry::CALL_NOT_SET:
      return false;
  }
  return false;
}

class Replaying {
 public:
  explicit Replaying(const Options& options) : options_(options) {}

  void play(const std::string& file) {
    std::ifstream stream(file, std::ios::binary);
    if (!stream) throw net::Error("cannot read " + file);
    std::ostringstream text;
    text << stream.rdbuf();
    const auto whole = std::move(text).str();
    record::Blocks blocks(whole);
    kept::Block block;
    while (const auto found = blocks.next()) {
      if (found->head.lost > 0 || blocks.damaged() > damaged_) interrupted();
      damaged_ = blocks.damaged();
      outcome_.lost += found->head.lost;
      if (!block.ParseFromString(found->payload)) {
        ++outcome_.damaged;
        interrupted();
        continue;
      }
      for (const auto& entry : block.entries()) take(entry);
    }
    // What a death left unfinished at the end of a file is followed by another start, or by nothing.
    outcome_.damaged += blocks.damaged();
    damaged_ = 0;
  }

  Outcome end() {
    outcome_.digest = digest_;
    return outcome_;
  }

 private:
  // The module would go on from a state that nobody knows.
  void interrupted() { governor_.reset(); }

  void take(const Entry& entry) {
    if (outcome_.calls == 0) outcome_.from = Nanos(entry.at());
    outcome_.to = Nanos(entry.at());
    ++outcome_.calls;
    host_.orders.clear();
    if (entry.call_case() == Entry::kBegin) {
      const auto [settings, seed] = options_.settings_of(entry.begin().configuration());
      governor_ = std::make_unique<Governor>(settings, seed, Nanos(entry.at()), host_);
      ++outcome_.governors;
    } else if (!governor_) {
      ++outcome_.unplayed;
      return;
    } else if (!make(*governor_, entry)) {
      return;
    }
    compare(entry);
  }

  void compare(const Entry& entry) {
    const auto recorded = static_cast<std::size_t>(entry.orders_size());
    for (std::size_t n = 0; n < std::max(recorded, host_.orders.size()); ++n) {
      std::string then, now;
      if (n < recorded) entry.orders(static_cast<int>(n)).SerializeToString(&then);
      if (n < host_.orders.size()) {
        host_.orders[n].SerializeToString(&now);
        digest_ = XXH3_64bits_withSeed(now.data(), now.size(), digest_);
        ++outcome_.orders;
      }
      if (then == now) continue;
      ++outcome_.differing;
      if (outcome_.first && !options_.differs) continue;
      auto call = entry;
      call.clear_orders();
      const Difference difference{Nanos(entry.at()), outcome_.calls, call.ShortDebugString(),
                                  n < recorded ? entry.orders(static_cast<int>(n)).ShortDebugString() : "",
                                  n < host_.orders.size() ? host_.orders[n].ShortDebugString() : ""};
      if (!outcome_.first) outcome_.first = difference;
      if (options_.differs) options_.differs(difference);
    }
  }

  const Options& options_;
  Outcome outcome_;
  Noting host_;
  std::unique_ptr<Governor> governor_;
  std::uint64_t digest_ = 0;
  std::size_t damaged_ = 0;
};

}  // namespace

std::vector<std::string> files_of(const std::string& path) {
  std::error_code error;
  if (!fs::is_directory(path, error)) return {path};
  std::vector<std::string> files;
  for (const auto& entry : fs::directory_iterator(path)) {
    if (entry.path().extension() == ".rec") files.push_back(entry.path().string());
  }
  if (files.empty()) throw net::Error("there is no record in " + path);
  std::sort(files.begin(), files.end());
  return files;
}

Outcome replay(const std::vector<std::string>& files, const Options& options) {
  Replaying replaying(options);
  for (const auto& file : files) replaying.play(file);
  return replaying.end();
}

}  // namespace ospreypost::replay
