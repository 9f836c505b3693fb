#include "scenario/run.h"

#include <stdlib.h>

#include <algorithm>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>

#include "http/http.h"
#include "scenario/child_process.h"
#include "scenario/test_environment.h"
#include "terms/limits.h"

namespace ospreypost::scenario {
namespace {

using namespace std::chrono_literals;

// Time for the proxies to receive their first tables before the traffic starts.
constexpr auto kTableLeadTime = 1500ms;

Nanos now() { return std::chrono::steady_clock::now().time_since_epoch(); }

void sleep_until(Nanos time) {
  const timespec until{time.count() / 1'000'000'000, time.count() % 1'000'000'000};
  while (::clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &until, nullptr) == EINTR) {
  }
}

std::filesystem::path make_temporary_folder() {
  auto pattern = (std::filesystem::temp_directory_path() / "ospreypost-day-XXXXXX").string();
  if (!::mkdtemp(pattern.data())) throw net::Error("cannot create a temporary folder for the scenario");
  return pattern;
}

struct Arrival {
  Nanos at{};
  std::string proxy;
  std::size_t cls = 0;
  std::uint64_t id = 0;
};

std::size_t class_of(const config::Config& config, const std::string& name) {
  return static_cast<std::size_t>(std::find(config.classes.begin(), config.classes.end(), name) -
                                  config.classes.begin());
}

// Adds the arrivals of bursts. They are drawn from a generator of their own, so that the other arrivals are
// the same as in the scenario without bursts.
void add_bursts(const Scenario& scenario, const config::Config& config, std::vector<Arrival>& arrivals) {
  std::mt19937 generator(scenario.seed + 1);
  double total_usual_rate = 0;
  for (const auto& proxy : config.proxies.known) total_usual_rate += proxy.usual_rate;
  for (const auto& burst : scenario.faults) {
    if (burst.kind != FaultKind::burst || burst.factor <= 1) continue;
    const double rise = std::max(1e-3, std::chrono::duration<double>(burst.delay).count());
    const double duration = std::chrono::duration<double>(burst.duration).count();
    for (const auto& proxy : config.proxies.known) {
      for (const auto& traffic : scenario.traffic) {
        const double extra_rate =
            (burst.factor - 1) * traffic.rate * proxy.usual_rate / std::max(1e-9, total_usual_rate);
        if (extra_rate <= 0) continue;
        std::exponential_distribution<double> gap(extra_rate);
        std::uniform_real_distribution<double> share(0, 1);
        for (double at = gap(generator); at < duration; at += gap(generator)) {
          const bool accepted = share(generator) < std::min({1.0, at / rise, (duration - at) / rise});
          const Nanos time = burst.at + Nanos(std::llround(at * 1e9));
          if (accepted && time < scenario.length)
            arrivals.push_back({time, proxy.name, class_of(config, traffic.name), 0});
        }
      }
    }
  }
}

// Draws Poisson arrivals for each proxy and class with the seed of the scenario, and merges them in order of
// time.
std::vector<Arrival> draw_arrivals(const Scenario& scenario, const config::Config& config) {
  std::mt19937 generator(scenario.seed);
  std::vector<Arrival> arrivals;
  double total_usual_rate = 0;
  for (const auto& proxy : config.proxies.known) total_usual_rate += proxy.usual_rate;
  for (const auto& proxy : config.proxies.known) {
    for (const auto& traffic : scenario.traffic) {
      const double rate = traffic.rate * proxy.usual_rate / std::max(1e-9, total_usual_rate);
      if (rate <= 0) continue;
      const auto cls = class_of(config, traffic.name);
      std::exponential_distribution<double> gap(rate);
      for (double at = gap(generator); Nanos(std::llround(at * 1e9)) < scenario.length; at += gap(generator))
        arrivals.push_back({Nanos(std::llround(at * 1e9)), proxy.name, cls, 0});
    }
  }
  add_bursts(scenario, config, arrivals);
  std::stable_sort(arrivals.begin(), arrivals.end(), [](auto& a, auto& b) { return a.at < b.at; });
  for (std::size_t n = 0; n < arrivals.size(); ++n) arrivals[n].id = n + 1;
  return arrivals;
}

struct Step {
  Nanos at{};
  std::string description;
  std::function<void()> action;
};

class ScenarioRun {
 public:
  ScenarioRun(const Scenario& scenario, const RunOptions& options)
      : scenario_(scenario),
        options_(options),
        config_(config::read_config(scenario.governor_path)),
        folder_(options.folder.empty() ? make_temporary_folder() : std::filesystem::path(options.folder)),
        config_path_((folder_ / "governor.xml").string()) {
    check_names(scenario, config_);
    std::filesystem::create_directories(folder_);
    environment_.emplace(scenario, config_, folder_, trace_, options.defects);
    const auto original = config::read_file(scenario.governor_path);
    for (const std::size_t number : {1, 2}) {
      auto text = environment_->configuration(original, scenario.governor_path, number);
      if (options.change_configuration) text = options.change_configuration(std::move(text));
      std::ofstream(number == 1 ? config_path_ : config_path_ + ".2") << text;
    }
  }
  ~ScenarioRun() {
    std::error_code ignored;
    if (options_.folder.empty()) std::filesystem::remove_all(folder_, ignored);
  }

