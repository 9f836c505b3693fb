// Plays a record to the module of this build, and compares what it orders with what was ordered then.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::replay {

struct Difference {
  Nanos at{};
  std::uint64_t event_number = 0;  // of the whole record, from 1
  std::string event;               // the call, in words
  std::string recorded, replayed;  // the order, in words; empty: none
};

struct ReplayResult {
  std::uint64_t events = 0, actions = 0, incarnations = 0;
  std::uint64_t differing_actions = 0;  // orders
  std::optional<Difference> first_difference;
  // Where the record is not whole: from there to the next start nothing can be compared.
  std::uint64_t lost_entries = 0, corrupt_stretches = 0, skipped_events = 0;
  std::uint64_t digest = 0;  // of all that was ordered in the replay, in order
  Nanos from{}, to{};
  bool is_identical() const { return differing_actions == 0; }
};

struct Options {
  // Called with each order that differs, in the order made; may be empty.
  std::function<void(const Difference&)> on_difference;
  // The settings that a configuration comes to, and its seed.
  std::function<std::pair<Settings, std::uint64_t>(const std::string& configuration)> settings_of;
};

// Throws net::Error if a file cannot be read, is no record, or of a newer schema.
ReplayResult replay(const std::vector<std::string>& files, const Options& options);

}  // namespace ospreypost::replay
