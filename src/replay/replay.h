/// Gives a record to the controller of this build, and compares its actions with those that were recorded.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::replay {

/// An action that was not the same.
struct Difference {
  Nanos event_time{};              ///< the event's time, on the entries' clock
  std::uint64_t event_number = 0;  ///< in the whole record, from 1
  std::string event;               ///< that led to the action, in the schema's names
  std::string recorded;            ///< the action in the schema's names; empty: none
  std::string replayed;            ///< the action in the schema's names; empty: none
};

struct ReplayResult {
  std::uint64_t events = 0;
  std::uint64_t actions = 0;  ///< that the replay led to
  std::uint64_t incarnations = 0;
  std::uint64_t differing_actions = 0;
  std::optional<Difference> first_difference;
  // Where the record is incomplete, nothing can be compared up to the next start:
  std::uint64_t lost_entries = 0;
  std::uint64_t corrupt_regions = 0;
  std::uint64_t skipped_events = 0;  ///< that could not be replayed
  std::uint64_t digest = 0;          ///< of all actions of the replay, in order
  Nanos from{};                      ///< time of the first entry, on the entries' clock
  Nanos to{};                        ///< time of the last entry

  bool is_identical() const { return differing_actions == 0; }
};

/// What an incarnation's controller is made with.
struct ControllerConfig {
  Settings settings;
  std::uint64_t seed = 0;
};

struct Options {
  /// Called with each action that differs, in the order made; may be empty.
  std::function<void(const Difference&)> on_difference;
  /// What a recorded configuration comes to. What it throws leaves `replay`.
  std::function<ControllerConfig(const std::string& configuration)> load_config;
};

/// Throws `record::StorageError` if a file cannot be read, and `record::FormatError` if one is no record or
/// of a newer schema.
ReplayResult replay(const std::vector<std::string>& files, const Options& options);

}  // namespace ospreypost::replay
