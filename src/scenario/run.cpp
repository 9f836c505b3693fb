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

constexpr auto kLead = 1500ms;  // for proxies to get their tables, before there is traffic

Nanos now() { return std::chrono::steady_clock::now().time_since_epoch(); }

void sleep_until(Nanos at) {
  const timespec until{at.count() / 1'000'000'000, at.count() % 1'000'000'000};
  while (::clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &until, nullptr) == EINTR) {
  }
}

std::filesystem::path make_folder() {
  auto pattern = (std::filesystem::temp_directory_path() / "ospreypost-day-XXXXXX").string();
  if (!::mkdtemp(pattern.data())) throw net::Error("no folder for the day");
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

// What bursts bring beyond the usual: drawn apart, so that a day without them stays as it was.
void add_bursts(const Scenario& script, const config::Config& config, std::vector<Arrival>& arrivals) {
  std::mt19937 chance(script.seed + 1);
  double usual = 0;
  for (const auto& proxy : config.proxies.known) usual += proxy.usual_rate;
  for (const auto& burst : script.troubles) {
    if (burst.kind != TroubleKind::burst || burst.factor <= 1) continue;
    const double rise = std::max(1e-3, std::chrono::duration<double>(burst.second).count());
    const double lasts = std::chrono::duration<double>(burst.lasts).count();
    for (const auto& proxy : config.proxies.known) {
      for (const auto& traffic : script.traffic) {
        const double most = (burst.factor - 1) * traffic.rate * proxy.usual_rate / std::max(1e-9, usual);
        if (most <= 0) continue;
        std::exponential_distribution<double> gap(most);
        std::uniform_real_distribution<double> share(0, 1);
        for (double at = gap(chance); at < lasts; at += gap(chance)) {
          const bool comes = share(chance) < std::min({1.0, at / rise, (lasts - at) / rise});
          const Nanos moment = burst.at + Nanos(std::llround(at * 1e9));
          if (comes && moment < script.length)
            arrivals.push_back({moment, proxy.name, class_of(config, traffic.name), 0});
        }
      }
    }
  }
}

// Poisson streams of all proxies and classes, merged; the seed decides.
std::vector<Arrival> arrivals_of(const Scenario& script, const config::Config& config) {
  std::mt19937 chance(script.seed);
  std::vector<Arrival> arrivals;
  double usual = 0;
  for (const auto& proxy : config.proxies.known) usual += proxy.usual_rate;
  for (const auto& proxy : config.proxies.known) {
    for (const auto& traffic : script.traffic) {
      const double rate = traffic.rate * proxy.usual_rate / std::max(1e-9, usual);
      if (rate <= 0) continue;
      const auto cls = class_of(config, traffic.name);
      std::exponential_distribution<double> gap(rate);
      for (double at = gap(chance); Nanos(std::llround(at * 1e9)) < script.length; at += gap(chance))
        arrivals.push_back({Nanos(std::llround(at * 1e9)), proxy.name, cls, 0});
    }
  }
  add_bursts(script, config, arrivals);
  std::stable_sort(arrivals.begin(), arrivals.end(), [](auto& a, auto& b) { return a.at < b.at; });
  for (std::size_t n = 0; n < arrivals.size(); ++n) arrivals[n].id = n + 1;
  return arrivals;
}

struct Step {
  Nanos at{};
  std::string what;
  std::function<void()> act;
};

class Run {
 public:
  Run(const Scenario& script, const RunOptions& options)
      : script_(script),
        options_(options),
        config_(config::read_config(script.governor_path)),
        folder_(options.folder.empty() ? make_folder() : std::filesystem::path(options.folder)),
        config_path_((folder_ / "governor.xml").string()) {
    check_names(script, config_);
    std::filesystem::create_directories(folder_);
    stage_.emplace(script, config_, folder_, trace_, options.defects);
    const auto original = config::read_file(script.governor_path);
    for (const std::size_t number : {1, 2}) {
      auto text = stage_->configuration(original, script.governor_path, number);
      if (options.change_configuration) text = options.change_configuration(std::move(text));
      std::ofstream(number == 1 ? config_path_ : config_path_ + ".2") << text;
    }
  }
  ~Run() {
    std::error_code ignored;
    if (options_.folder.empty()) std::filesystem::remove_all(folder_, ignored);
  }

  ScenarioResult play() {
    if (options_.equal_weights) {
      stage_->start_with_equal_weights();
    } else {
      stage_->start_receivers(options_.program);
      raise_governor();
      stage_->start();
    }
    begin_ = now() + kLead;
    const auto steps = steps_of();
    const auto arrivals = arrivals_of(script_, config_);
    net::Thread hand("stage-hand", [&] { play_steps(steps); });
    for (const auto& arrival : arrivals) {
      sleep_until(begin_ + arrival.at);
      stage_->proxy(arrival.proxy).take(arrival.id, arrival.cls);
    }
    sleep_until(begin_ + script_.length);
    hand.join();
    Nanos longest{};
    for (const auto& cls : config_.settings.classes) longest = std::max(longest, cls.request_deadline);
    sleep_until(begin_ + script_.length + longest);
    const auto end = now();
    if (governor_) governor_->pause(false);  // it may still stand, and must be asked
    count_waiting();
    ScenarioResult played;
    played.stop_duration = governor_ ? governor_->stop() : Nanos{};
    trace_.add(checker::GovernorStatus{now(), false});
    second_.reset();
    stage_->stop();
    const auto limits = limits_of();
    played.check_result = checker::check_invariants(trace_, limits, end, worst_waiting_);
    played.timeline = timeline_;
    played.service_by_second = checker::service_by_second(trace_, limits, begin_, begin_ + script_.length);
    played.folder = folder_.string();
    return played;
  }

 private:
  void raise_governor() {
    if (options_.equal_weights) return;
    governor_.emplace(options_.program, std::vector<std::string>{"serve", config_path_});
    trace_.add(checker::GovernorStatus{now(), true});
  }

  // What it is told meanwhile it learns when it goes on.
  void hold_governor(bool still) {
    if (!governor_) return;
    governor_->pause(still);
    trace_.add(checker::GovernorStatus{now(), !still});
  }

  void count_waiting() {
    if (!governor_) return;
    try {
      http::Request request;
      request.target = "/versions";
      const auto got = http::fetch(stage_->reports(), request, net::Steady::now() + 2s);
      const auto rows = nlohmann::json::parse(got.body);
      worst_waiting_ = std::max(worst_waiting_, rows.at(0).value("worst-waiting", 0.0));
    } catch (const std::exception&) {
      worst_waiting_ = 1e18;  // a governor that does not answer keeps no rule
    }
  }

  // As far as the governor lets it.
  void go_back(const std::string& proxy) {
    http::Request request;
    request.target = "/generations/" + proxy;
    const auto until = net::Steady::now() + 2s;
    const auto state = nlohmann::json::parse(http::fetch(stage_->reports(), request, until).body);
    request.method = "POST";
    for (const auto& stamp : state.at("kept")) {
      request.target = "/rollback/" + proxy + "?version=" + stamp.at(1).dump();
      if (http::fetch(stage_->reports(), request, until).status == 200) return;
    }
    throw net::Error("there was no way back for " + proxy);
  }

  std::vector<Step> steps_of() {
    std::vector<Step> steps;
    const auto add = [&](Nanos at, const std::string& what, std::function<void()> act) {
      if (at < script_.length) steps.push_back({at, what, std::move(act)});
    };
    auto troubles = script_.troubles;
    for (auto& trouble : drawn(script_)) troubles.push_back(std::move(trouble));
    for (const auto& trouble : troubles) add_trouble(trouble, add);
    std::stable_sort(steps.begin(), steps.end(), [](auto& a, auto& b) { return a.at < b.at; });
    return steps;
  }

  template <typename Add>
  void add_trouble(const Fault& trouble, Add add) {
    auto& roll = stage_->roll();
    const auto end = trouble.at + trouble.lasts;
    const auto back = [this, &roll](const std::string& name) {
      stage_->replica(name).start(true);
      roll.list(name, checker::EndpointPhase::ready, true);
    };
    // Something that holds from its beginning to its end.
    const auto each = [&](const std::string& begins, const std::string& ends, auto hold) {
      for (const auto& name : trouble.whom) {
        add(trouble.at, begins + name, [hold, name] { hold(name, true); });
        add(end, ends + name, [hold, name] { hold(name, false); });
      }
    };
    const auto listed_gone = [&roll](const std::string& name) {
      roll.list(name, checker::EndpointPhase::gone, false);
    };
    // A replica leaves in two steps, and is back cold.
    const auto leaves = [&](const std::string& begins, const std::string& goes, auto begin, auto go) {
      for (const auto& name : trouble.whom) {
        add(trouble.at, begins + name, [begin, name] { begin(name); });
        add(trouble.at + trouble.second, goes + name, [go, name] { go(name); });
        add(end, "back cold " + name, [back, name] { back(name); });
      }
    };
    switch (trouble.kind) {
      case TroubleKind::crash:
        leaves(
            "crash ", "gone from the roll ", [this](const auto& name) { stage_->replica(name).crash(); },
            listed_gone);
        return;
      case TroubleKind::drain:
        leaves(
            "drain ", "leaves ",
            [&roll](const auto& name) { roll.list(name, checker::EndpointPhase::draining, false); },
            [this, listed_gone](const auto& name) {
              listed_gone(name);
              stage_->replica(name).crash();
            });
        return;
      case TroubleKind::cut:
        each("cut ", "whole again ", [this](const auto& name, bool cut) { stage_->cut(name, cut); });
        return;
      case TroubleKind::receiver_killed:
        each("receiver killed ", "receiver starts ", [this](const auto& name, bool killed) {
          killed ? stage_->kill_receiver(name) : stage_->start_receiver(options_.program, name);
        });
        return;
      case TroubleKind::push_fault:
        each("pushes " + trouble.becomes + " ", "pushes prompt ",
             [this, carriage = carriage_of(trouble.becomes), by = trouble.second](const auto& name,
                                                                                  bool faulty) {
               stage_->push_fault(name, faulty ? carriage : fakes::LinkFault::prompt, faulty ? by : Nanos{});
             });
        return;
      case TroubleKind::deaf:
        each("deaf ", "reads again ", [this](const auto& name, bool deaf) { stage_->be_deaf(name, deaf); });
        return;
      case TroubleKind::way_back:
        for (const auto& name : trouble.whom)
          add(trouble.at, "way back " + name, [this, name] { go_back(name); });
        return;
      case TroubleKind::disk_full:
        each("disk full ", "room again ", [this](const auto& name, bool full) {
          if (!stage_->fill_disk(name, full) && governor_) governor_->fill_disk(full);
        });
        return;
      case TroubleKind::second_governor:
        add(trouble.at, "second governor starts", [this] {
          second_.emplace(options_.program, std::vector<std::string>{"serve", config_path_ + ".2"});
        });
        add(end, "second governor killed", [this] { second_.reset(); });
        return;
      case TroubleKind::governor_killed:
        add(trouble.at, "governor killed", [this] {
          count_waiting();
          governor_.reset();
          trace_.add(checker::GovernorStatus{now(), false});
        });
        add(end, "governor starts", [this] { raise_governor(); });
        return;
      case TroubleKind::vanish:
        leaves(
            "vanish ", "gone from the roll ",
            [this](const auto& name) { stage_->replica(name).suffer(fakes::Fault::hang, 1); }, listed_gone);
        return;
      case TroubleKind::governor_still:
        add(trouble.at, "governor stands still", [this] { hold_governor(true); });
        add(end, "governor goes on", [this] { hold_governor(false); });
        return;
      case TroubleKind::proxy_still:
        each("still ", "goes on ", [this](const auto& name, bool still) { stage_->be_still(name, still); });
        return;
      case TroubleKind::report_late:
        each("reports late ", "reports prompt ", [this, by = trouble.second](const auto& name, bool late) {
          stage_->proxy(name).report_late(late ? by : Nanos{});
        });
        return;
      case TroubleKind::zone_cut:
        each("zone cut off ", "zone whole again ",
             [this](const auto& zone, bool cut) { stage_->cut_zone(zone, cut); });
        return;
      case TroubleKind::burst:
        add(trouble.at, "burst", [] {});
        add(end, "burst over", [] {});
        return;
      case TroubleKind::roll:
        add(trouble.at, "roll " + trouble.becomes,
            [&roll, becomes = trouble.becomes] { roll.spoil(becomes); });
        add(end, "roll whole again", [&roll] { roll.spoil(""); });
        return;
      default:
        break;
    }
    each(trouble.text + " ", "well again ",
         [this, fault = fault_of(trouble.kind), factor = trouble.factor](const auto& name, bool suffers) {
           stage_->replica(name).suffer(suffers ? fault : fakes::Fault::none, suffers ? factor : 1);
         });
  }

  static fakes::Fault fault_of(TroubleKind kind) {
    switch (kind) {
      case TroubleKind::hang:
        return fakes::Fault::hang;
      case TroubleKind::refuse:
        return fakes::Fault::refuse;
      case TroubleKind::fast_errors:
        return fakes::Fault::fast_errors;
      case TroubleKind::pause:
        return fakes::Fault::pause;
      case TroubleKind::slow:
        return fakes::Fault::slow;
      case TroubleKind::silent:
        return fakes::Fault::silent;
      default:
        return fakes::Fault::none;
    }
  }

  static fakes::LinkFault carriage_of(const std::string& word) {
    using fakes::LinkFault;
    if (word == "late") return LinkFault::late;
    if (word == "twice") return LinkFault::twice;
    if (word == "older") return LinkFault::older;
    return word == "torn" ? LinkFault::torn : LinkFault::slow;
  }

  void play_steps(const std::vector<Step>& steps) {
    for (const auto& step : steps) {
      sleep_until(begin_ + step.at);
      step.act();
      const auto at = now() - begin_;
      timeline_.emplace_back(at, step.what);
      if (options_.on_event) options_.on_event(at, step.what);
    }
  }

  checker::Limits limits_of() const {
    auto limits = terms::limits_of(config_);
    limits.vouched.clear();
    for (const auto& proxy : config_.proxies.known) {
      const auto behind = [&](const ResolverBetween& between) {
        return std::find(between.proxies.begin(), between.proxies.end(), proxy.name) != between.proxies.end();
      };
      if (proxy.vouched && std::none_of(script_.resolvers.begin(), script_.resolvers.end(), behind))
        limits.vouched.push_back(proxy.name);
    }
    return limits;
  }

  const Scenario& script_;
  const RunOptions& options_;
  const config::Config config_;
  const std::filesystem::path folder_;
  const std::string config_path_;
  checker::Trace trace_;
  std::optional<TestEnvironment> stage_;
  std::optional<ChildProcess> governor_, second_;
  Nanos begin_{};
  double worst_waiting_ = 0;
  std::vector<std::pair<Nanos, std::string>> timeline_;
};

}  // namespace

ScenarioResult run_scenario(const Scenario& script, const RunOptions& options) {
  return Run(script, options).play();
}

}  // namespace ospreypost::scenario
