/// Replays the events of a record on the controller of this build, and compares the actions of the controller
/// with the recorded actions.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::replay {

/// An action that differs between the record and the replay.
struct Difference {
  Nanos event_time{};              ///< monotonic clock time of the event
  std::uint64_t event_number = 0;  ///< position of the event in the whole record, from 1
  std::string event;               ///< the event that led to the action, as protocol buffer text
  std::string recorded;            ///< the recorded action as protocol buffer text; empty if none
  std::string replayed;            ///< the replayed action as protocol buffer text; empty if none
};

struct ReplayResult {
  std::uint64_t events = 0;
  std::uint64_t actions = 0;  ///< number of actions of the replayed controllers
  std::uint64_t incarnations = 0;
  std::uint64_t differing_actions = 0;
  std::optional<Difference> first_difference;
  // After a gap in the record, actions cannot be compared until the next start of an incarnation:
  std::uint64_t lost_entries = 0;
  std::uint64_t corrupt_regions = 0;
  std::uint64_t skipped_events = 0;  ///< events that could not be replayed
  std::uint64_t digest = 0;          ///< hash of all actions of the replay, in order
  Nanos from{};                      ///< monotonic clock time of the first entry
  Nanos to{};                        ///< monotonic clock time of the last entry

  bool is_identical() const { return differing_actions == 0; }
};

/// The settings and the seed of the controller of an incarnation.
struct ControllerConfig {
  Settings settings;
  std::uint64_t seed = 0;
};

struct Options {
  /// Called with each differing action, in the order of the replay; may be empty.
  std::function<void(const Difference&)> on_difference;
  /// Converts the text of a recorded configuration. `replay` passes on exceptions of this function.
  std::function<ControllerConfig(const std::string& configuration)> load_config;
};

/// Replays the record and returns the result of the comparison. Throws `record::StorageError` if a file
/// cannot be read, and `record::FormatError` if a file is not a record or is a record of a newer schema.
ReplayResult replay(const std::vector<std::string>& files, const Options& options);

}  // namespace ospreypost::replay
