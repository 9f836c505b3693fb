#include "platform/channel.h"

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

std::map<ReplicaId, double> lines_of(const book::View& view) {
  std::map<ReplicaId, double> lines;
  for (const auto& line : view.lines) lines.emplace(line.replica, line.weight);
  return lines;
}

}  // namespace

Channel::Channel(std::vector<std::string> classes, Retry usual)
    : classes_(std::move(classes)), usual_{1, usual} {}

void Channel::joined(ProxyId id) {
  auto& proxy = proxies_[id];
  proxy = {};
  proxy.written.assign(classes_.size(), Table{false, {}, usual_});
  due_.erase(id);
}

void Channel::left(ProxyId id) {
  proxies_.erase(id);
  due_.erase(id);
}

void Channel::ordered(ProxyId id, std::shared_ptr<const book::Holding> holding) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end() || !holding) return;
  known->second.wanted = std::move(holding);
  known->second.shed.clear();
  due_.insert(id);
}

void Channel::out(const std::vector<ReplicaId>& replicas) {
  for (auto& [id, proxy] : proxies_) {
    if (proxy.wanted || replicas.empty()) continue;
    for (const auto replica : replicas) {
      if (std::find(proxy.shed.begin(), proxy.shed.end(), replica) == proxy.shed.end())
        proxy.shed.push_back(replica);
    }
    due_.insert(id);
  }
}

void Channel::marked(ProxyId id, MarkId mark, bool alone) {
  const auto known = proxies_.find(id);
  if (known == proxies_.end()) return;
  known->second.marks.push_back(mark);
  known->second.asks_alone = known->second.asks_alone || alone;
  due_.insert(id);
}

// Classes that hold the same and are to hold the same share a part.
void Channel::settle_lines(Proxy& proxy, std::vector<Part>& parts) const {
  std::vector<bool> done(classes_.size());
  for (std::size_t k = 0; k < classes_.size(); ++k) {
    const auto view = proxy.wanted->views[k];
    if (done[k] || !view) continue;
    const auto before = proxy.written[k];
    const auto wanted = lines_of(*view);
    Part part;
    for (std::size_t other = k; other < classes_.size(); ++other) {
      const auto& written = proxy.written[other];
      const auto& theirs = proxy.wanted->views[other];
      const bool alike = theirs && (theirs == view || theirs->lines == view->lines) &&
                         written.ours == before.ours && written.lines == before.lines;
      if (!alike) continue;
      part.classes.push_back(other);
      done[other] = true;
    }
    part.full = !before.ours;
    for (const auto& [replica, weight] : wanted) {
      const auto held = before.lines.find(replica);
      if (part.full || held == before.lines.end() || held->second != weight)
        part.lines.emplace_back(replica, weight);
    }
    for (const auto& [replica, weight] : before.lines) {
      if (!part.full && !wanted.contains(replica)) part.lines.emplace_back(replica, 0.0);
    }
    for (const auto other : part.classes) {
      auto& written = proxy.written[other];
      // A whole table brings its classes back to the usual levels.
      if (part.full) written.terms = usual_;
      written.ours = true;
      written.lines = wanted;
    }
    if (part.full || !part.lines.empty()) parts.push_back(std::move(part));
  }
}

void Channel::settle_terms(Proxy& proxy, std::vector<Part>& parts) const {
  std::vector<bool> done(classes_.size());
  const auto differs = [&](std::size_t k) {
    return !done[k] && proxy.wanted->views[k] && proxy.wanted->views[k]->terms[k] != proxy.written[k].terms;
  };
  for (std::size_t k = 0; k < classes_.size(); ++k) {
    if (!differs(k)) continue;
    Part part;
    part.terms = &proxy.wanted->views[k]->terms[k];
    for (std::size_t other = k; other < classes_.size(); ++other) {
      if (!differs(other) || proxy.wanted->views[other]->terms[other] != *part.terms) continue;
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

std::string Channel::routes(const std::vector<std::size_t>& classes) const {
  std::string names;
  for (const auto k : classes) {
    if (!names.empty()) names += '+';
    names += classes_[k];
  }
  return names;
}

Channel::Message Channel::next(ProxyId id, const std::function<std::string_view(ReplicaId)>& name_of) {
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
        field("admit", part.terms->level > 0 ? figure(part.terms->level) : "0");
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

std::vector<MarkId> Channel::answered(ProxyId id, std::uint64_t nonce) {
  std::vector<MarkId> settled;
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

bool Channel::holds(ReplicaId replica) const {
  const auto written = [&](const Table& table) { return table.lines.contains(replica); };
  const auto wanted = [&](const std::shared_ptr<const book::View>& view) {
    const auto is = [&](const book::Line& line) { return line.replica == replica; };
    return view && std::any_of(view->lines.begin(), view->lines.end(), is);
  };
  return std::any_of(proxies_.begin(), proxies_.end(), [&](const auto& entry) {
    const auto& proxy = entry.second;
    if (std::any_of(proxy.written.begin(), proxy.written.end(), written)) return true;
    return proxy.wanted && std::any_of(proxy.wanted->views.begin(), proxy.wanted->views.end(), wanted);
  });
}

}  // namespace ospreypost::platform
