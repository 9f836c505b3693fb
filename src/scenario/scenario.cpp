#include "scenario/scenario.h"

#include <algorithm>
#include <filesystem>
#include <random>

#include "scenario/composed.h"
#include "schemas.h"

namespace ospreypost::scenario {
namespace {

using config::Element;

constexpr std::pair<const char*, FaultKind> kFaultKinds[] = {{"crash", FaultKind::crash},
                                                             {"hang", FaultKind::hang},
                                                             {"refuse", FaultKind::refuse},
                                                             {"fast-errors", FaultKind::fast_errors},
                                                             {"pause", FaultKind::pause},
                                                             {"slow", FaultKind::slow},
                                                             {"silent", FaultKind::silent},
                                                             {"drain", FaultKind::drain},
                                                             {"receiver-killed", FaultKind::receiver_killed},
                                                             {"cut", FaultKind::cut},
                                                             {"push-fault", FaultKind::push_fault},
                                                             {"deaf", FaultKind::deaf},
                                                             {"way-back", FaultKind::way_back},
                                                             {"disk-full", FaultKind::disk_full},
                                                             {"second-governor", FaultKind::second_governor},
                                                             {"governor-killed", FaultKind::governor_killed},
                                                             {"governor-still", FaultKind::governor_still},
                                                             {"proxy-still", FaultKind::proxy_still},
                                                             {"report-late", FaultKind::report_late},
                                                             {"vanish", FaultKind::vanish},
                                                             {"zone-cut", FaultKind::zone_cut},
                                                             {"burst", FaultKind::burst},
                                                             {"roll", FaultKind::roll}};

bool targets_proxies(FaultKind kind) {
  return kind == FaultKind::cut || kind == FaultKind::receiver_killed || kind == FaultKind::push_fault ||
         kind == FaultKind::deaf || kind == FaultKind::way_back || kind == FaultKind::disk_full ||
         kind == FaultKind::proxy_still || kind == FaultKind::report_late;
}

Fault read_fault(const Element& element) {
  Fault fault;
  for (const auto& [name, kind] : kFaultKinds) {
    if (element.name() == name) fault.kind = kind;
  }
  fault.text = element.name();
  fault.at = element.time("at");
  fault.duration = element.time("for");
  if (fault.kind == FaultKind::crash || fault.kind == FaultKind::vanish) fault.delay = element.time("notice");
  if (fault.kind == FaultKind::drain) fault.delay = element.time("leaves");
  if (fault.delay > fault.duration)
    element.fail("ends before its second step (`notice` or `leaves` exceeds `for`)");
  if (fault.kind == FaultKind::burst) fault.delay = element.time("rise");
  if (fault.kind == FaultKind::slow || fault.kind == FaultKind::burst)
    fault.factor = element.number("factor");
  if (fault.kind == FaultKind::fast_errors) fault.factor = element.number("share");
  if (fault.kind == FaultKind::report_late) fault.delay = element.time("by");
  if (fault.kind == FaultKind::roll) fault.becomes = element.text("becomes");
  if (fault.kind == FaultKind::push_fault) {
    fault.becomes = element.text("becomes");
    fault.delay = element.time("by");
  }
  if (fault.kind == FaultKind::zone_cut) {
    fault.targets = {element.text("zone")};
  } else if (fault.kind != FaultKind::burst) {
    fault.targets = element.words(targets_proxies(fault.kind) ? "proxies" : "replicas");
  }
  return fault;
}

CrashSchedule read_crash_schedule(const Element& element) {
  CrashSchedule schedule;
  schedule.begin = element.time("from");
  schedule.end = element.time("to");
  schedule.interval = element.time("every");
  schedule.downtime = element.time("off");
  schedule.max_delay = element.time("within");
  schedule.governor_fraction = element.number("governor");
  schedule.replicas = element.words("replicas");
  if (element.find("proxies")) schedule.proxies = element.words("proxies");
  if (schedule.downtime + schedule.max_delay >= schedule.interval)
    element.fail("needs an interval longer than downtime and delay together (every > off + within)");
  if (schedule.replicas.empty()) element.fail("names no replica to drain");
  if (schedule.governor_fraction < 1 && schedule.proxies.empty())
    element.fail("names no proxy whose receiver can be killed");
  return schedule;
}

void read_fleet(const Element& fleet, Scenario& scenario) {
  for (const auto& element : fleet.children()) {
    if (element.name() == "replicas") {
      scenario.replicas.push_back({element.text("zone"), element.find("kind").value_or(""),
                                   static_cast<std::size_t>(element.number("count")), element.number("cores"),
                                   element.number("speed")});
    } else if (element.name() == "resolver") {
      scenario.resolvers.push_back({element.words("proxies"), element.number("factor")});
    } else {
      scenario.client_groups.push_back({element.text("zone"), element.text("class"),
                                        static_cast<std::size_t>(element.number("count")),
                                        element.time("every"), element.time("hold")});
    }
  }
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

Scenario parse_scenario(std::string_view text, const std::string& label, const std::string& folder) {
  const config::Document document(text, label, config::kDaySchema);
  const auto root = document.root();
  Scenario scenario;
  scenario.name = root.text("name");
  scenario.length = root.time("length");
  scenario.seed = static_cast<std::uint32_t>(root.number("seed"));
  scenario.governor_path = (std::filesystem::path(folder) / root.text("governor")).string();
  if (scenario.length <= Nanos{} || scenario.length > std::chrono::hours(1))
    root.fail("length must be above 0 and at most 1 h");
  read_fleet(root.child("fleet"), scenario);
  for (const auto& cls : root.child("traffic").children())
    scenario.traffic.push_back({cls.text("name"), cls.number("rate"), cls.time("work")});
  if (const auto faults = root.find_child("troubles")) {
    for (const auto& element : faults->children()) {
      if (element.name() == "deaths") {
        scenario.crash_schedules.push_back(read_crash_schedule(element));
      } else if (is_composed(element)) {
        for (auto& fault : compose(element, scenario)) scenario.faults.push_back(std::move(fault));
      } else {
        scenario.faults.push_back(read_fault(element));
      }
    }
  }
  return scenario;
}

std::vector<Fault> draw_crash_faults(const Scenario& scenario) {
  std::vector<Fault> faults;
  std::mt19937 generator(scenario.seed);
  const auto one_of = [&](const std::vector<std::string>& names) {
    return names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(generator)];
  };
  for (const auto& schedule : scenario.crash_schedules) {
    std::size_t drain_number = 0;
    for (Nanos at = schedule.begin; at < schedule.end; at += schedule.interval, ++drain_number) {
      // The replicas drain in turn. Each replica is started again before its next drain.
      Fault drain;
      drain.kind = FaultKind::drain;
      drain.at = at;
      drain.duration = schedule.interval * (schedule.replicas.size() - 1);
      drain.delay = drain.duration;
      drain.targets = {schedule.replicas[drain_number % schedule.replicas.size()]};
      faults.push_back(drain);
      std::uniform_int_distribution<Nanos::rep> moment(0, schedule.max_delay.count());
      const bool hits_governor =
          std::uniform_real_distribution<double>(0, 1)(generator) < schedule.governor_fraction;
      Fault crash;
      crash.kind = hits_governor ? FaultKind::governor_killed : FaultKind::receiver_killed;
      crash.at = at + Nanos(moment(generator));
      crash.duration = schedule.downtime;
      if (!hits_governor) crash.targets = {one_of(schedule.proxies)};
      faults.push_back(crash);
    }
  }
  return faults;
}

Scenario read_scenario(const std::string& path) {
  return parse_scenario(config::read_file(path), path, std::filesystem::path(path).parent_path().string());
}

void check_names(const Scenario& scenario, const config::Config& config) {
  const auto require = [&](bool known, const std::string& what, const std::string& name) {
    if (!known)
      throw config::ConfigError("day " + scenario.name + ": there is no " + what + " '" + name + "'");
  };
  std::vector<std::string> replicas, proxies;
  for (const auto& proxy : config.proxies.known) proxies.push_back(proxy.name);
  for (const auto& group : scenario.replicas) {
    require(contains(config.zones, group.zone), "zone", group.zone);
    require(group.kind.empty() || contains(config.kinds, group.kind), "kind", group.kind);
    std::size_t in_zone = static_cast<std::size_t>(
        std::count_if(replicas.begin(), replicas.end(),
                      [&](const std::string& name) { return name.starts_with(group.zone + "-"); }));
    for (std::size_t n = 0; n < group.count; ++n)
      replicas.push_back(group.zone + "-" + std::to_string(++in_zone));
  }
  for (const auto& resolver : scenario.resolvers) {
    for (const auto& proxy : resolver.proxies) require(contains(proxies, proxy), "proxy", proxy);
  }
  for (const auto& group : scenario.client_groups) {
    require(contains(config.zones, group.zone), "zone", group.zone);
    require(contains(config.classes, group.cls), "class", group.cls);
  }
  for (const auto& traffic : scenario.traffic)
    require(contains(config.classes, traffic.name), "class", traffic.name);
  for (const auto& schedule : scenario.crash_schedules) {
    for (const auto& name : schedule.replicas) require(contains(replicas, name), "replica", name);
    for (const auto& name : schedule.proxies) {
      const auto known = std::find_if(config.proxies.known.begin(), config.proxies.known.end(),
                                      [&](const auto& proxy) { return proxy.name == name; });
      require(known != config.proxies.known.end() && known->receiver, "proxy with a receiver called", name);
    }
  }
  for (const auto& fault : scenario.faults) {
    if (fault.kind == FaultKind::zone_cut) {
      require(contains(config.zones, fault.targets.front()), "zone", fault.targets.front());
      continue;
    }
    const bool names_proxies = targets_proxies(fault.kind);
    for (const auto& name : fault.targets)
      require(contains(names_proxies ? proxies : replicas, name), names_proxies ? "proxy" : "replica", name);
  }
}

}  // namespace ospreypost::scenario
