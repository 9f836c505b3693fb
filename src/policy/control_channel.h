/// The channel from the controller to its proxies: what waits in it, as far as acknowledgements tell.
#pragma once

#include <cstdint>
#include <map>

#include "policy/action_sink.h"
#include "policy/settings.h"

namespace ospreypost::policy {

// Fractions of the stated limit of entries that may wait in the channel.

/// For what can wait.
inline constexpr double kPlainQueueFraction = 0.5;
/// For what must not wait.
inline constexpr double kUrgentQueueFraction = 0.9;
/// For the first tables of proxies that join.
inline constexpr double kJoiningQueueFraction = 0.8;

class ControlChannel {
 public:
  explicit ControlChannel(const Settings& settings);

  /// The stated limit of entries that may wait.
  double max_queued_entries() const { return max_queued_entries_; }
  /// The pace that is counted on.
  double entries_per_second() const { return entries_per_second_; }

  /// Entries that may wait now. A channel may run at a fraction of its pace for a while, so what was sent
  /// waits until an acknowledgement shows that it left. Against acknowledgements that never come it leaves
  /// all the same, but slowly; where no proxy acknowledges anything, at the pace that is counted on.
  double queued_entries(Nanos now);
  /// Notes entries that are sent, in so many messages.
  void add(double entries, double messages);

  /// Requests an acknowledgement of what was sent in this call on the controller, if so much may wait that it
  /// matters, or none ever came: requests in all messages cost more than they tell. All calls of one moment
  /// leave as one message for each proxy, which needs one request.
  void request_acknowledgement(Nanos now, ActionSink& actions);
  /// Messages leave in order: an acknowledgement shows that all earlier ones left, and its part of its own.
  void on_acknowledged(Nanos now, AckRequestId id);
  /// What waits for a proxy is lost with its connection.
  void on_all_proxies_left() { left_ = sent_; }

 private:
  struct AckRequest {
    double sent_before = 0;  // entries, ever
    double entries = 0;      // with it
    double messages = 0;     // that carry it
    double answers = 0;
  };

  const double entries_per_second_;
  const double max_queued_entries_;
  double sent_ = 0;       // entries, ever
  double requested_ = 0;  // of those, up to the end of the last call
  double left_ = 0;       // of those, out of the channel
  double messages_ = 0;   // that the next request goes with
  Nanos left_updated_{};
  std::map<AckRequestId, AckRequest> requests_;
  std::uint64_t last_request_ = 0;
  Nanos last_requested_{};
  bool acknowledged_ = false;  // ever, by any proxy
};

}  // namespace ospreypost::policy
