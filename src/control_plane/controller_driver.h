/// Runs the controller: makes the calls on it one at a time, runs its timers, and publishes one snapshot of
/// its routing state after each call or, if a batch interval is set, after each batch of calls.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control_plane/timer_queue.h"
#include "net/threads.h"
#include "policy/action_sink.h"
#include "policy/actions.h"
#include "policy/settings.h"
#include "policy/types.h"
#include "record/recording_controller.h"
#include "routing_state/routing_state.h"

namespace ospreypost::record {
class Writer;
}

namespace ospreypost::control_plane {

/// Receives the published snapshots and carries out the controller's actions that have an effect outside
/// `ControllerDriver`. The functions are called with the driver's lock held: an implementation may queue work
/// and notify other threads, but must not block or call the driver.
class ControllerFrontend {
 public:
  virtual ~ControllerFrontend() = default;
  /// Called after each call on the controller or, if a batch interval is set, after a batch of calls that
  /// changed something. `published` is empty if nothing changed that a proxy may use.
  /// `requests` are the acknowledgement requests made for the newest snapshot.
  virtual void on_published(Nanos now,
                            const std::optional<routing_state::RoutingState::Publication>& published,
                            const std::vector<RequestAcknowledgement>& requests) = 0;
  virtual void on_ejection_changed(ReplicaId replica, bool ejected) = 0;
  virtual void request_health_check(ReplicaId replica) = 0;
  virtual void watch_endpoint_list(bool enabled) = 0;
  virtual void refresh_endpoint_list() = 0;
  /// Sends `message` to `peer`, or to all peers if `peer` is empty.
  virtual void send_to_peer(std::optional<PeerId> peer, std::string_view message) = 0;
  virtual void log(std::string_view line) = 0;
};

/// Owns the controller, its routing state and its timers, and guards them with one lock. Thread-safe.
class ControllerDriver : private ActionHandler {
 public:
  /// Monotonic clock with an arbitrary start.
  using Clock = std::function<Nanos()>;

  struct Options {
    Settings settings;
    std::uint64_t seed = 0;
    /// Time for which changes are collected before they are published together; 0 publishes after each call.
    Nanos batch_interval{};
    record::Writer* record_writer = nullptr;  ///< must outlive the driver; null if nothing is recorded
    std::string configuration;                ///< text of the configuration that is written to the record
  };

  /// Creates the controller, which may call `frontend` from then on, also before the constructor returns.
  /// `frontend` must outlive the driver.
  ControllerDriver(const Options& options, Clock clock, ControllerFrontend& frontend);
  ~ControllerDriver() override { stop(); }

  /// Starts the thread that runs the controller's timers.
  /// The same thread calls `maintenance` after each `interval`, without holding the lock.
  /// Throws `net::Error` if the thread cannot be started.
  void start(std::function<void()> maintenance, Nanos interval);
  /// Stops and joins the timer thread.
  void stop();

  /// Takes the lock, calls `run` with a `RecordingController&`, the `RoutingState&` and the current time, and
  /// then publishes the resulting changes or schedules their publication.
  template <typename Call>
  void call(Call run) {
    const std::lock_guard lock(mutex_);
    const auto now = clock_();
    run(*controller_, routing_state_, now);
    on_called(now);
  }
  /// Calls `read` with the lock held, so that no call on the controller changes the frontend's state during
  /// `read`.
  template <typename Read>
  void inspect(Read read) const {
    const std::lock_guard lock(mutex_);
    read();
  }
  /// Returns the current time of the driver's clock; takes no lock.
  Nanos now() const { return clock_(); }

 private:
  void handle(const SetTableEntry& action) override;
  void handle(const ClearTable& action) override;
  void handle(const BindProxy& action) override;
  void handle(const SetEjected& action) override;
  void handle(const SetAdmittedFraction& action) override;
  void handle(const RequestAcknowledgement& action) override;
  void handle(const StartTimer& action) override;
  void handle(const WatchEndpointList& action) override;
  void handle(const RefreshEndpointList& action) override;
  void handle(const RequestHealthCheck& action) override;
  void handle(const SendToPeer& action) override;
  void handle(const LogLine& action) override;

  void on_called(Nanos now);
  bool has_unpublished_changes() const;
  void publish(Nanos now);
  void run_timers(const std::function<void()>& maintenance, Nanos interval);
  void wait_for_next_event(std::unique_lock<std::mutex>& lock, Nanos now, Nanos next_maintenance);

  const Clock clock_;
  ControllerFrontend& frontend_;
  const Nanos batch_interval_;

  mutable std::mutex mutex_;
  // The following members are guarded by `mutex_`. No I/O happens while `mutex_` is held.
  routing_state::RoutingState routing_state_;
  TimerQueue timers_;
  std::vector<RequestAcknowledgement> acknowledgement_requests_;  // made since the last snapshot
  bool ejections_changed_ = false;   // whether an ejection changed since the last snapshot
  std::optional<Nanos> publish_at_;  // time at which the current batch is published; empty without a batch
  std::unique_ptr<record::RecordingController> controller_;
  bool stopping_ = false;

  std::condition_variable wake_up_;  // notifies the timer thread; used together with `mutex_`
  net::Thread timer_thread_;
};

}  // namespace ospreypost::control_plane
