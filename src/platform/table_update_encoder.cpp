#include "platform/table_update_encoder.h"

#include <algorithm>
#include <cstdio>

#include "resp/resp.h"

namespace ospreypost::platform {
namespace {

constexpr std::size_t kMostLines = 4000;  // of one part: far below 1 MiB, whatever the names

// Short, and never in a form with an exponent, which not every reader takes.
std::string figure(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.5f", std::max(value, 1e-5));
  std::string short_text(text);
  short_text.erase(short_text.find_last_not_of('0') + 1);
  if (short_text.back() == '.') short_text.pop_back();
  return short_text;
}

using Lines = std::vector<routing_state::TableEntry>;  // by ascending replica

// What turns the one into the other; weight 0 takes a line out.
std::vector<std::pair<ReplicaId, double>> differences(const Lines& held, const Lines& wanted) {
  std::vector<std::pair<ReplicaId, double>> found;
  auto old = held.begin();
  for (const auto& line : wanted) {
    for (; old != held.end() && old->replica < line.replica; ++old) found.emplace_back(old->replica, 0.0);
    const bool held_already = old != held.end() && old->replica == line.replica;
    if (!held_already || old->weight != line.weight) found.emplace_back(line.replica, line.weight);
    if (held_already) ++old;
  }
  for (; old != held.end(); ++old) found.emplace_back(old->replica, 0.0);
  return found;
}

const Lines& lines_of(const std::shared_ptr<const routing_state::RoutingTable>& view) {
  static const Lines none;
  return view ? view->entries : none;
}

bool have_same_lines(const std::shared_ptr<const routing_state::RoutingTable>& a,
                     const std::shared_ptr<const routing_state::RoutingTable>& b) {
  return a == b || lines_of(a) == lines_of(b);
}

}  // namespace

TableUpdateEncoder::TableUpdateEncoder(std::vector<std::string> classes, RetryMode usual)
    : classes_(std::move(classes)), usual_{1, usual} {}

void TableUpdateEncoder::joined(ProxyId id) {
  auto& proxy = proxies_[id];
  proxy = {};
  proxy.written.assign(classes_.size(), Table{false, nullptr, usual_});
  due_.erase(id);
}

void TableUpdateEncoder::left(ProxyId id) {
  proxies_.erase(id);
  due_.erase(id);
}

void TableUpdateEncoder::on_published(ProxyId id,
                                      std::shared_ptr<const routing_state::ProxySnapshot> proxy_snapshot) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end() || !proxy_snapshot) return;
  known->second.wanted = std::move(proxy_snapshot);
  known->second.shed.clear();
  due_.insert(id);
}

void TableUpdateEncoder::out(const std::vector<ReplicaId>& replicas) {
  for (auto& [id, proxy] : proxies_) {
    if (proxy.wanted || replicas.empty()) continue;
    for (const auto replica : replicas) {
      if (std::find(proxy.shed.begin(), proxy.shed.end(), replica) == proxy.shed.end())
        proxy.shed.push_back(replica);
    }
    due_.insert(id);
  }
}

void TableUpdateEncoder::marked(ProxyId id, AckRequestId mark, bool alone) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return;
  known->second.marks.push_back(mark);
  known->second.asks_alone = known->second.asks_alone || alone;
  due_.insert(id);
}

// Classes that hold the same and are to hold the same share a part.
void TableUpdateEncoder::settle_lines(Proxy& proxy, std::vector<Part>& parts) const {
  std::vector<bool> done(classes_.size());
  for (std::size_t k = 0; k < classes_.size(); ++k) {
    const auto view = proxy.wanted->routing_tables[k];
    if (done[k] || !view) continue;
    const auto before = proxy.written[k];
    Part part;
    for (std::size_t other = k; other < classes_.size(); ++other) {
      const auto& written = proxy.written[other];
      const auto& theirs = proxy.wanted->routing_tables[other];
      const bool alike = theirs && have_same_lines(theirs, view) && written.ours == before.ours &&
                         have_same_lines(written.view, before.view);
      if (!alike) continue;
      part.classes.push_back(other);
      done[other] = true;
    }
    part.full = !before.ours;
    part.lines = differences(part.full ? Lines{} : lines_of(before.view), view->entries);
    for (const auto other : part.classes) {
      auto& written = proxy.written[other];
      // A whole table brings its classes back to the usual levels.
      if (part.full) written.terms = usual_;
      written.ours = true;
      written.view = view;
    }
    if (part.full || !part.lines.empty()) parts.push_back(std::move(part));
  }
}

void TableUpdateEncoder::settle_terms(Proxy& proxy, std::vector<Part>& parts) const {
  std::vector<bool> done(classes_.size());
  const auto differs = [&](std::size_t k) {
    return !done[k] && proxy.wanted->routing_tables[k] &&
           proxy.wanted->routing_tables[k]->traffic_policies[k] != proxy.written[k].terms;
  };
  for (std::size_t k = 0; k < classes_.size(); ++k) {
    if (!differs(k)) continue;
    Part part;
    part.terms = &proxy.wanted->routing_tables[k]->traffic_policies[k];
    for (std::size_t other = k; other < classes_.size(); ++other) {
      if (!differs(other) || proxy.wanted->routing_tables[other]->traffic_policies[other] != *part.terms)
        continue;
      part.classes.push_back(other);
      done[other] = true;
    }
    for (const auto other : part.classes) proxy.written[other].terms = *part.terms;
    // Where the lines of just these classes go, their level goes along.
    const auto with = std::find_if(parts.begin(), parts.end(), [&](const Part& given) {
      return !given.terms && given.classes == part.classes;
    });
    with == parts.end() ? parts.push_back(std::move(part)) : void(with->terms = part.terms);
  }
}

