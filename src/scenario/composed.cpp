#include "scenario/composed.h"

#include <algorithm>
#include <map>

namespace ospreypost::scenario {
namespace {

using config::Element;

// libxml2 has no empty default for a list.
std::vector<std::string> words_or_none(const Element& element, const char* attribute) {
  return element.find(attribute) ? element.words(attribute) : std::vector<std::string>{};
}

std::vector<std::string> replicas_of(const Scenario& script, const std::string& zone) {
  std::vector<std::string> names;
  for (const auto& group : script.replicas) {
    for (std::size_t n = 0; group.zone == zone && n < group.count; ++n)
      names.push_back(zone + "-" + std::to_string(names.size() + 1));
  }
  return names;
}

Fault trouble_of(TroubleKind kind, const char* text, Nanos at, Nanos lasts, std::vector<std::string> whom) {
  Fault trouble;
  trouble.kind = kind;
  trouble.text = text;
  trouble.at = at;
  trouble.lasts = lasts;
  trouble.whom = std::move(whom);
  return trouble;
}

// Again and again, for a part of each turn.
std::vector<Fault> again(const Element& element, const Fault& once) {
  const Nanos every = element.time("every");
  if (once.lasts >= every) element.fail("has no time between one and the next");
  std::vector<Fault> troubles;
  const Nanos begin = element.time("at"), end = begin + element.time("for");
  for (Nanos at = begin; at + once.lasts <= end; at += every) {
    troubles.push_back(once);
    troubles.back().at = at;
  }
  return troubles;
}

std::vector<Fault> pauses(const Element& element, const Scenario&) {
  return again(element,
               trouble_of(TroubleKind::pause, "pause", {}, element.time("pause"), element.words("replicas")));
}

std::vector<Fault> balancer_stall(const Element& element, const Scenario&) {
  const auto proxies = words_or_none(element, "proxies");
  const auto kind = proxies.empty() ? TroubleKind::governor_still : TroubleKind::proxy_still;
  return again(element, trouble_of(kind, "still", {}, element.time("stall"), proxies));
}

// Batch after batch leaves and comes back cold; the next begins when the one before is back.
std::vector<Fault> deploy(const Element& element, const Scenario&) {
  const auto replicas = element.words("replicas");
  const auto batch = static_cast<std::size_t>(element.number("batch"));
  const Nanos leaves = element.time("leaves"), down = element.time("down"), pace = element.time("pace");
  std::vector<Fault> troubles;
  Nanos at = element.time("at");
  for (std::size_t n = 0; n < replicas.size(); n += batch, at += leaves + down + pace) {
    const auto from = replicas.begin() + static_cast<std::ptrdiff_t>(n);
    const auto count = static_cast<std::ptrdiff_t>(std::min(batch, replicas.size() - n));
    troubles.push_back(trouble_of(TroubleKind::drain, "drain", at, leaves + down, {from, from + count}));
    troubles.back().second = leaves;
  }
  return troubles;
}

std::vector<Fault> mass_restart(const Element& element, const Scenario&) {
  auto crash = trouble_of(TroubleKind::crash, "crash", element.time("at"), element.time("for"),
                          element.words("replicas"));
  crash.second = element.time("notice");
  if (crash.second > crash.lasts) element.fail("is over before it is noticed");
  return {crash};
}

// The machine room is gone: its replicas die or fall silent, and, if it says so, its proxies stand still.
std::vector<Fault> zone_loss(const Element& element, const Scenario& script) {
  const auto replicas = replicas_of(script, element.text("zone"));
  if (replicas.empty()) element.fail("no replica is in that zone");
  const bool silent = element.yes("silent");
  const Nanos at = element.time("at"), lasts = element.time("for");
  auto loss = trouble_of(silent ? TroubleKind::vanish : TroubleKind::crash, silent ? "vanish" : "crash", at,
                         lasts, replicas);
  loss.second = element.time("notice");
  if (loss.second > lasts) element.fail("is over before it is noticed");
  std::vector<Fault> troubles = {loss};
  if (const auto proxies = words_or_none(element, "proxies"); !proxies.empty())
    troubles.push_back(trouble_of(TroubleKind::proxy_still, "still", at, lasts, proxies));
  return troubles;
}

// They reach no governor, whatever answers in its place.
std::vector<Fault> counter_down(const Element& element, const Scenario&) {
  return {
      trouble_of(TroubleKind::cut, "cut", element.time("at"), element.time("for"), element.words("proxies"))};
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

std::vector<Fault> compose(const Element& element, const Scenario& script) {
  return composers().at(element.name())(element, script);
}

}  // namespace ospreypost::scenario