  ScenarioResult run() {
    if (options_.equal_weights) {
      environment_->start_with_equal_weights();
    } else {
      environment_->start_receivers(options_.program);
      start_governor();
      environment_->start();
    }
    begin_ = now() + kTableLeadTime;
    const auto steps = make_steps();
    const auto arrivals = draw_arrivals(scenario_, config_);
    net::Thread step_thread("scenario-steps", [&] { run_steps(steps); });
    for (const auto& arrival : arrivals) {
      sleep_until(begin_ + arrival.at);
      environment_->proxy(arrival.proxy).submit(arrival.id, arrival.cls);
    }
    sleep_until(begin_ + scenario_.length);
    step_thread.join();
    Nanos longest_deadline{};
    for (const auto& cls : config_.settings.classes)
      longest_deadline = std::max(longest_deadline, cls.request_deadline);
    sleep_until(begin_ + scenario_.length + longest_deadline);
    const auto end = now();
    if (governor_) governor_->pause(false);  // resumed, since a paused process can't answer or exit
    read_max_queued_entries();
    ScenarioResult result;
    result.stop_duration = governor_ ? governor_->stop() : Nanos{};
    trace_.add(checker::GovernorStatus{now(), false});
    second_governor_.reset();
    environment_->stop();
    const auto limits = limits_of();
    result.check_result = checker::check_invariants(trace_, limits, end, max_queued_entries_);
    result.timeline = timeline_;
    result.service_by_second = checker::service_by_second(trace_, limits, begin_, begin_ + scenario_.length);
    result.folder = folder_.string();
    return result;
  }

 private:
  void start_governor() {
    if (options_.equal_weights) return;
    governor_.emplace(options_.program, std::vector<std::string>{"serve", config_path_});
    trace_.add(checker::GovernorStatus{now(), true});
  }

  // Suspends or resumes the control plane process. Messages that arrive while it is suspended are processed
  // when it is resumed.
  void pause_governor(bool paused) {
    if (!governor_) return;
    governor_->pause(paused);
    trace_.add(checker::GovernorStatus{now(), !paused});
  }

  void read_max_queued_entries() {
    if (!governor_) return;
    try {
      http::Request request;
      request.target = "/versions";
      const auto response =
          http::fetch(environment_->reports(), request, http::kMaxStatusBytes, net::Steady::now() + 2s);
      const auto rows = nlohmann::json::parse(response.body);
      max_queued_entries_ = std::max(max_queued_entries_, rows.at(0).value("worst-waiting", 0.0));
    } catch (const std::exception&) {
      max_queued_entries_ = 1e18;  // a control plane that doesn't answer breaks the rule about its queue
    }
  }

  // Rolls the proxy back to the first of its kept generations for which the control plane accepts the
  // rollback.
  void roll_back(const std::string& proxy) {
    http::Request request;
    request.target = "/generations/" + proxy;
    const auto until = net::Steady::now() + 2s;
    const auto state = nlohmann::json::parse(
        http::fetch(environment_->reports(), request, http::kMaxStatusBytes, until).body);
    request.method = "POST";
    for (const auto& generation : state.at("kept")) {
      request.target = "/rollback/" + proxy + "?version=" + generation.at(1).dump();
      if (http::fetch(environment_->reports(), request, http::kMaxStatusBytes, until).status == 200) return;
    }
    throw net::Error("the control plane accepted no rollback for proxy " + proxy);
  }

