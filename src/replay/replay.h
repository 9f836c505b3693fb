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
  std::uint64_t call = 0;          // of the whole record, from 1
  std::string made_by;             // the call, in words
  std::string recorded, replayed;  // the order, in words; empty: none
};

struct Outcome {
  std::uint64_t calls = 0, orders = 0, governors = 0;
  std::uint64_t differing = 0;  // orders
  std::optional<Difference> first;
  // Where the record is not whole: from there to the next start nothing can be compared.
  std::uint64_t lost = 0, damaged = 0, unplayed = 0;
  std::uint64_t digest = 0;  // of all that was ordered in the replay, in order
  Nanos from{}, to{};
  bool same() const { return differing == 0; }
};

struct Options {
  // Called with each order that differs, in the order made; may be empty.
  std::function<void(const Difference&)> differs;
  // The settings that a configuration comes to, and its seed.
  std::function<std::pair<Settings, std::uint64_t>(const std::string& configuration)> settings_of;
};

// Throws net::Error if a file cannot be read, is no record, or of a newer schema.
Outcome replay(const std::vector<std::string>& files, const Options& options);

}  // namespace ospreypost::replay
