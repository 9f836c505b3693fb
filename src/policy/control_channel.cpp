#include "policy/control_channel.h"

#include <algorithm>

#include "policy/numeric.h"

namespace ospreypost::policy {
namespace {

/// Of the stated pace, that is counted on.
constexpr double kReliablePaceFraction = 0.5;
/// Of that pace, for what no acknowledgement has confirmed.
constexpr double kUnconfirmedPaceFraction = 0.1;
/// Of the limit, from which acknowledgements are requested.
constexpr double kRequestQueueFraction = 0.25;
/// Requests that wait for their first acknowledgement.
constexpr std::size_t kMaxPendingRequests = 4096;

}  // namespace

ControlChannel::ControlChannel(const Settings& settings)
    : entries_per_second_(std::max(1.0, settings.channel_entries_per_second * kReliablePaceFraction)),
      max_queued_entries_(settings.channel_max_queued_entries) {}

double ControlChannel::queued_entries(Nanos now) {
  const double pace = entries_per_second_ * (acknowledged_ ? kUnconfirmedPaceFraction : 1);
  left_ = std::min(sent_, left_ + to_seconds(now - left_updated_) * pace);
  left_updated_ = now;
  return sent_ - left_;
}

void ControlChannel::add(double entries, double messages) {
  sent_ += entries;
  messages_ += messages;
}

void ControlChannel::request_acknowledgement(Nanos now, ActionSink& actions) {
  if (sent_ <= requested_) return;
  const bool matters = !acknowledged_ || queued_entries(now) > kRequestQueueFraction * max_queued_entries_;
  if ((requests_.empty() || last_requested_ != now) && matters) {
    if (requests_.size() >= kMaxPendingRequests) requests_.erase(requests_.begin());
    const AckRequestId request{++last_request_};
    requests_[request].sent_before = requested_;
    last_requested_ = now;
    actions.request_acknowledgement(request, false);
  }
  if (!requests_.empty() && last_requested_ == now) {
    auto& request = requests_.rbegin()->second;
    request.entries += sent_ - requested_;
    request.messages += messages_;
  }
  requested_ = sent_;
  messages_ = 0;
}

void ControlChannel::on_acknowledged(Nanos now, AckRequestId id) {
  const auto known = requests_.find(id);
  if (known == requests_.end()) return;
  auto& request = known->second;
  request.answers += 1;
  const double answered_part = std::min(1.0, request.answers / std::max(1.0, request.messages));
  const double confirmed = request.sent_before + request.entries * answered_part;
  queued_entries(now);
  left_ = acknowledged_ ? std::max(left_, confirmed) : confirmed;
  acknowledged_ = true;
  requests_.erase(requests_.begin(), known);
}

}  // namespace ospreypost::policy