  std::vector<Step> make_steps() {
    std::vector<Step> steps;
    const auto add = [&](Nanos at, const std::string& description, std::function<void()> action) {
      if (at < scenario_.length) steps.push_back({at, description, std::move(action)});
    };
    auto faults = scenario_.faults;
    for (auto& fault : draw_crash_faults(scenario_)) faults.push_back(std::move(fault));
    for (const auto& fault : faults) add_fault_steps(fault, add);
    std::stable_sort(steps.begin(), steps.end(), [](auto& a, auto& b) { return a.at < b.at; });
    return steps;
  }

  template <typename Add>
  void add_fault_steps(const Fault& fault, Add add) {
    auto& endpoint_list = environment_->endpoint_list();
    const auto end = fault.at + fault.duration;
    const auto start_cold = [this, &endpoint_list](const std::string& name) {
      environment_->replica(name).start(true);
      endpoint_list.set_phase(name, checker::EndpointPhase::ready, true);
    };
    // Adds one step at the start and one at the end of the fault, for each target.
    const auto add_begin_and_end = [&](const std::string& begin_text, const std::string& end_text,
                                       auto apply) {
      for (const auto& name : fault.targets) {
        add(fault.at, begin_text + name, [apply, name] { apply(name, true); });
        add(end, end_text + name, [apply, name] { apply(name, false); });
      }
    };
    const auto remove_from_list = [&endpoint_list](const std::string& name) {
      endpoint_list.set_phase(name, checker::EndpointPhase::gone, false);
    };
    // Adds three steps for each target: the fault begins, the replica leaves the endpoint list after `delay`,
    // and it starts cold at the end of the fault.
    const auto add_departure = [&](const std::string& begin_text, const std::string& leave_text, auto begin,
                                   auto leave) {
      for (const auto& name : fault.targets) {
        add(fault.at, begin_text + name, [begin, name] { begin(name); });
        add(fault.at + fault.delay, leave_text + name, [leave, name] { leave(name); });
        add(end, "started cold " + name, [start_cold, name] { start_cold(name); });
      }
    };
    switch (fault.kind) {
      case FaultKind::crash:
        add_departure(
            "crash ", "removed from the endpoint list ",
            [this](const auto& name) { environment_->replica(name).crash(); }, remove_from_list);
        return;
      case FaultKind::drain:
        add_departure(
            "drain ", "left the endpoint list ",
            [&endpoint_list](const auto& name) {
              endpoint_list.set_phase(name, checker::EndpointPhase::draining, false);
            },
            [this, remove_from_list](const auto& name) {
              remove_from_list(name);
              environment_->replica(name).crash();
            });
        return;
      case FaultKind::cut:
        add_begin_and_end("cut ", "connection restored ",
                          [this](const auto& name, bool cut) { environment_->cut(name, cut); });
        return;
      case FaultKind::receiver_killed:
        add_begin_and_end("receiver killed ", "receiver started ", [this](const auto& name, bool killed) {
          killed ? environment_->kill_receiver(name) : environment_->start_receiver(options_.program, name);
        });
        return;
      case FaultKind::push_fault:
        add_begin_and_end("pushes " + fault.becomes + " ", "pushes normal ",
                          [this, link_fault = link_fault_of(fault.becomes), delay = fault.delay](
                              const auto& name, bool faulty) {
                            environment_->push_fault(name, faulty ? link_fault : fakes::LinkFault::prompt,
                                                     faulty ? delay : Nanos{});
                          });
        return;
      case FaultKind::deaf:
        add_begin_and_end(
            "ignores new tables ", "reads new tables again ",
            [this](const auto& name, bool ignored) { environment_->ignore_files(name, ignored); });
        return;
      case FaultKind::way_back:
        for (const auto& name : fault.targets)
          add(fault.at, "rollback " + name, [this, name] { roll_back(name); });
        return;
      case FaultKind::disk_full:
        add_begin_and_end("disk full ", "disk writable again ", [this](const auto& name, bool full) {
          if (!environment_->fill_disk(name, full) && governor_) governor_->fill_disk(full);
        });
        return;
      case FaultKind::second_governor:
        add(fault.at, "second governor started", [this] {
          second_governor_.emplace(options_.program, std::vector<std::string>{"serve", config_path_ + ".2"});
        });
        add(end, "second governor killed", [this] { second_governor_.reset(); });
        return;
      case FaultKind::governor_killed:
        add(fault.at, "governor killed", [this] {
          read_max_queued_entries();
          governor_.reset();
          trace_.add(checker::GovernorStatus{now(), false});
        });
        add(end, "governor started", [this] { start_governor(); });
        return;
      case FaultKind::vanish:
        add_departure(
            "vanish ", "removed from the endpoint list ",
            [this](const auto& name) { environment_->replica(name).set_fault(fakes::Fault::hang, 1); },
            remove_from_list);
        return;
      case FaultKind::governor_still:
        add(fault.at, "governor paused", [this] { pause_governor(true); });
        add(end, "governor resumed", [this] { pause_governor(false); });
        return;
      case FaultKind::proxy_still:
        add_begin_and_end("paused ", "resumed ",
                          [this](const auto& name, bool paused) { environment_->pause_proxy(name, paused); });
        return;
      case FaultKind::report_late:
        add_begin_and_end("reports delayed ", "reports no longer delayed ",
                          [this, delay = fault.delay](const auto& name, bool late) {
                            environment_->proxy(name).set_report_delay(late ? delay : Nanos{});
                          });
        return;
      case FaultKind::zone_cut:
        add_begin_and_end("zone cut off ", "zone reconnected ",
                          [this](const auto& zone, bool cut) { environment_->cut_zone(zone, cut); });
        return;
      case FaultKind::burst:
        add(fault.at, "burst", [] {});
        add(end, "burst ended", [] {});
        return;
      case FaultKind::roll:
        add(fault.at, "endpoint list file " + fault.becomes,
            [&endpoint_list, becomes = fault.becomes] { endpoint_list.damage(becomes); });
        add(end, "endpoint list file restored", [&endpoint_list] { endpoint_list.damage(""); });
        return;
      default:
        break;
    }
    add_begin_and_end(fault.text + " ", "recovered ",
                      [this, replica_fault = replica_fault_of(fault.kind), factor = fault.factor](
                          const auto& name, bool active) {
                        environment_->replica(name).set_fault(active ? replica_fault : fakes::Fault::none,
                                                              active ? factor : 1);
                      });
  }

