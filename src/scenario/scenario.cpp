#include "scenario/scenario.h"

#include <algorithm>
#include <filesystem>
#include <random>

#include "scenario/composed.h"
#include "schemas.h"

namespace ospreypost::scenario {
namespace {

using config::Element;

constexpr std::pair<const char*, TroubleKind> kKinds[] = {{"crash", TroubleKind::crash},
                                                          {"hang", TroubleKind::hang},
                                                          {"refuse", TroubleKind::refuse},
                                                          {"fast-errors", TroubleKind::fast_errors},
                                                          {"pause", TroubleKind::pause},
                                                          {"slow", TroubleKind::slow},
                                                          {"silent", TroubleKind::silent},
                                                          {"drain", TroubleKind::drain},
                                                          {"receiver-killed", TroubleKind::receiver_killed},
                                                          {"cut", TroubleKind::cut},
                                                          {"push-fault", TroubleKind::push_fault},
                                                          {"deaf", TroubleKind::deaf},
                                                          {"way-back", TroubleKind::way_back},
                                                          {"disk-full", TroubleKind::disk_full},
                                                          {"second-governor", TroubleKind::second_governor},
                                                          {"governor-killed", TroubleKind::governor_killed},
                                                          {"governor-still", TroubleKind::governor_still},
                                                          {"proxy-still", TroubleKind::proxy_still},
                                                          {"report-late", TroubleKind::report_late},
                                                          {"vanish", TroubleKind::vanish},
                                                          {"zone-cut", TroubleKind::zone_cut},
                                                          {"burst", TroubleKind::burst},
                                                          {"roll", TroubleKind::roll}};

bool is_of_proxies(TroubleKind kind) {
  return kind == TroubleKind::cut || kind == TroubleKind::receiver_killed ||
         kind == TroubleKind::push_fault || kind == TroubleKind::deaf || kind == TroubleKind::way_back ||
         kind == TroubleKind::disk_full || kind == TroubleKind::proxy_still ||
         kind == TroubleKind::report_late;
}

Fault read_trouble(const Element& element) {
  Fault trouble;
  for (const auto& [name, kind] : kKinds) {
    if (element.name() == name) trouble.kind = kind;
  }
  trouble.text = element.name();
  trouble.at = element.time("at");
  trouble.lasts = element.time("for");
  if (trouble.kind == TroubleKind::crash || trouble.kind == TroubleKind::vanish)
    trouble.second = element.time("notice");
  if (trouble.kind == TroubleKind::drain) trouble.second = element.time("leaves");
  if (trouble.second > trouble.lasts) element.fail("is over before its second part");
  if (trouble.kind == TroubleKind::burst) trouble.second = element.time("rise");
  if (trouble.kind == TroubleKind::slow || trouble.kind == TroubleKind::burst)
    trouble.factor = element.number("factor");
  if (trouble.kind == TroubleKind::fast_errors) trouble.factor = element.number("share");
  if (trouble.kind == TroubleKind::report_late) trouble.second = element.time("by");
  if (trouble.kind == TroubleKind::roll) trouble.becomes = element.text("becomes");
  if (trouble.kind == TroubleKind::push_fault) {
    trouble.becomes = element.text("becomes");
    trouble.second = element.time("by");
  }
  if (trouble.kind == TroubleKind::zone_cut) {
    trouble.whom = {element.text("zone")};
  } else if (trouble.kind != TroubleKind::burst) {
    trouble.whom = element.words(is_of_proxies(trouble.kind) ? "proxies" : "replicas");
  }
  return trouble;
}

CrashSchedule read_deaths(const Element& element) {
  CrashSchedule deaths;
  deaths.from = element.time("from");
  deaths.to = element.time("to");
  deaths.every = element.time("every");
  deaths.off = element.time("off");
  deaths.within = element.time("within");
  deaths.governor = element.number("governor");
  deaths.replicas = element.words("replicas");
  if (element.find("proxies")) deaths.proxies = element.words("proxies");
  if (deaths.off + deaths.within >= deaths.every) element.fail("dies before it is back");
  if (deaths.replicas.empty()) element.fail("drains nobody");
  if (deaths.governor < 1 && deaths.proxies.empty()) element.fail("names no proxy whose receiver could die");
  return deaths;
}

void read_fleet(const Element& fleet, Scenario& script) {
  for (const auto& element : fleet.children()) {
    if (element.name() == "replicas") {
      script.replicas.push_back({element.text("zone"), element.find("kind").value_or(""),
                                 static_cast<std::size_t>(element.number("count")), element.number("cores"),
                                 element.number("speed")});
    } else if (element.name() == "resolver") {
      script.resolvers.push_back({element.words("proxies"), element.number("factor")});
    } else {
      script.terminals.push_back({element.text("zone"), element.text("class"),
                                  static_cast<std::size_t>(element.number("count")), element.time("every"),
                                  element.time("hold")});
    }
  }
}

bool has(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

Scenario parse_scenario(std::string_view text, const std::string& label, const std::string& folder) {
  const config::Document document(text, label, config::kDaySchema);
  const auto root = document.root();
  Scenario script;
  script.name = root.text("name");
  script.length = root.time("length");
  script.seed = static_cast<std::uint32_t>(root.number("seed"));
  script.governor_path = (std::filesystem::path(folder) / root.text("governor")).string();
  if (script.length <= Nanos{} || script.length > std::chrono::hours(1))
    root.fail("length must be above 0 and at most 1 h");
  read_fleet(root.child("fleet"), script);
  for (const auto& cls : root.child("traffic").children())
    script.traffic.push_back({cls.text("name"), cls.number("rate"), cls.time("work")});
  if (const auto troubles = root.find_child("troubles")) {
    for (const auto& element : troubles->children()) {
      if (element.name() == "deaths") {
        script.deaths.push_back(read_deaths(element));
      } else if (is_composed(element)) {
        for (auto& trouble : compose(element, script)) script.troubles.push_back(std::move(trouble));
      } else {
        script.troubles.push_back(read_trouble(element));
      }
    }
  }
  return script;
}

std::vector<Fault> drawn(const Scenario& script) {
  std::vector<Fault> troubles;
  std::mt19937 chance(script.seed);
  const auto one_of = [&](const std::vector<std::string>& names) {
    return names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(chance)];
  };
  for (const auto& deaths : script.deaths) {
    std::size_t turn = 0;
    for (Nanos at = deaths.from; at < deaths.to; at += deaths.every, ++turn) {
      // In turn, so that nobody drains who does already.
      Fault drain;
      drain.kind = TroubleKind::drain;
      drain.at = at;
      drain.lasts = deaths.every * (deaths.replicas.size() - 1);
      drain.second = drain.lasts;
      drain.whom = {deaths.replicas[turn % deaths.replicas.size()]};
      troubles.push_back(drain);
      std::uniform_int_distribution<Nanos::rep> moment(0, deaths.within.count());
      const bool governor = std::uniform_real_distribution<double>(0, 1)(chance) < deaths.governor;
      Fault death;
      death.kind = governor ? TroubleKind::governor_killed : TroubleKind::receiver_killed;
      death.at = at + Nanos(moment(chance));
      death.lasts = deaths.off;
      if (!governor) death.whom = {one_of(deaths.proxies)};
      troubles.push_back(death);
    }
  }
  return troubles;
}

Scenario read_scenario(const std::string& path) {
  return parse_scenario(config::read_file(path), path, std::filesystem::path(path).parent_path().string());
}

void check_names(const Scenario& script, const config::Config& config) {
  const auto need = [&](bool known, const std::string& what, const std::string& name) {
    if (!known) throw config::ConfigError("day " + script.name + ": there is no " + what + " '" + name + "'");
  };
  std::vector<std::string> replicas, proxies;
  for (const auto& proxy : config.proxies.known) proxies.push_back(proxy.name);
  for (const auto& group : script.replicas) {
    need(has(config.zones, group.zone), "zone", group.zone);
    need(group.kind.empty() || has(config.kinds, group.kind), "kind", group.kind);
    std::size_t in_zone = static_cast<std::size_t>(
        std::count_if(replicas.begin(), replicas.end(),
                      [&](const std::string& name) { return name.starts_with(group.zone + "-"); }));
    for (std::size_t n = 0; n < group.count; ++n)
      replicas.push_back(group.zone + "-" + std::to_string(++in_zone));
  }
  for (const auto& resolver : script.resolvers) {
    for (const auto& proxy : resolver.proxies) need(has(proxies, proxy), "proxy", proxy);
  }
  for (const auto& terminals : script.terminals) {
    need(has(config.zones, terminals.zone), "zone", terminals.zone);
    need(has(config.classes, terminals.cls), "class", terminals.cls);
  }
  for (const auto& traffic : script.traffic) need(has(config.classes, traffic.name), "class", traffic.name);
  for (const auto& deaths : script.deaths) {
    for (const auto& name : deaths.replicas) need(has(replicas, name), "replica", name);
    for (const auto& name : deaths.proxies) {
      const auto known = std::find_if(config.proxies.known.begin(), config.proxies.known.end(),
                                      [&](const auto& proxy) { return proxy.name == name; });
      need(known != config.proxies.known.end() && known->receiver, "proxy with a receiver called", name);
    }
  }
  for (const auto& trouble : script.troubles) {
    if (trouble.kind == TroubleKind::zone_cut) {
      need(has(config.zones, trouble.whom.front()), "zone", trouble.whom.front());
      continue;
    }
    const bool of_proxies = is_of_proxies(trouble.kind);
    for (const auto& name : trouble.whom)
      need(has(of_proxies ? proxies : replicas, name), of_proxies ? "proxy" : "replica", name);
  }
}

}  // namespace ospreypost::scenario
