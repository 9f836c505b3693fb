#include "discovery/endpoint_list.h"

#include <algorithm>

namespace ospreypost::discovery {
namespace {

// A start that the wall clock puts in the future is one of now; one of a life that we saw begin cannot lie
// before the roll that did not show it yet. So a wall clock that jumps makes nothing warm that is cold.
Nanos monotonic(WallTime started, Nanos read, WallTime wall, std::optional<Nanos> not_before) {
  const Nanos age = std::max(Nanos{}, wall - started);
  const Nanos at = read - age;
  return not_before ? std::max(at, *not_before) : at;
}

}  // namespace

EndpointList::Changes EndpointList::update(Nanos read, WallTime wall, std::vector<Endpoint> backends) {
  if (backends.empty()) throw net::Error("the roll names nobody");
  std::map<std::string, Known> next;
  Changes taken{!any_, {}};
  for (auto& backend : backends) {
    if (backend.name.empty()) throw net::Error("the roll holds a backend without a name");
    const auto name = backend.name;
    const auto before = known_.find(name);
    Known known{std::move(backend), std::nullopt};
    const bool was = before != known_.end();
    const bool same_life = was && before->second.backend.started == known.backend.started;
    if (same_life) {
      known.started = before->second.started;
    } else if (known.backend.started) {
      const auto seen_without = any_ ? std::optional(last_read_) : std::nullopt;
      known.started = monotonic(*known.backend.started, read, wall, seen_without);
    }
    const bool changed = !was || before->second.backend != known.backend;
    const auto [at, fresh] = next.emplace(name, std::move(known));
    if (!fresh) throw net::Error("the roll names " + name + " twice");
    if (!changed) continue;
    const auto phase = at->second.backend.draining ? EndpointPhase::draining : EndpointPhase::ready;
    taken.changes.push_back({&at->second.backend, name, phase, at->second.started});
  }
  for (const auto& [name, known] : known_) {
    if (!next.contains(name)) taken.changes.push_back({nullptr, name, EndpointPhase::gone, std::nullopt});
  }
  std::sort(taken.changes.begin(), taken.changes.end(),
            [](const EndpointChange& a, const EndpointChange& b) { return a.name < b.name; });
  known_ = std::move(next);  // nodes keep their place, so the changes go on pointing at them
  last_read_ = read;
  any_ = true;
  return taken;
}

}  // namespace ospreypost::discovery
