/// The messages of one call on the controller: which entries still fit in the channel, and who gets a
/// message.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/control_channel.h"
#include "policy/subset_assignment.h"
#include "policy/types.h"

namespace ospreypost::policy {

/// Guards the channel's queue and the number of messages to one proxy.
class MessageBatch {
 public:
  /// When each subset was last sent a message, and how long it is left alone after one.
  struct Pacing {
    const std::vector<Nanos>& last_messages;
    Nanos min_gap{};
  };
  MessageBatch(ControlChannel& channel, const SubsetAssignment& assignment, Pacing pacing,
               double message_overhead, Nanos now);

  enum class Unassigned { excluded, included };
  /// Takes the capacity for entries to these subsets, and to proxies that belong to none, if they fit. All or
  /// nothing.
  bool try_reserve(const std::vector<std::size_t>& subsets, double entries, Unassigned unassigned);
  /// No later entry may take the next message to the subset.
  void hold_back(std::size_t subset) { held_back_[subset] = true; }
  void release(std::size_t subset) { held_back_[subset] = false; }
  bool has_message(std::size_t subset) const { return has_message_[subset]; }

  /// Entries that may still be sent.
  double capacity() const { return capacity_; }
  void change_capacity(double entries) { capacity_ += entries; }
  double message_overhead() const { return message_overhead_; }
  void set_message_overhead(double entries) { message_overhead_ = entries; }

 private:
  bool is_free(std::size_t subset) const;

  ControlChannel& channel_;
  const SubsetAssignment& assignment_;
  const Pacing pacing_;
  const Nanos now_;
  double message_overhead_;
  double capacity_;
  std::vector<bool> has_message_;  // by subset
  std::vector<bool> held_back_;    // by subset
  bool unassigned_have_message_ = false;
};

}  // namespace ospreypost::policy
