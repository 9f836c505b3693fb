#include "policy/control_channel.h"

#include <algorithm>

#include "policy/numeric.h"

namespace ospreypost::policy {
namespace {

/// Fraction of the configured rate that the controller relies on.
constexpr double kReliableRateFraction = 0.5;
/// Fraction of the relied-on rate at which entries are assumed to leave the channel without acknowledgements.
constexpr double kUnconfirmedRateFraction = 0.1;
/// Fraction of the maximum number of queued entries above which acknowledgements are requested.
constexpr double kRequestQueueFraction = 0.25;
/// Maximum number of pending acknowledgement requests; the oldest is dropped beyond it.
constexpr std::size_t kMaxPendingRequests = 4096;

}  // namespace

ControlChannel::ControlChannel(const Settings& settings)
    : entries_per_second_(std::max(1.0, settings.channel_entries_per_second * kReliableRateFraction)),
      max_queued_entries_(settings.channel_max_queued_entries) {}

double ControlChannel::queued_entries(Nanos now) {
  const double rate = entries_per_second_ * (acknowledged_ ? kUnconfirmedRateFraction : 1);
  transmitted_ = std::min(enqueued_, transmitted_ + to_seconds(now - transmitted_updated_at_) * rate);
  transmitted_updated_at_ = now;
  return enqueued_ - transmitted_;
}

void ControlChannel::add(double entries, double messages) {
  enqueued_ += entries;
  messages_in_call_ += messages;
}

void ControlChannel::request_acknowledgement(Nanos now, ActionSink& actions) {
  if (enqueued_ <= enqueued_before_call_) return;
  const bool is_worthwhile =
      !acknowledged_ || queued_entries(now) > kRequestQueueFraction * max_queued_entries_;
  if ((requests_.empty() || last_requested_at_ != now) && is_worthwhile) {
    if (requests_.size() >= kMaxPendingRequests) requests_.erase(requests_.begin());
    const AckRequestId request{++last_request_};
    requests_[request].enqueued_before = enqueued_before_call_;
    last_requested_at_ = now;
    actions.request_acknowledgement(request, false);
  }
  if (!requests_.empty() && last_requested_at_ == now) {
    auto& request = requests_.rbegin()->second;
    request.entries += enqueued_ - enqueued_before_call_;
    request.messages += messages_in_call_;
  }
  enqueued_before_call_ = enqueued_;
  messages_in_call_ = 0;
}

void ControlChannel::on_acknowledged(Nanos now, AckRequestId id) {
  const auto known = requests_.find(id);
  if (known == requests_.end()) return;
  auto& request = known->second;
  request.acknowledgements += 1;
  const double acknowledged_fraction =
      std::min(1.0, request.acknowledgements / std::max(1.0, request.messages));
  const double confirmed = request.enqueued_before + request.entries * acknowledged_fraction;
  queued_entries(now);
  transmitted_ = acknowledged_ ? std::max(transmitted_, confirmed) : confirmed;
  acknowledged_ = true;
  requests_.erase(requests_.begin(), known);
}

}  // namespace ospreypost::policy