std::string TableUpdateEncoder::routes(const std::vector<std::size_t>& classes) const {
  std::string names;
  for (const auto k : classes) {
    if (!names.empty()) names += '+';
    names += classes_[k];
  }
  return names;
}

TableUpdateEncoder::Message TableUpdateEncoder::next(
    ProxyId id, const std::function<std::string_view(ReplicaId)>& name_of) {
  Message message;
  due_.erase(id);
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return message;
  auto& proxy = known->second;
  std::vector<Part> parts;
  if (proxy.wanted) {
    settle_lines(proxy, parts);
    settle_terms(proxy, parts);
  } else if (!proxy.shed.empty()) {
    Part part;
    for (std::size_t k = 0; k < classes_.size(); ++k) part.classes.push_back(k);
    for (const auto replica : proxy.shed) part.lines.emplace_back(replica, 0.0);
    proxy.shed.clear();
    parts.push_back(std::move(part));
  }
  if (parts.empty() && !proxy.asks_alone) proxy.marks.clear();
  proxy.asks_alone = false;
  if (parts.empty() && proxy.marks.empty()) return message;
  if (parts.empty()) parts.emplace_back();

  std::vector<std::vector<std::string>> pushes;
  for (const auto& part : parts) {
    std::size_t at = 0;
    do {
      std::vector<std::string> words{"push"};
      const auto field = [&](const char* name, std::string value) {
        words.emplace_back(name);
        words.push_back(std::move(value));
      };
      if (!part.classes.empty() && part.classes.size() < classes_.size())
        field("routes", routes(part.classes));
      if (part.full && at == 0) field("full", "1"), ++message.lines;
      const auto end = std::min(part.lines.size(), at + kMostLines);
      std::string lines;
      for (; at < end; ++at) {
        const auto& [replica, weight] = part.lines[at];
        const auto name = name_of(replica);
        // A proxy breaks with whoever names what discovery never listed.
        if (name.empty()) continue;
        ++message.lines;
        lines += lines.empty() ? "" : ",";
        lines += name;
        lines += ':';
        lines += weight > 0 ? figure(weight) : "0";
      }
      if (!lines.empty()) field("endpoints", std::move(lines));
      if (part.terms && at == part.lines.size()) {
        field("admit", part.terms->admitted_fraction > 0 ? figure(part.terms->admitted_fraction) : "0");
        field("policy", std::to_string(static_cast<int>(part.terms->retry)));
        message.lines += part.classes.size();
      }
      pushes.push_back(std::move(words));
    } while (at < part.lines.size());
  }
  if (!proxy.marks.empty()) {
    ++message.lines;
    pushes.back().insert(pushes.back().end(), {"nonce_out", std::to_string(++last_nonce_)});
    proxy.asked.emplace_back(last_nonce_, std::exchange(proxy.marks, {}));
  }
  for (std::size_t n = 0; n < pushes.size(); ++n) {
    if (n + 1 < pushes.size()) pushes[n].insert(pushes[n].end(), {"continued", "1"});
    resp::write(message.bytes, {pushes[n].begin(), pushes[n].end()});
  }
  return message;
}

std::vector<AckRequestId> TableUpdateEncoder::answered(ProxyId id, std::uint64_t nonce) {
  std::vector<AckRequestId> settled;
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return settled;
  auto& asked = known->second.asked;
  const bool ours = std::any_of(asked.begin(), asked.end(), [&](auto& a) { return a.first == nonce; });
  while (ours && !asked.empty() && asked.front().first <= nonce) {
    settled.insert(settled.end(), asked.front().second.begin(), asked.front().second.end());
    asked.erase(asked.begin());
  }
  return settled;
}

std::vector<ReplicaId> TableUpdateEncoder::unheld(const std::vector<ReplicaId>& replicas) const {
  if (replicas.empty()) return {};
  std::set<const routing_state::RoutingTable*> routing_tables;
  for (const auto& [id, proxy] : proxies_) {
    for (const auto& table : proxy.written) routing_tables.insert(table.view.get());
    if (!proxy.wanted) continue;
    for (const auto& view : proxy.wanted->routing_tables) routing_tables.insert(view.get());
  }
  routing_tables.erase(nullptr);
  std::vector<ReplicaId> found;
  for (const auto replica : replicas) {
    const bool held = std::any_of(
        routing_tables.begin(), routing_tables.end(), [&](const routing_state::RoutingTable* view) {
          const auto line = std::lower_bound(
              view->entries.begin(), view->entries.end(), replica,
              [](const routing_state::TableEntry& one, ReplicaId id) { return one.replica < id; });
          return line != view->entries.end() && line->replica == replica;
        });
    if (!held) found.push_back(replica);
  }
  return found;
}

}  // namespace ospreypost::platform
