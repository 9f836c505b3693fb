/// Runs the controller: calls on it one at a time, its timers, and one snapshot of its routing state after
/// each call, or after all calls of a short while.
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

/// Carries out those of the controller's actions that leave the process. Called with the driver's lock held:
/// it may take note and wake others, but must not wait or call the driver.
class ControllerFrontend {
 public:
  virtual ~ControllerFrontend() = default;
  /// After calls that acted on the routing state. `published` is empty if nothing changed that any proxy may
  /// use; `requests` go with the newest snapshot.
  virtual void on_published(Nanos now,
                            const std::optional<routing_state::RoutingState::Publication>& published,
                            const std::vector<RequestAcknowledgement>& requests) = 0;
  virtual void on_ejection_changed(ReplicaId replica, bool ejected) = 0;
  virtual void request_health_check(ReplicaId replica) = 0;
  virtual void watch_endpoint_list(bool enabled) = 0;
  virtual void refresh_endpoint_list() = 0;
  /// To all peers if no peer is given.
  virtual void send_to_peer(std::optional<PeerId> peer, std::string_view message) = 0;
  virtual void log(std::string_view line) = 0;
};

/// Owns the controller, its routing state and its timers, behind one lock. Thread-safe.
class ControllerDriver : private ActionHandler {
 public:
  /// A monotonic clock that starts anywhere.
  using Clock = std::function<Nanos()>;

  struct Options {
    Settings settings;
    std::uint64_t seed = 0;
    /// Changes are gathered for this long before they are published together; 0: each call by itself.
    Nanos gather_time{};
    record::Writer* record_writer = nullptr;  ///< outlives the driver; null: nothing is recorded
    std::string configuration;                ///< its text, as the record keeps it
  };

  /// Starts the controller, which may act on the frontend from then on. `frontend` must outlive the driver.
  ControllerDriver(const Options& options, Clock clock, ControllerFrontend& frontend);
  ~ControllerDriver() override { stop(); }

  /// Starts the thread that runs the controller's timers. It also calls `maintenance` after each interval,
  /// without the lock. Throws `net::Error` if no thread can be had.
  void start(std::function<void()> maintenance, Nanos interval);
  /// Joins the thread.
  void stop();

  /// Takes the lock and makes a call on the controller: `run` is called with a `RecordingController&`, the
  /// `RoutingState&` and the time.
  template <typename Call>
  void call(Call run) {
    const std::lock_guard lock(mutex_);
    const auto now = clock_();
    run(*controller_, routing_state_, now);
    on_called(now);
  }
  /// Takes the lock, so that `read` sees what the frontend's functions change, between two calls.
  template <typename Read>
  void inspect(Read read) const {
    const std::lock_guard lock(mutex_);
    read();
  }
  /// The time now, by the clock of the constructor; takes no lock.
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
  const Nanos gather_time_;

  mutable std::mutex mutex_;
  // Guarded by `mutex_`, under which no I/O happens.
  routing_state::RoutingState routing_state_;
  TimerQueue timers_;
  std::vector<RequestAcknowledgement> acknowledgement_requests_;  // since the last snapshot
  bool ejections_changed_ = false;                                // since the last snapshot
  std::optional<Nanos> publish_at_;
  std::unique_ptr<record::RecordingController> controller_;
  bool stopping_ = false;

  std::condition_variable wake_up_;  // waited for with `mutex_`
  net::Thread timer_thread_;
};

}  // namespace ospreypost::control_plane
