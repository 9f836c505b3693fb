#include "scenario/composed.h"

#include <algorithm>
#include <map>

namespace ospreypost::scenario {
namespace {

using config::Element;

// Returns an empty list if the attribute is missing. libxml2 has no empty default for a list.
std::vector<std::string> optional_words(const Element& element, const char* attribute) {
  return element.find(attribute) ? element.words(attribute) : std::vector<std::string>{};
}

std::vector<std::string> replicas_of(const Scenario& scenario, const std::string& zone) {
  std::vector<std::string> names;
  for (const auto& group : scenario.replicas) {
    for (std::size_t n = 0; group.zone == zone && n < group.count; ++n)
      names.push_back(zone + "-" + std::to_string(names.size() + 1));
  }
  return names;
}

Fault make_fault(FaultKind kind, const char* text, Nanos at, Nanos duration,
                 std::vector<std::string> targets) {
  Fault fault;
  fault.kind = kind;
  fault.text = text;
  fault.at = at;
  fault.duration = duration;
  fault.targets = std::move(targets);
  return fault;
}

// Repeats a fault at each interval from the start to the end of the element.
std::vector<Fault> repeat(const Element& element, const Fault& occurrence) {
  const Nanos interval = element.time("every");
  if (occurrence.duration >= interval)
    element.fail("lasts as long as its interval or longer, so that there is no time between two faults");
  std::vector<Fault> faults;
  const Nanos begin = element.time("at"), end = begin + element.time("for");
  for (Nanos at = begin; at + occurrence.duration <= end; at += interval) {
    faults.push_back(occurrence);
    faults.back().at = at;
  }
  return faults;
}

std::vector<Fault> pauses(const Element& element, const Scenario&) {
  return repeat(element,
                make_fault(FaultKind::pause, "pause", {}, element.time("pause"), element.words("replicas")));
}

std::vector<Fault> balancer_stall(const Element& element, const Scenario&) {
  const auto proxies = optional_words(element, "proxies");
  const auto kind = proxies.empty() ? FaultKind::governor_still : FaultKind::proxy_still;
  return repeat(element, make_fault(kind, "still", {}, element.time("stall"), proxies));
}

// Each batch of replicas drains, leaves and starts cold. The next batch begins `pace` after the previous one
// has started.
std::vector<Fault> deploy(const Element& element, const Scenario&) {
  const auto replicas = element.words("replicas");
  const auto batch = static_cast<std::size_t>(element.number("batch"));
  const Nanos leaves = element.time("leaves"), down = element.time("down"), pace = element.time("pace");
  std::vector<Fault> faults;
  Nanos at = element.time("at");
  for (std::size_t n = 0; n < replicas.size(); n += batch, at += leaves + down + pace) {
    const auto first = replicas.begin() + static_cast<std::ptrdiff_t>(n);
    const auto count = static_cast<std::ptrdiff_t>(std::min(batch, replicas.size() - n));
    faults.push_back(make_fault(FaultKind::drain, "drain", at, leaves + down, {first, first + count}));
    faults.back().delay = leaves;
  }
  return faults;
}

std::vector<Fault> mass_restart(const Element& element, const Scenario&) {
  auto crash = make_fault(FaultKind::crash, "crash", element.time("at"), element.time("for"),
                          element.words("replicas"));
  crash.delay = element.time("notice");
  if (crash.delay > crash.duration) element.fail("ends before its notice time");
  return {crash};
}

// A zone fails: its replicas crash or, if the element is `silent`, hang, and the proxies that the element
// names are paused.
std::vector<Fault> zone_loss(const Element& element, const Scenario& scenario) {
  const auto replicas = replicas_of(scenario, element.text("zone"));
  if (replicas.empty()) element.fail("names a zone without replicas");
  const bool silent = element.yes("silent");
  const Nanos at = element.time("at"), duration = element.time("for");
  auto loss = make_fault(silent ? FaultKind::vanish : FaultKind::crash, silent ? "vanish" : "crash", at,
                         duration, replicas);
  loss.delay = element.time("notice");
  if (loss.delay > duration) element.fail("ends before its notice time");
  std::vector<Fault> faults = {loss};
  if (const auto proxies = optional_words(element, "proxies"); !proxies.empty())
    faults.push_back(make_fault(FaultKind::proxy_still, "still", at, duration, proxies));
  return faults;
}

// The named proxies are cut off from every control plane instance, also from one that takes over the lease.
std::vector<Fault> counter_down(const Element& element, const Scenario&) {
  return {
      make_fault(FaultKind::cut, "cut", element.time("at"), element.time("for"), element.words("proxies"))};
}

using Compose = std::vector<Fault> (*)(const Element&, const Scenario&);
const std::map<std::string, Compose>& composers() {
  static const std::map<std::string, Compose> all = {
      {"pauses", pauses},       {"balancer-stall", balancer_stall}, {"deploy", deploy},
      {"zone-loss", zone_loss}, {"counter-down", counter_down},     {"mass-restart", mass_restart}};
  return all;
}

}  // namespace

bool is_composed(const Element& element) { return composers().contains(element.name()); }

std::vector<Fault> compose(const Element& element, const Scenario& scenario) {
  return composers().at(element.name())(element, scenario);
}

}  // namespace ospreypost::scenario
