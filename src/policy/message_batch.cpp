#include "policy/message_batch.h"

#include <utility>

namespace ospreypost::policy {
namespace {

bool allows(MessagePacing::Allowance allowance, MessageBatch::Urgency urgency) {
  if (urgency == MessageBatch::Urgency::urgent) return allowance != MessagePacing::Allowance::nothing;
  return allowance == MessagePacing::Allowance::all;
}

}  // namespace

MessageBatch::MessageBatch(ControlChannel& channel, const SubsetAssignment& assignment,
                           MessagePacing::Allowances allowances, double message_overhead, Nanos now)
    : channel_(channel),
      assignment_(assignment),
      allowances_(std::move(allowances)),
      message_overhead_(message_overhead),
      capacity_(kUrgentQueueFraction * channel.max_queued_entries() - channel.queued_entries(now)),
      has_message_(assignment.subsets().size()),
      held_back_(assignment.subsets().size()) {}

bool MessageBatch::has_message_to(const Proxy& proxy) const {
  return proxy.subset ? has_message_[*proxy.subset] : unassigned_have_message_;
}

/// Returns whether the subset may be sent a message now, or else why not.
MessageBatch::Reservation MessageBatch::check(std::size_t subset, Urgency urgency) const {
  if (held_back_[subset]) return Reservation::held_back;
  const bool is_free = has_message_[subset] || allows(allowances_.subsets[subset], urgency);
  return is_free ? Reservation::granted : Reservation::message_limit;
}

MessageBatch::Reservation MessageBatch::try_reserve(const std::vector<std::size_t>& subsets, double entries,
                                                    Unassigned unassigned, Urgency urgency) {
  const double unassigned_proxies = unassigned == Unassigned::included ? assignment_.unassigned_proxies() : 0;
  const bool unassigned_are_free = unassigned_have_message_ || allows(allowances_.unassigned, urgency);
  if (unassigned_proxies > 0 && !unassigned_are_free) return Reservation::message_limit;
  double cost = 0;
  double messages = 0;
  for (const auto subset : subsets) {
    const Reservation checked = check(subset, urgency);
    if (checked != Reservation::granted) return checked;
    const double proxies = assignment_.subsets()[subset].proxies;
    cost += proxies * (entries + (has_message_[subset] ? 0 : message_overhead_));
    messages += has_message_[subset] ? 0 : proxies;
  }
  cost += unassigned_proxies * (entries + (unassigned_have_message_ ? 0 : message_overhead_));
  if (cost > capacity_) return Reservation::channel_full;
  capacity_ -= cost;
  channel_.add(cost, messages + (unassigned_have_message_ ? 0 : unassigned_proxies));
  for (const auto subset : subsets) has_message_[subset] = true;
  unassigned_have_message_ = unassigned_have_message_ || unassigned == Unassigned::included;
  return Reservation::granted;
}

}  // namespace ospreypost::policy
