#include "replay/replica_faults.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace ospreypost::replay {
namespace {

using namespace std::chrono_literals;

// Minimum share of failed attempts in a spell that counts as a fault.
constexpr double kMinFaultFailureRatio = 0.2;
// Limits of the time between a crash and its notice, which is when the endpoint list shows the crash.
constexpr Nanos kMinCrashNotice = 100ms;
constexpr Nanos kMaxCrashNotice = 30s;
// Spells of one kind with a shorter gap form one fault. Faults below the minimum duration are left out.
constexpr Nanos kMaxSpellGap = 500ms;
constexpr Nanos kMinSpellDuration = 300ms;
// Minimum weight of a spell in the averages of its fault; otherwise a spell is weighted by its duration.
constexpr double kMinSpellSeconds = 1e-3;

struct Absence {
  Nanos from{};
  Nanos to{};
};

// State of a replica according to the endpoint lists read so far.
struct ListedState {
  bool was_ready = false;
  bool is_draining = false;
  std::optional<Nanos> left_at;  // time when listed as draining or gone; empty while the replica is ready
  std::optional<Nanos> gone_at;  // time when listed as gone, which ends a drain
};

// Reads drains and crashes from the endpoint lists and adds them as faults. Each absence lasts until the
// replica is listed as ready again.
class AbsenceReader {
 public:
  AbsenceReader(const ScenarioSource& source, const ReplicaNames& names, FaultElements& faults)
      : source_(source), names_(names), faults_(faults) {}

  std::map<ReplicaId, std::vector<Absence>> read() {
    for (const auto& list : source_.history.lists) {
      for (const auto& update : list.entries) apply_update(list.at, update);
    }
    for (auto& [replica, state] : states_) end_absence(replica, state, source_.history.length);
    return absences_;
  }

 private:
  void apply_update(Nanos now, const EndpointUpdate& update) {
    ListedState& state = states_[update.replica];
    switch (update.phase) {
      case EndpointPhase::ready:
        end_absence(update.replica, state, now);
        state = {};
        state.was_ready = true;
        return;
      case EndpointPhase::draining:
        if (!state.left_at) begin_absence(state, now, true);
        return;
      case EndpointPhase::gone:
        if (!state.left_at) begin_absence(state, now, false);
        state.gone_at = now;
        return;
    }
  }

  static void begin_absence(ListedState& state, Nanos now, bool draining) {
    state.is_draining = draining;
    // A list at time 0 shows the initial state; a replica listed as draining or gone there left before the
    // record.
    if (now != 0ns) state.left_at = now;
  }

  void end_absence(ReplicaId replica, ListedState& state, Nanos now) {
    if (!state.was_ready || !state.left_at) return;
    const Nanos listed_at = *state.left_at;
    const Nanos from = state.is_draining ? listed_at : crash_time(replica, listed_at);
    const std::string replicas_attribute = attribute("replicas", names_.name_of(replica));
    if (state.is_draining) {
      const Nanos drained_after = state.gone_at.value_or(now) - from;
      faults_.add(from, now, "drain", replicas_attribute + attribute("leaves", duration_text(drained_after)));
    } else {
      const Nanos notice = std::min(std::max(listed_at - from, kMinCrashNotice), now - from);
      faults_.add(from, now, "crash", replicas_attribute + attribute("notice", duration_text(notice)));
    }
    absences_[replica].push_back({from, now});
    state.left_at.reset();
  }

  // Returns when the attempts at the replica began to fail, if they failed until the list showed the replica
  // as gone; otherwise the time of the list.
  Nanos crash_time(ReplicaId replica, Nanos listed_at) const {
    Nanos crashed_at = listed_at;
    const auto& spells = source_.fleet.replicas[static_cast<std::size_t>(replica)].spells;
    std::for_each(spells.rbegin(), spells.rend(), [&](const simulation::Spell& spell) {
      const bool leads_to_crash = spell.from < crashed_at && spell.to >= crashed_at;
      if (leads_to_crash && spell.failure_ratio >= kMinFaultFailureRatio)
        crashed_at = std::max(spell.from, listed_at - kMaxCrashNotice);
    });
    return crashed_at;
  }

  const ScenarioSource& source_;
  const ReplicaNames& names_;
  FaultElements& faults_;
  std::map<ReplicaId, ListedState> states_;
  std::map<ReplicaId, std::vector<Absence>> absences_;
};

// Returns the name of the scenario element for a spell, or nothing if the spell is not a fault.
std::optional<std::string_view> fault_kind(const simulation::Spell& spell) {
  if (spell.failure_ratio >= kMinFaultFailureRatio) {
    const bool nearly_all_fail = spell.failure_ratio > 0.9;
    if (spell.not_run_ratio > 0.5 && nearly_all_fail) return "refuse";
    if (spell.hang_ratio > 0.5 && nearly_all_fail) return "hang";
    return "fast-errors";
  }
  if (spell.slowdown > 1) return "slow";
  return std::nullopt;
}

// Consecutive spells of one kind, merged into one fault. A spell is a time in which attempts failed or were
// slow.
struct MergedSpell {
  std::optional<std::string_view> kind;
  Nanos from{};
  Nanos to{};
  double seconds = 0;
  double failed_seconds = 0;    // sum of seconds times the share of failed attempts
  double slowness_seconds = 0;  // sum of seconds times the slowdown factor of attempts
};

std::vector<MergedSpell> merge_adjacent(const std::vector<simulation::Spell>& spells) {
  std::vector<MergedSpell> merged;
  for (const auto& spell : spells) {
    const auto kind = fault_kind(spell);
    const bool continues_last =
        !merged.empty() && merged.back().kind == kind && spell.from - merged.back().to < kMaxSpellGap;
    if (!continues_last) merged.push_back({kind, spell.from, spell.from, 0, 0, 0});
    MergedSpell& last = merged.back();
    const double seconds =
        std::max(kMinSpellSeconds, std::chrono::duration<double>(spell.to - spell.from).count());
    last.to = spell.to;
    last.seconds += seconds;
    last.failed_seconds += seconds * spell.failure_ratio;
    last.slowness_seconds += seconds * spell.slowdown;
  }
  return merged;
}

std::string attributes_of(const MergedSpell& spell) {
  if (spell.kind == "fast-errors")
    return attribute("share", decimal_text(std::min(1.0, spell.failed_seconds / spell.seconds)));
  if (spell.kind == "slow") return attribute("factor", decimal_text(spell.slowness_seconds / spell.seconds));
  return "";
}

bool overlaps(const std::vector<Absence>& absences, Nanos from, Nanos to) {
  return std::any_of(absences.begin(), absences.end(),
                     [&](const Absence& absence) { return absence.from <= to && from < absence.to; });
}

}  // namespace

void add_replica_faults(const ScenarioSource& source, const ReplicaNames& names, FaultElements& faults) {
  const auto absences = AbsenceReader(source, names, faults).read();
  for (std::size_t n = 0; n < source.fleet.replicas.size(); ++n) {
    const ReplicaId replica{static_cast<std::uint32_t>(n)};
    const auto found = absences.find(replica);
    for (const auto& spell : merge_adjacent(source.fleet.replicas[n].spells)) {
      if (!spell.kind || spell.to - spell.from < kMinSpellDuration) continue;
      // A drain or crash of the replica already covers this spell.
      if (found != absences.end() && overlaps(found->second, spell.from, spell.to)) continue;
      faults.add(spell.from, spell.to, std::string(*spell.kind),
                 attribute("replicas", names.name_of(replica)) + attributes_of(spell));
    }
  }
}

}  // namespace ospreypost::replay
