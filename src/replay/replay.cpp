#include "replay/replay.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>

#include "record.pb.h"
#include "record/action_encoder.h"
#include "record/reader.h"
#include "replay/event_decoder.h"
#include "replay/log_translation.h"

namespace ospreypost::replay {
namespace {

using kept::Entry;

// Returns whether both actions at `position` log the same event. Earlier builds logged some events with other
// texts.
bool is_same_log_event(const Entry& recorded, const Entry& replayed, int position) {
  if (position >= recorded.orders_size() || position >= replayed.orders_size()) return false;
  const auto& earlier = recorded.orders(position);
  const auto& current = replayed.orders(position);
  const bool both_log = earlier.what_case() == kept::Order::kLog && current.what_case() == kept::Order::kLog;
  return both_log && current_log_text(earlier.log()) == current.log();
}

// Returns the stored form of an action, in which actions are compared and hashed; empty if there is no
// action.
std::string serialized_action(const Entry& entry, int position) {
  std::string text;
  if (position < entry.orders_size()) entry.orders(position).SerializeToString(&text);
  return text;
}

std::string readable_action(const Entry& entry, int position) {
  return position < entry.orders_size() ? entry.orders(position).ShortDebugString() : "";
}

std::string readable_event(Entry entry) {
  entry.clear_orders();
  return entry.ShortDebugString();
}

class Replayer : private record::RecordVisitor, private ActionSink {
 public:
  explicit Replayer(const Options& options) : options_(options) {}

  ReplayResult replay(const std::vector<std::string>& files) {
    const auto corruption = record::visit_record(files, *this);
    result_.lost_entries = corruption.lost_entries;
    result_.corrupt_regions = corruption.corrupt_regions;
    return result_;
  }

 private:
  // After a gap the state of the recorded controller is unknown, so the replay waits for the next start.
  void on_gap(std::uint64_t) override { controller_.reset(); }
  void on_entry(const Entry& entry) override;
  void on_action(const Action& action) override { record::encode_action(action, replayed_); }

  void start_incarnation(const Entry& entry);
  void compare_actions(const Entry& entry);
  void report_difference(const Entry& entry, int position);

  const Options& options_;
  ReplayResult result_;
  Entry replayed_;                          // holds the actions of the event being replayed
  std::unique_ptr<Controller> controller_;  // null before the first start and after a gap
};

void Replayer::on_entry(const Entry& entry) {
  const Nanos now(entry.at());
  if (result_.events == 0) result_.from = now;
  result_.to = now;
  ++result_.events;
  replayed_.clear_orders();
  if (entry.has_begin()) {
    start_incarnation(entry);
    compare_actions(entry);
    return;
  }
  if (!controller_) {
    ++result_.skipped_events;
    return;
  }
  if (dispatch_event(entry, *controller_)) compare_actions(entry);
}

void Replayer::start_incarnation(const Entry& entry) {
  const ControllerConfig config = options_.load_config(entry.begin().configuration());
  controller_ = std::make_unique<Controller>(config.settings, config.seed, Nanos(entry.at()),
                                             static_cast<ActionSink&>(*this));
  ++result_.incarnations;
}

void Replayer::compare_actions(const Entry& entry) {
  const int actions = std::max(entry.orders_size(), replayed_.orders_size());
  for (int position = 0; position < actions; ++position) {
    const std::string recorded = serialized_action(entry, position);
    const std::string replayed = serialized_action(replayed_, position);
    if (position < replayed_.orders_size()) {
      result_.digest = XXH3_64bits_withSeed(replayed.data(), replayed.size(), result_.digest);
      ++result_.actions;
    }
    if (recorded == replayed || is_same_log_event(entry, replayed_, position)) continue;
    report_difference(entry, position);
  }
}

void Replayer::report_difference(const Entry& entry, int position) {
  ++result_.differing_actions;
  // Readable texts are only created if a caller uses them.
  if (result_.first_difference && !options_.on_difference) return;
  const Difference difference{Nanos(entry.at()), result_.events, readable_event(entry),
                              readable_action(entry, position), readable_action(replayed_, position)};
  if (!result_.first_difference) result_.first_difference = difference;
  if (options_.on_difference) options_.on_difference(difference);
}

}  // namespace

ReplayResult replay(const std::vector<std::string>& files, const Options& options) {
  return Replayer(options).replay(files);
}

}  // namespace ospreypost::replay
