// The module behind its lock, under every door: calls in, its timers, its orders into the book, and one
// version published after a call, or after all calls of a short while.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control_plane/timer_queue.h"
#include "net/threads.h"
#include "policy/controller.h"
#include "record/recording_controller.h"
#include "routing_state/routing_state.h"

namespace ospreypost::control_plane {

// What a door does with orders. Called under the desk's lock: take note and return.
class ControllerFrontend {
 public:
  virtual ~ControllerFrontend() = default;
  // After calls that ordered something; no version if nothing changed that anybody may use.
  virtual void on_published(Nanos now,
                            const std::optional<routing_state::RoutingState::Publication>& published,
                            const std::vector<RequestAcknowledgement>& marks) = 0;
  virtual void on_ejection_changed(ReplicaId replica, bool out) = 0;
  virtual void request_health_check(ReplicaId replica) = 0;
  virtual void watch_endpoint_list(bool on) = 0;
  virtual void refresh_endpoint_list() = 0;
  virtual void send_to_peer(std::optional<PeerId> peer, std::string_view message) = 0;
  virtual void log(std::string_view line) = 0;
};

class ControllerDriver : private ActionHandler {
 public:
  // The clock is monotonic and starts anywhere.
  using Clock = std::function<Nanos()>;
  struct Options {
    Settings settings;
    std::uint64_t seed = 0;
    Nanos gather_time{};  // for so long orders are gathered before they are published together
    record::Writer* record_writer = nullptr;  // outlives the desk
    std::string configuration;                // as the record keeps it
  };
  ControllerDriver(const Options& options, Clock clock, ControllerFrontend& door);
  ~ControllerDriver() override { stop(); }
  // The module's timers run from now on; `look` is called every so often, without the lock.
  void start(std::function<void()> look, Nanos every);
  void stop();

  // Takes the lock and makes the call at the present time.
  template <typename Call>
  void call(Call made) {
    const std::lock_guard held(lock_);
    const auto now = clock_();
    made(*governor_, routing_state_, now);
    on_called(now);
  }
  // Takes the lock, for those who only look.
  template <typename Look>
  void inspect(Look made) const {
    const std::lock_guard held(lock_);
    made();
  }
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
  void publish(Nanos now);
  void run_timers(const std::function<void()>& look, Nanos every);

  const Clock clock_;
  ControllerFrontend& frontend_;
  const Nanos gather_;
  // Never held while anything is read or written.
  mutable std::mutex lock_;
  routing_state::RoutingState routing_state_;
  TimerQueue timers_;
  std::vector<RequestAcknowledgement> marks_;
  bool withdrawn_ = false;  // anybody, either way, since the last version
  std::optional<Nanos> publish_at_;
  std::unique_ptr<record::RecordingController> governor_;
  std::condition_variable time_changed_;
  bool stopping_ = false;
  net::Thread timekeeper_;
};

}  // namespace ospreypost::control_plane
