#include "simulation/history_check.h"

#include <stdexcept>

#include "simulation/evidence.h"

namespace ospreypost::simulation {
namespace {

void require(bool condition, const char* message) {
  if (!condition) throw std::invalid_argument(message);
}

constexpr const char* kTooLong = "the record is too long to be simulated: cut a stretch of it";
constexpr const char* kUnknownNames =
    "the record names proxies, classes or zones that the configuration does not have";

}  // namespace

void check_history(const History& history, const Deployment& deployment) {
  require(history.length <= kMaxRecordLength &&
              static_cast<std::size_t>(history.length / kBin + 1) <= kMaxBins / (history.replicas.size() + 1),
          kTooLong);
  const auto known_proxy = [&](ProxyId id) {
    return static_cast<std::size_t>(id) < deployment.proxies.size();
  };
  const auto known_zone = [&](ZoneId id) { return static_cast<std::size_t>(id) < deployment.zones.size(); };
  std::uint64_t operations = 0;
  for (const auto& report : history.reports) {
    require(known_proxy(report.proxy), kUnknownNames);
    for (const auto& line : report.demand_lines) {
      require(static_cast<std::size_t>(line.cls) < deployment.classes.size(), kUnknownNames);
      operations += line.operations;
    }
  }
  require(operations <= kMaxOperations, kTooLong);
  for (const auto& membership : history.memberships)
    require(known_proxy(membership.proxy) && known_zone(membership.zone), kUnknownNames);
  for (const auto& list : history.lists) {
    for (const auto& entry : list.entries) require(known_zone(entry.zone), kUnknownNames);
  }
}

}  // namespace ospreypost::simulation
