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

// A start that the wall clock puts in the future counts as now, and an incarnation that this list is the
// first to show cannot have started before the last list was read. So a wall clock that jumps never makes a
// replica that is warming up look warm.
std::optional<Nanos> EndpointList::start_of(const Endpoint& endpoint, Nanos read_at,
                                            WallTime wall_time) const {
  const auto before = known_.find(endpoint.name);
  const bool same_incarnation = before != known_.end() && before->second.endpoint.started == endpoint.started;
  if (same_incarnation) return before->second.started;
  if (!endpoint.started) return std::nullopt;
  const Nanos age = std::max(Nanos{}, wall_time - *endpoint.started);
  const Nanos started = read_at - age;
  return has_list_ ? std::max(started, last_read_at_) : started;
}

bool EndpointList::is_changed(const Endpoint& endpoint) const {
  const auto before = known_.find(endpoint.name);
  return before == known_.end() || before->second.endpoint != endpoint;
}

EndpointList::Changes EndpointList::update(Nanos read_at, WallTime wall_time,
                                           std::vector<Endpoint> endpoints) {
  if (endpoints.empty()) throw net::Error("the endpoint file names nobody");
  std::map<std::string, KnownEndpoint> next;
  Changes changes{!has_list_, {}};
  for (auto& listed : endpoints) {
    if (listed.name.empty()) throw net::Error("the endpoint file holds an endpoint without a name");
    const auto started = start_of(listed, read_at, wall_time);
    const std::string name = listed.name;
    const auto [entry, is_new] = next.try_emplace(name, KnownEndpoint{std::move(listed), started});
    if (!is_new) throw net::Error("the endpoint file names " + name + " twice");
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
  known_ = std::move(next);  // entries keep their addresses, so the changes go on pointing at them
  last_read_at_ = read_at;
  has_list_ = true;
  return changes;
}

}  // namespace ospreypost::discovery
