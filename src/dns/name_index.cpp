#include "dns/name_index.h"

#include <algorithm>

namespace ospreypost::dns {
namespace {

template <typename Id>
discovery::NameTable<Id> table_of(const std::vector<std::string>& names) {
  discovery::NameTable<Id> table;
  for (const auto& name : names) table.id_of(name);
  return table;
}

// Removes the last label from `labels` and returns the removed label.
std::string_view take_last(std::string_view& labels) {
  const auto dot = labels.rfind('.');
  const auto last = labels.substr(dot == std::string_view::npos ? 0 : dot + 1);
  labels = dot == std::string_view::npos ? std::string_view{} : labels.substr(0, dot);
  return last;
}

}  // namespace

NameIndex::NameIndex(std::string apex, std::string server, const std::vector<std::string>& zones,
                     const std::vector<std::string>& classes, const std::vector<std::string>& proxies)
    : apex_(std::move(apex)),
      server_(std::move(server)),
      zones_(table_of<ZoneId>(zones)),
      classes_(table_of<ClassId>(classes)),
      proxies_(table_of<ProxyId>(proxies)) {}

NameTarget NameIndex::target_of(std::string_view name) const {
  if (name == apex_) return Apex{};
  if (name == server_) return OwnHost{};
  if (name.size() <= apex_.size() || !name.ends_with(apex_)) return OutOfZone{};
  auto labels = name.substr(0, name.size() - apex_.size());
  if (labels.back() != '.') return OutOfZone{};
  labels.remove_suffix(1);
  return target_below_apex(labels);
}

NameTarget NameIndex::target_below_apex(std::string_view labels) const {
  const auto branch = take_last(labels);
  const bool proxies = branch == "proxies", zones = branch == "zones", replicas = branch == "replicas";
  if (!proxies && !zones && !replicas) return NonexistentName{};
  if (labels.empty()) return EmptyNonTerminal{};
  const auto owner = take_last(labels);
  if (replicas)
    return labels.empty() ? NameTarget(ReplicaHost{std::string(owner)}) : NameTarget(NonexistentName{});
  if (const auto proxy = proxies_.find(owner); proxies && proxy) {
    if (labels.empty()) return ProxyHost{*proxy};
    return service_target(labels, [&](ClassId cls) { return ProxyTable{*proxy, cls}; });
  }
  if (const auto zone = zones_.find(owner); zones && zone) {
    if (labels.empty()) return EmptyNonTerminal{};
    return service_target(labels, [&](ClassId cls) { return ZoneProxies{*zone, cls}; });
  }
  return NonexistentName{};
}

// Returns the target of the labels _CLASS._tcp, or of _tcp alone, which is an empty non-terminal.
template <typename Make>
NameTarget NameIndex::service_target(std::string_view labels, Make make_target) const {
  if (take_last(labels) != "_tcp") return NonexistentName{};
  if (labels.empty()) return EmptyNonTerminal{};
  const auto name = take_last(labels);
  const auto cls = classes_.find(name.substr(std::min<std::size_t>(1, name.size())));
  if (!name.starts_with('_') || !labels.empty() || !cls) return NonexistentName{};
  return make_target(*cls);
}

}  // namespace ospreypost::dns
