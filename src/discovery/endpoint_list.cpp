#include "discovery/endpoint_list.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/socket.h"
#include "policy/types.h"

namespace ospreypost::discovery {

// Returns the start time of an endpoint on the monotonic clock; empty if the endpoint started long ago.
//
// A jump of the wall clock must never make a replica that is warming up appear to be warm. Therefore a start
// time in the future of the wall clock counts as now, and the start time of an incarnation that was not in
// the last list is at least the time when the last list was read.
std::optional<Nanos> EndpointList::start_of(const Endpoint& endpoint, Nanos read_at,
                                            WallTime wall_time) const {
  const auto known = known_.find(endpoint.name);
  const bool same_incarnation = known != known_.end() && known->second.endpoint.started == endpoint.started;
  if (same_incarnation) return known->second.started;
  if (!endpoint.started) return std::nullopt;
  const Nanos age = std::max(Nanos{}, wall_time - *endpoint.started);
  const Nanos started = read_at - age;
  return has_list_ ? std::max(started, last_read_at_) : started;
}

bool EndpointList::is_changed(const Endpoint& endpoint) const {
  const auto known = known_.find(endpoint.name);
  return known == known_.end() || known->second.endpoint != endpoint;
}

EndpointList::Changes EndpointList::update(Nanos read_at, WallTime wall_time,
                                           std::vector<Endpoint> endpoints) {
  if (endpoints.empty()) throw net::Error("the endpoint file lists no endpoints");
  std::map<std::string, KnownEndpoint> next;
  Changes changes{!has_list_, {}};
  for (auto& listed : endpoints) {
    if (listed.name.empty()) throw net::Error("the endpoint file lists an endpoint without a name");
    const auto started = start_of(listed, read_at, wall_time);
    const std::string name = listed.name;
    const auto [entry, is_new] = next.try_emplace(name, KnownEndpoint{std::move(listed), started});
    if (!is_new) throw net::Error("the endpoint file lists " + name + " twice");
    const Endpoint& endpoint = entry->second.endpoint;
    if (!is_changed(endpoint)) continue;
    const auto phase = endpoint.draining ? EndpointPhase::draining : EndpointPhase::ready;
    changes.changes.push_back({&endpoint, name, phase, started});
  }
  for (const auto& [name, known] : known_) {
    if (!next.contains(name)) changes.changes.push_back({nullptr, name, EndpointPhase::gone, std::nullopt});
  }
  std::sort(changes.changes.begin(), changes.changes.end(),
            [](const EndpointChange& left, const EndpointChange& right) { return left.name < right.name; });
  known_ = std::move(next);  // The move keeps the entries in place, so the pointers in `changes` stay valid.
  last_read_at_ = read_at;
  has_list_ = true;
  return changes;
}

}  // namespace ospreypost::discovery
