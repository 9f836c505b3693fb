/// The messages of one publication, with the capacity left in the channel and the subsets that get a message.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/control_channel.h"
#include "policy/message_pacing.h"
#include "policy/subset_assignment.h"
#include "policy/types.h"

namespace ospreypost::policy {

/// Enforces the limits on the channel's queue and on the number of messages to one proxy.
class MessageBatch {
 public:
  MessageBatch(ControlChannel& channel, const SubsetAssignment& assignment,
               MessagePacing::Allowances allowances, double message_overhead, Nanos now);

  enum class Unassigned { excluded, included };
  /// How much of the message limit a message may use; see `MessagePacing`.
  enum class Urgency { normal, urgent };
  /// The result of a reservation.
  enum class Reservation {
    granted,
    message_limit,  ///< proxies were sent too many messages recently
    held_back,      ///< a subset is held back for an earlier urgent entry
    channel_full,   ///< the entries do not fit into the channel
  };
  /// Reserves channel capacity for `entries` entries to each proxy of the subsets and, if included, to each
  /// proxy without a subset. Reserves nothing unless the result is `granted`.
  Reservation try_reserve(const std::vector<std::size_t>& subsets, double entries, Unassigned unassigned,
                          Urgency urgency);
  /// Makes try_reserve() fail for the subset until release() is called. The subset's next message thus stays
  /// available for an urgent entry that did not fit now.
  void hold_back(std::size_t subset) { held_back_[subset] = true; }
  void release(std::size_t subset) { held_back_[subset] = false; }
  bool has_message(std::size_t subset) const { return has_message_[subset]; }
  /// Returns whether the batch has a message to the proxy.
  bool has_message_to(const Proxy& proxy) const;

  /// Returns how many entries may still be sent, summed over all proxies.
  double capacity() const { return capacity_; }
  void change_capacity(double entries) { capacity_ += entries; }
  double message_overhead() const { return message_overhead_; }
  void set_message_overhead(double entries) { message_overhead_ = entries; }

 private:
  Reservation check(std::size_t subset, Urgency urgency) const;

  ControlChannel& channel_;
  const SubsetAssignment& assignment_;
  const MessagePacing::Allowances allowances_;
  double message_overhead_;
  double capacity_;
  std::vector<bool> has_message_;  // by subset: whether the batch has a message to the subset
  std::vector<bool> held_back_;    // by subset: whether hold_back() excludes the subset
  bool unassigned_have_message_ = false;
};

}  // namespace ospreypost::policy