  static fakes::Fault replica_fault_of(FaultKind kind) {
    switch (kind) {
      case FaultKind::hang:
        return fakes::Fault::hang;
      case FaultKind::refuse:
        return fakes::Fault::refuse;
      case FaultKind::fast_errors:
        return fakes::Fault::fast_errors;
      case FaultKind::pause:
        return fakes::Fault::pause;
      case FaultKind::slow:
        return fakes::Fault::slow;
      case FaultKind::silent:
        return fakes::Fault::silent;
      default:
        return fakes::Fault::none;
    }
  }

  static fakes::LinkFault link_fault_of(const std::string& word) {
    using fakes::LinkFault;
    if (word == "late") return LinkFault::late;
    if (word == "twice") return LinkFault::twice;
    if (word == "older") return LinkFault::older;
    return word == "torn" ? LinkFault::torn : LinkFault::slow;
  }

  void run_steps(const std::vector<Step>& steps) {
    for (const auto& step : steps) {
      sleep_until(begin_ + step.at);
      step.action();
      const auto at = now() - begin_;
      timeline_.emplace_back(at, step.description);
      if (options_.on_event) options_.on_event(at, step.description);
    }
  }

  checker::Limits limits_of() const {
    auto limits = terms::limits_of(config_);
    limits.vouched.clear();
    for (const auto& proxy : config_.proxies.known) {
      const auto behind = [&](const CachingResolver& resolver) {
        return std::find(resolver.proxies.begin(), resolver.proxies.end(), proxy.name) !=
               resolver.proxies.end();
      };
      if (proxy.vouched && std::none_of(scenario_.resolvers.begin(), scenario_.resolvers.end(), behind))
        limits.vouched.push_back(proxy.name);
    }
    return limits;
  }

  const Scenario& scenario_;
  const RunOptions& options_;
  const config::Config config_;
  const std::filesystem::path folder_;
  const std::string config_path_;
  checker::Trace trace_;
  std::optional<TestEnvironment> environment_;
  std::optional<ChildProcess> governor_, second_governor_;
  Nanos begin_{};
  double max_queued_entries_ = 0;
  std::vector<std::pair<Nanos, std::string>> timeline_;
};

}  // namespace

ScenarioResult run_scenario(const Scenario& scenario, const RunOptions& options) {
  return ScenarioRun(scenario, options).run();
}

}  // namespace ospreypost::scenario
