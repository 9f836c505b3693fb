#include "simulation/history_check.h"

#include <stdexcept>

#include "simulation/evidence.h"

namespace ospreypost::simulation {
namespace {

void need(bool holds, const char* otherwise) {
  if (!holds) throw std::invalid_argument(otherwise);
}

constexpr const char* kTooLong = "the record is too long to be asked about: cut a stretch of it";
constexpr const char* kForeign = "the record names proxies, classes or zones that the setting has not";

}  // namespace

void check_history(const History& history, const Deployment& deployment) {
  need(history.length <= kLongestRecord &&
           static_cast<std::size_t>(history.length / kBin + 1) <= kMostBins / (history.replicas.size() + 1),
       kTooLong);
  const auto known_proxy = [&](ProxyId id) {
    return static_cast<std::size_t>(id) < deployment.proxies.size();
  };
  const auto known_zone = [&](ZoneId id) { return static_cast<std::size_t>(id) < deployment.zones.size(); };
  std::uint64_t operations = 0;
  for (const auto& report : history.reports) {
    need(known_proxy(report.proxy), kForeign);
    for (const auto& asked : report.demand_lines) {
      need(static_cast<std::size_t>(asked.cls) < deployment.classes.size(), kForeign);
      operations += asked.operations;
    }
  }
  need(operations <= kMostOperations, kTooLong);
  for (const auto& of : history.memberships) need(known_proxy(of.proxy) && known_zone(of.zone), kForeign);
  for (const auto& news : history.lists) {
    for (const auto& entry : news.entries) need(known_zone(entry.zone), kForeign);
  }
}

}  // namespace ospreypost::simulation
