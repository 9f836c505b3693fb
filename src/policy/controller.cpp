// Every decision of the governor, every tuned value and all decision state.
// How to call it: the interface is rules.h. Construct a Governor when an instance starts, then call the
// method named for each thing that happens, with the time; it orders through the Host before it returns.
// How to read it: `round` runs on a timer, surveys what is known, judges the breakers, steps the weights,
// composes the tables and publishes what differs. What must not wait (drains, trips, a proxy without a table)
// goes at once.

#include "policy/controller.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numbers>
#include <numeric>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace ospreypost {
namespace {

using namespace std::chrono_literals;

// --- Figures. Those of the source keep its names; docs/design.md says why each differs from its default.

constexpr double kFloor = 0.2;   // share of the listed weight on return
constexpr double kAnchor = 2.0;  // the one doubling
constexpr Nanos kCooldown = 2s;  // first withdrawal, doubling per repeat
constexpr Nanos kCooldownCap = 20s;
constexpr Nanos kConfirmWindow = 4s;  // clean this long, with sound evidence, closes
constexpr Nanos kClimb = 2 * kConfirmWindow;
constexpr Nanos kRemembered = 3 * kCooldownCap;  // of what is gone, as it may come back
constexpr double kSoundTries = 4;                // good tries since the return that make the evidence sound
constexpr double kTripShare = 0.5;               // of the tries must fail, above what the others meet
constexpr double kTripFailures = 4, kRetripFailures = 2;  // and so many; fewer half-open or of a doubted list
constexpr double kThinFailures = 0.5;                 // of what a usual replica meets, where that is less,
constexpr double kLuck = 1e-4, kUsualFailing = 0.02;  // but more than luck among the others would bring
constexpr double kAlive = 0.1;                        // of its tries go well at what is full, not dead
constexpr double kMostOut = 0.34;  // of listed weight that breakers may hold out, or a list may drop, at once
constexpr Nanos kEvidenceHalfLife = 2s;
constexpr Nanos kDemandHalfLife = 4s;
constexpr unsigned kProbeRounds = 4;  // each replica once in so many, where loads come no other way
constexpr int kStepRounds = 6;        // from one load step to the next
constexpr double kStepBand = 0.2, kStepMost = 1.25;  // off the mean before one, and in one at the most
constexpr double kStepLeast = 0.5, kStepTop = 1.25;  // of the listed weight

constexpr double kLocalSlack = 0.15;       // a zone may run this far above the mean load before it spills
constexpr double kChoosyLocalSlack = 0.6;  // proxies that pick the less busy of two even out their zone
constexpr double kFullEnough = 0.85;       // mean use of the replicas that surprises must not pass
constexpr double kSurprise = 1.6;          // a zone's demand may be off by so much of its proxies' unevenness
constexpr double kWorthSending = 0.08;     // relative change of a line below which it is not sent
constexpr double kSmallestSpill = 0.03;    // a thinner flow into a zone costs connections for nothing

constexpr double kChannelShare = 0.5;                      // of the stated pace and limit that we count on
constexpr double kUnheardShare = 0.1;                      // of that pace, for what no answer has confirmed
constexpr double kAskShare = 0.25;                         // of the limit, from which it is asked what left
constexpr std::size_t kMostAsked = 4096;                   // marks that wait for their first answer
constexpr double kUrgentShare = 0.9, kJoiningShare = 0.8;  // of the limit, for what must not wait
constexpr Nanos kLaySpan = 4s;  // in which all first tables go out, on a channel at the pace we count on
constexpr double kOpenConnections = 0.5;  // of what the smallest replica accepts, were each line open
constexpr double kLeastSubset = 8;        // lines
constexpr std::size_t kMoves = 8;         // a round and zone, at the most
constexpr double kMoveBand = 0.15;        // between the loads of two subsets of a zone before a proxy moves

// The middle replica is crowded when so many of its tries fail, or its mean time is so much of the target
// time.
constexpr double kCrowdedFailing = 0.12, kCrowdedTime = 0.45;
constexpr double kShedMost = 0.3, kShedEase = 0.5;  // of what is let in, a report span
constexpr double kJamRepeats = 1.6;                 // tries for a good one from which there is no second try
constexpr double kLeastLetIn = 0.25, kLeastLevel = 0.1;       // of the work asked for, of a class
constexpr double kHoldRepeats = 0.15, kReleaseRepeats = 0.1;  // on the way to pushing a cold replica over

constexpr TimerId kRoundTimer{1}, kWatchTimer{2};

using Row = std::vector<double>;
using Grid = std::vector<Row>;
using Lines = std::map<ReplicaId, double>;

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }
Nanos nanos(double seconds) { return Nanos(static_cast<Nanos::rep>(seconds * 1e9)); }
double sum(const Row& row) { return std::accumulate(row.begin(), row.end(), 0.0); }

class DecayingSum {
 public:
  explicit DecayingSum(Nanos half_life) : half_life_(half_life) {}
  void add(Nanos now, double amount) { value_ = read(now) + amount, at_ = now; }
  double read(Nanos now) const { return value_ * std::exp2(-seconds(now - at_) / seconds(half_life_)); }

 private:
  Nanos half_life_, at_{};
  double value_ = 0;
};

enum class Breaker { closed, open, half_open };

struct Evidence {
  DecayingSum attempts{kEvidenceHalfLife}, failed{attempts}, time{attempts}, timed{attempts}, load{attempts},
      loads{attempts};
  double sound_tries = 0;  // since the return
};

struct Replica {
  std::size_t zone = 0, block = 0;  // of the zone's blocks
  HardwareKindId kind{};
  CellId cell{};
  double listed = 1;
  EndpointPhase phase = EndpointPhase::gone;
  bool doubted = false;  // the list dropped it, and may be wrong
  std::optional<Nanos> started;

  Breaker breaker = Breaker::closed;
  Nanos cooldown = kCooldown;      // of the next trip
  Nanos reopens{}, window_ends{};  // while open, while half-open
  Nanos proven_until{};            // a trip before then is a repeat, closed or not
  std::optional<Nanos> anchored;   // when the doubling came; the climb counts from it
  std::optional<Nanos> fresh;      // since when it is new here; absent once it tripped
  double step = 1;

  Evidence evidence;
  Nanos evidence_from{};   // sums that came earlier speak of another life
  Nanos listed_at{};       // last, as seen by a round
  bool withdrawn = false;  // as ordered
};

struct Proxy {
  std::size_t zone = 0;
  std::optional<std::size_t> subset;  // that it is bound to
  std::vector<DecayingSum> demand;    // by group, in work as far as it can be told
  double work = 0;                    // of all groups
};

// Classes that may go to the same replicas share a table in each subset.
struct Group {
  ClassMask classes = 0;
  bool same_zone_only = false;
  std::vector<ZoneId> zones;
  std::vector<HardwareKindId> kinds;
  Row demand;  // by zone of the proxies
};

// A block of a zone's replicas and the proxies bound to it: they share one table a group, and its messages.
struct Subset {
  std::vector<Lines> standing;  // as ordered, by group
  Row demand;                   // by group
  double capacity = 0, users = 0;
  Nanos written{};  // when they last got a message
  double load() const { return sum(demand) / std::max(1e-9, capacity); }
};

std::string name(ReplicaId id) { return "replica " + std::to_string(static_cast<std::uint32_t>(id)); }

}  // namespace

struct Controller::State {
  ActionSink& host;
  std::mt19937 chance;
  const bool tables_are_ours;  // without slices
  const std::size_t zones;
  const Nanos round_every;
  const Nanos message_gap;  // to one proxy, so that no window ever holds too many
  const Nanos publish_every, message_delay;
  const double lines_per_second, most_waiting, stated_head;
  const double all_proxies, own_proxies, min_replica_connections;
  const bool by_zone;  // proxies go to a governor of their zone, and there are others
  const bool gone_binds;
  const bool choosy;  // proxies pick the less busy of two
  const double local_slack;
  const double initial_warm_up_capacity;
  const Nanos warm_up_duration;
  const double overload_multiple;
  const bool falls_cold;  // one can be overloaded for so long before it is warm
  const bool may_shed;
  Row class_work, class_payoff;
  std::vector<std::size_t> class_group;
  std::vector<Group> groups;
  std::optional<std::size_t> load_column;
  bool load_is_per_size = false, probes_for_load = false;

  std::map<ReplicaId, Replica> replicas;
  std::map<ProxyId, Proxy> proxies;
  std::vector<std::size_t> blocks = std::vector<std::size_t>(zones, 1);  // of each zone
  std::vector<Subset> subsets;  // a zone's together, in the order of its blocks
  std::vector<std::size_t> first_of = std::vector<std::size_t>(zones);  // of each zone's subsets
  std::vector<DecayingSum> class_demand;
  // The more replicas and proxies, the more rarely a sum comes. All evidence decays on a clock that then runs
  // the slower, so that no half-life is shorter than the span of a sum.
  Nanos beat{}, at{};
  double stretch = 1;
  DecayingSum spans{kDemandHalfLife}, spanned{kDemandHalfLife};

  // As surveyed.
  std::vector<bool> jams = std::vector<bool>(zones);          // by zone
  Row repeats = Row(zones, 1.0);                              // tries for a good one, by zone
  double all_tries = 0, all_failed = 0, serving = 1;          // the last one counts replicas
  double ready = 0, out = 0;                                  // in listed weight
  double pressure = 0, mean_load = -1, used = 0, uneven = 0;  // the last one of the proxies of a zone
  Row works;                                                  // demand by zone, of all groups

  RetryMode retry = RetryMode::after_rejection_proof,
            ordered_retry = retry;  // no effect allows more at every class
  double let_in = 1;                // of the work asked for
  Row levels;                       // as ordered, by class
  Nanos next_publish{}, channel_at{}, asked_at{};
  double head = stated_head + 1;  // of a message, with its mark
  // The channel: lines ordered ever, those of them up to the last call, and those that left it.
  double ordered = 0, marked = 0, left = 0;
  struct Asked {
    double from = 0, lines = 0, messages = 0, answers = 0;  // lines ordered before it and with it
  };
  std::map<AckRequestId, Asked> asked;
  std::uint64_t last_mark = 0;
  double messages = 0;    // that the next mark goes with
  bool answered = false;  // ever, by anybody
  bool hurry = false;
  unsigned rounds = 0;
  int list_failures = 0;

  State(const Settings& s, std::uint64_t seed, Nanos now, ActionSink& to)
      : host(to),
        chance(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))),
        tables_are_ours(s.slices == 0),
        zones(std::max<std::size_t>(s.zones, 1)),
        round_every(std::max<Nanos>(s.report_interval / 2, 100ms)),
        // Three less than allowed: a proxy may join or move between two writings of its subsets.
        message_gap(s.max_messages_per_window == 0
                        ? Nanos{}
                        : nanos(seconds(s.message_window) /
                                std::max(1.0, static_cast<double>(s.max_messages_per_window) - 3))),
        publish_every(std::max<Nanos>(s.report_interval, 3 * message_gap / 2)),
        message_delay(s.message_delay),
        lines_per_second(std::max(1.0, s.channel_entries_per_second * kChannelShare)),
        most_waiting(s.channel_max_queued_entries),
        stated_head(s.message_overhead_entries),
        all_proxies(std::max(1.0, static_cast<double>(s.proxies))),
        own_proxies(all_proxies / std::max(1.0, static_cast<double>(s.governors))),
        min_replica_connections(s.min_replica_connections),
        by_zone(s.proxies_by_zone && s.governors > 1),
        gone_binds(!s.only_draining_is_binding),
        choosy(s.picking == PickingPolicy::two),
        local_slack(choosy ? kChoosyLocalSlack : kLocalSlack),
        initial_warm_up_capacity(std::clamp(s.initial_warm_up_capacity, 0.01, 1.0)),
        warm_up_duration(std::max<Nanos>(s.warm_up_duration, 1ms)),
        overload_multiple(s.overload_multiple),
        falls_cold(s.warm_up_duration > s.overload_duration),
        may_shed(s.admission == AdmissionMode::share && s.slices == 0),
        class_demand(s.classes.size(), DecayingSum{kDemandHalfLife}),
        at(now),
        levels(s.classes.size(), 1.0) {
    for (const auto& cls : s.classes) {
      // Nobody tells the work of a class; those who ask allow more time for what takes longer.
      class_work.push_back(std::max(1e-3, seconds(cls.latency_objective)));
      class_payoff.push_back(cls.priority_weight / class_work.back());
      const auto group = std::find_if(groups.begin(), groups.end(), [&](const Group& g) {
        return g.same_zone_only == cls.same_zone_only && g.zones == cls.allowed_zones &&
               g.kinds == cls.allowed_kinds;
      });
      class_group.push_back(static_cast<std::size_t>(group - groups.begin()));
      if (group == groups.end()) {
        groups.push_back({0, cls.same_zone_only, cls.allowed_zones, cls.allowed_kinds, Row(zones)});
      }
      auto& of = groups[class_group.back()];
      of.classes = static_cast<ClassMask>(of.classes | (1u << (class_work.size() - 1)));
    }
    for (const auto wanted : {LoadMetric::util, LoadMetric::inflight, LoadMetric::queue}) {
      const auto column = std::find(s.load_columns.begin(), s.load_columns.end(), wanted);
      if (load_column || column == s.load_columns.end() || s.reporting == ReportingMode::none) continue;
      load_column = static_cast<std::size_t>(column - s.load_columns.begin());
      load_is_per_size = wanted != LoadMetric::util;
    }
    probes_for_load = s.reporting == ReportingMode::by_health_check && s.health_checks_allowed && load_column;
    if (s.reporting == ReportingMode::by_health_check && !s.health_checks_allowed) load_column.reset();
    if (s.poll_endpoint_list) host.watch_endpoint_list(true);
    host.start_timer(round_every, kRoundTimer);
  }

  // --- What is known

  void tick(Nanos now) {
    beat += nanos(seconds(now - at) / stretch);
    at = now;
  }

  // The span that a sum covers now; by tries, as a thin line waits longer for them.
  double pace() const {
    return std::max(2 * seconds(round_every), spans.read(beat) / std::max(1.0, spanned.read(beat)));
  }

  double own_share() const { return std::min(1.0, static_cast<double>(proxies.size()) / all_proxies); }
  std::size_t zone_of(ZoneId id) const { return std::min(static_cast<std::size_t>(id), zones - 1); }

  bool serves(const Replica& replica) const {
    return replica.phase == EndpointPhase::ready && replica.breaker != Breaker::open &&
           !(jams[replica.zone] && cold(replica));
  }

  bool cold(const Replica& replica) const {
    return replica.started && at < *replica.started + warm_up_duration;
  }

  // Mean load as reported, by size where it is a count; -1 where none came.
  double raw_load(const Replica& replica) const {
    const double reports = replica.evidence.loads.read(beat);
    if (!load_column || reports < 0.2) return -1;
    return replica.evidence.load.read(beat) / reports / (load_is_per_size ? replica.listed : 1);
  }

  double mean_latency(const Replica& replica, double least) const {
    const double timed = replica.evidence.timed.read(beat);
    return timed < least ? -1 : replica.evidence.time.read(beat) / timed;
  }

  // All that is counted over replicas or proxies, once a round.
  void survey() {
    double work = 1e-9, operations = 1e-9, loads = 0, size = 1e-9, uses = 0, reporting = 1e-9;
    for (std::size_t k = 0; k < class_work.size(); ++k) {
      work += class_demand[k].read(beat) * class_work[k];
      operations += class_demand[k].read(beat);
    }
    const double target = work / operations;
    all_tries = all_failed = ready = out = 0, serving = 1e-9;
    Row attempts(zones, 1.0), good(zones, 1.0), crowds;
    for (auto& subset : subsets) subset.capacity = 0;
    for (const auto& [id, replica] : replicas) {
      if (replica.phase == EndpointPhase::ready) ready += replica.listed;
      if (replica.phase == EndpointPhase::ready && replica.breaker == Breaker::open) out += replica.listed;
      if (!serves(replica)) continue;
      const double met = replica.evidence.attempts.read(beat), failed = replica.evidence.failed.read(beat);
      const double late = mean_latency(replica, 0.5) / (kCrowdedTime * target), load = raw_load(replica);
      all_tries += met, all_failed += failed, serving += 1;
      attempts[replica.zone] += met, good[replica.zone] += met - failed;
      // As used a round ago: while replicas have room, failures are a cut's or a sickness's, but lateness a
      // jam's.
      const double room = used > 0 ? used / kFullEnough : 1;
      const double failing = failed / met / kCrowdedFailing * std::clamp(2 * room - 1, 0.0, 1.0);
      if (met >= 1) crowds.push_back(std::max(failing, late * std::min(room, 1.0)));
      if (load >= 0)
        loads += load, reporting += 1, uses += load * replica.listed * replica.step,
            size += replica.listed * replica.step;
      if (!subsets.empty()) subsets[first_of[replica.zone] + replica.block].capacity += weight_of(replica);
    }
    mean_load = loads / reporting;
    used = load_is_per_size ? 0 : uses / size;
    for (std::size_t z = 0; z < zones; ++z) {
      // Where zones keep to themselves one may jam alone.
      repeats[z] = attempts[z] / good[z];
      // Guards cold replicas against a jam: proxies shun what failed them and come down on the newest line,
      // so no weight is small enough. What is cold stays out until the jam is over or it is warm.
      const double jam = (repeats[z] - 1) / (overload_multiple - 1);
      const bool held = jam > (jams[z] ? kReleaseRepeats : kHoldRepeats);
      if (held != jams[z])
        host.log((held ? "hold cold in zone " : "release cold in zone ") + std::to_string(z));
      jams[z] = held;
    }
    // Above 1 is too much, of the middle replica, as a fault of a few is not too much work. Guards against
    // shedding for what more room would not mend.
    pressure = std::max(0.0, 1 + (used - kFullEnough) / (1 - kFullEnough));
    const auto middle = crowds.begin() + static_cast<std::ptrdiff_t>(crowds.size() / 2);
    if (!crowds.empty()) {
      std::nth_element(crowds.begin(), middle, crowds.end());
      pressure = std::max(pressure, *middle);
    }
    survey_proxies();
  }

  void survey_proxies() {
    Row squares(zones);
    works.assign(zones, 0.0);
    for (auto& group : groups) group.demand.assign(zones, 0.0);
    for (auto& subset : subsets) subset.demand.assign(groups.size(), 0.0);
    for (auto& [id, proxy] : proxies) {
      proxy.work = 0;
      for (std::size_t g = 0; g < groups.size(); ++g) {
        const double work = proxy.demand[g].read(beat);
        proxy.work += work;
        groups[g].demand[proxy.zone] += work;
        if (proxy.subset) subsets[*proxy.subset].demand[g] += work;
      }
      squares[proxy.zone] += proxy.work * proxy.work, works[proxy.zone] += proxy.work;
    }
    for (auto& square : squares) square = std::sqrt(square * own_share());
    uneven = sum(squares) / std::max(1e-9, sum(works));
  }

  // --- The breaker

  void trip(ReplicaId id, Replica& replica) {
    hurry = true;
    if (replica.doubted) replica.phase = EndpointPhase::gone;
    // A replica that fails soon after it closed has not recovered: its cooldown goes on doubling.
    const bool repeat = replica.breaker == Breaker::half_open || at < replica.proven_until;
    replica.cooldown = repeat ? std::min(2 * replica.cooldown, kCooldownCap) : kCooldown;
    replica.breaker = Breaker::open;
    replica.fresh.reset();
    out += replica.listed;
    replica.reopens = at + replica.cooldown;
    host.log("trip " + name(id) + " for " + std::to_string(replica.cooldown / 1ms) + " ms");
  }

  void half_open(ReplicaId id, Replica& replica) {
    replica.breaker = Breaker::half_open;
    replica.window_ends = at + kConfirmWindow;
    replica.anchored.reset();
    // Sums that reach us now were counted before the change that we answer them for.
    replica.evidence = {};
    replica.evidence_from = at + nanos(pace()) + message_delay;
    host.log("half-open " + name(id));
  }

  // Against thin traffic: where a usual replica meets few tries, one that fails them all would never meet a
  // fixed count.
  double failures_enough(double others) const {
    const double lucky = std::log(kLuck) / std::log(std::clamp(others, kUsualFailing, kTripShare));
    return std::clamp(kThinFailures * all_tries / serving, std::min(lucky, kTripFailures), kTripFailures);
  }

  void judge() {
    // A replica that is only full reports so and does some tries well; one that is sick is idle or dumb.
    const double full_load = std::max(mean_load, load_is_per_size ? 0 : kFullEnough);
    for (auto& [id, replica] : replicas) {
      if (replica.phase != EndpointPhase::ready) continue;
      if (replica.breaker == Breaker::open) {
        if (at >= replica.reopens) half_open(id, replica);
        continue;
      }
      const double attempts = replica.evidence.attempts.read(beat),
                   failed = replica.evidence.failed.read(beat);
      // Against overload looking like sickness: what fails everywhere is no replica's own fault.
      const double others = (all_failed - failed) / std::max(1.0, all_tries - attempts);
      const bool half = replica.breaker == Breaker::half_open;
      const bool full = raw_load(replica) >= full_load && attempts - failed > kAlive * attempts;
      const double enough = half || replica.doubted ? kRetripFailures : failures_enough(others);
      const bool failing = failed > attempts * (kTripShare + others) && !full && failed >= enough;
      // Against many trips at once when all are slow together: what is left would be crushed.
      if (failing && (replica.doubted || out + replica.listed <= kMostOut * ready)) trip(id, replica);
      if (!half || failing) continue;
      const bool sound = replica.evidence.sound_tries >= kSoundTries;
      if (sound && !replica.anchored) replica.anchored = at;
      if (at < replica.window_ends) continue;
      replica.window_ends = at + kConfirmWindow;
      if (!sound) continue;
      replica.breaker = Breaker::closed;
      replica.proven_until = at + kClimb + kConfirmWindow;
      host.log("close " + name(id));
    }
  }

  // The part of its listed weight that a replica is given: the ratchet, and for a cold one never more than
  // the capacity it is sure to have by now, warming no slower than evenly.
  double share(const Replica& replica) const {
    double part = replica.breaker == Breaker::half_open ? kFloor : 1;
    if (replica.anchored)
      part = kFloor * kAnchor + (1 - kFloor * kAnchor) * seconds(at - *replica.anchored) / seconds(kClimb);
    // Against thin traffic holding back what nobody doubts: a new replica climbs at least as it is sure to
    // warm. Not while too much is asked of all, if that can push it over: proxies come down on the newest
    // line.
    if (replica.fresh && (pressure <= 1 || !falls_cold))
      part = std::max(part, kFloor + (1 - kFloor) * seconds(at - *replica.fresh) / seconds(warm_up_duration));
    const double age =
        cold(replica) ? std::max(0.0, seconds(at - *replica.started) / seconds(warm_up_duration)) : 1;
    return std::min({1.0, part, initial_warm_up_capacity + (1 - initial_warm_up_capacity) * age});
  }

  double weight_of(const Replica& replica) const { return replica.listed * replica.step * share(replica); }

  // --- Levels and load steps

  // Guards against a jam that feeds itself: what is let in shrinks at once and grows slowly.
  void admit() {
    if (rounds % 2 != 0) return;
    const double most = *std::max_element(repeats.begin(), repeats.end());
    retry = most > kJamRepeats ? RetryMode::none : RetryMode::after_rejection_proof;
    let_in = pressure > 1 ? let_in * (1 - kShedMost * std::min(1.0, pressure - 1))
                          : let_in + kShedEase * (1 - std::max(0.0, pressure));
    let_in = may_shed ? std::clamp(let_in, kLeastLetIn, 1.0) : 1.0;
  }

  // The class with the least payoff for its work gives way first.
  Row class_levels() const {
    Row wanted(levels.size(), 1.0);
    if (let_in >= 1) return wanted;
    std::vector<std::size_t> order(levels.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return class_payoff[a] > class_payoff[b]; });
    double budget = 0;
    for (const auto k : order) budget += let_in * class_demand[k].read(beat) * class_work[k];
    for (const auto k : order) {
      const double work = std::max(1e-9, class_demand[k].read(beat) * class_work[k]);
      wanted[k] = std::clamp(budget / work, kLeastLevel, 1.0);
      budget = std::max(0.0, budget - work);
    }
    return wanted;
  }

  double load_of(const Replica& replica) const {
    const double time = mean_latency(replica, 0.2), load = raw_load(replica);
    if (!load_column) return time;
    // Use stops at full while a queue goes on growing; only the time tells then which has the longer one.
    return load < 0 || load_is_per_size || time <= 0 ? load : load * std::sqrt(time);
  }

  void step_loads() {
    if (rounds % kStepRounds != 0) return;
    double all = 0, count = 0;
    const auto steps = [&](const Replica& replica) {
      return replica.phase == EndpointPhase::ready && replica.breaker == Breaker::closed &&
             load_of(replica) >= 0;
    };
    for (const auto& [id, replica] : replicas) {
      if (steps(replica)) all += load_of(replica), count += 1;
    }
    for (auto& [id, replica] : replicas) {
      if (count < 2 || !steps(replica)) continue;
      const double off = std::max(load_of(replica), 1e-6) * count / std::max(all, 1e-6);
      if (std::abs(off - 1) <= kStepBand) continue;
      replica.step *= std::clamp(std::sqrt(1 / off), 1 / kStepMost, kStepMost);
      replica.step = std::clamp(replica.step, kStepLeast, kStepTop);
    }
  }

  // --- The tables

  TableId table_id(std::size_t subset, std::size_t group) const {
    return TableId{static_cast<std::uint16_t>(subset * groups.size() + group)};
  }

  bool open_to(const Group& group, std::size_t zone, const Replica& replica) const {
    const auto has = [](const auto& list, auto id) {
      return list.empty() || std::find(list.begin(), list.end(), id) != list.end();
    };
    if (group.same_zone_only && replica.zone != zone) return false;
    return has(group.zones, static_cast<ZoneId>(replica.zone)) && has(group.kinds, replica.kind);
  }

  // Guards the channel and the connections against tables that grow with the fleet: a zone's replicas are
  // dealt to as many blocks as keep each table within what its proxies can be sent in kLaySpan, and what
  // connections its replicas accept. A small zone has one block.
  void lay_subsets() {
    if (!subsets.empty() || replicas.empty() || !tables_are_ours) return;
    Row count(zones);
    for (const auto& [id, replica] : replicas) count[replica.zone] += replica.phase != EndpointPhase::gone;
    const double sent = (lines_per_second * seconds(kLaySpan) / own_proxies - head) / groups.size();
    const double open = kOpenConnections * min_replica_connections * sum(count) / all_proxies;
    const double most = std::max(kLeastSubset, min_replica_connections > 0 ? std::min(sent, open) : sent);
    for (std::size_t z = 0; z < zones; ++z) {
      blocks[z] = static_cast<std::size_t>(std::max(1.0, std::round(count[z] / most)));
      first_of[z] = subsets.size();
      for (std::size_t b = 0; b < blocks[z]; ++b) {
        subsets.push_back({std::vector<Lines>(groups.size()), Row(groups.size()), 0, 0, {}});
      }
    }
    for (auto& [id, replica] : replicas) replica.block = blocks[replica.zone];
    for (auto& [id, replica] : replicas) deal(replica);
  }

  // Evenly over blocks, cells and kinds: a fault of one cell must leave each table enough.
  void deal(Replica& replica) {
    Row taken(blocks[replica.zone]);
    for (const auto& [id, other] : replicas) {
      const bool mate =
          &other != &replica && other.zone == replica.zone && other.phase != EndpointPhase::gone;
      if (!mate || other.block >= taken.size()) continue;
      taken[other.block] += 1 + (other.cell == replica.cell) + 0.5 * (other.kind == replica.kind);
    }
    replica.block = static_cast<std::size_t>(std::min_element(taken.begin(), taken.end()) - taken.begin());
  }

  // Each zone's proxies keep to their own zone as far as it has room against the mean load of all; the rest
  // goes where room is left. Demand is known late: the fewer and the less alike the proxies of a zone and the
  // fuller the replicas, the more of it all zones share. Groups with the fewest zones to choose from go
  // first.
  std::vector<Lines> compose() const {
    const double surprise = std::clamp(kSurprise * uneven, 0.01, 1.0);
    const double home = used <= 0 ? 1 : std::clamp((kFullEnough / used - 1) / surprise, 1 - surprise, 1.0);
    Row weight(zones), taken(zones);
    for (const auto& [id, replica] : replicas) {
      if (serves(replica)) weight[replica.zone] += weight_of(replica);
    }
    const double all = by_zone ? sum(works) / std::max(0.1, own_share()) : sum(works);
    const double load = all / std::max(1e-9, sum(weight));
    // Proxies dealt by chance bring each governor a like part; where they are dealt by zone, those of the
    // others are taken to fill the zones evenly.
    for (std::size_t z = 0; z < zones; ++z) taken[z] = std::max(1e-9, weight[z] * load - works[z]);
    const double unseen = (all - sum(works)) / sum(taken);
    for (auto& part : taken) part *= unseen;

    std::vector<Lines> lines(subsets.size() * groups.size());
    for (std::size_t turn = 0; turn < zones * groups.size(); ++turn) {
      const auto g = turn % groups.size();
      const auto& group = groups[g];
      const auto choice = group.same_zone_only ? 1 : group.zones.empty() ? zones : group.zones.size();
      if (std::min(choice, zones) != turn / groups.size() + 1) continue;
      const auto usable = usable_by(group);
      Row keeps(zones), spare(zones);
      for (std::size_t z = 0; z < zones; ++z) {
        const double room = std::max(0.0, weight[z] * (1 + local_slack) * load - taken[z]);
        // Before anything is known of the demand, all keep to their own zone.
        if (sum(usable[z]) > 0) keeps[z] = all > 0 ? std::min(home * group.demand[z], room) : 1e-9;
        taken[z] += keeps[z];
      }
      for (std::size_t z = 0; z < zones; ++z) {
        // Proxies that choose even out their own zone; spilling only carries their jam into a jam.
        const bool shut = choosy && 1 - 1 / repeats[z] > kCrowdedFailing;
        const double free = shut ? 0 : sum(usable[z]) * load - taken[z];
        spare[z] = std::max(0.05 * sum(usable[z]), free);
      }
      for (std::size_t zone = 0; zone < zones; ++zone) {
        auto part = spare;
        for (std::size_t to = 0; to < zones; ++to) {
          if (group.same_zone_only && to != zone) part[to] = 0;
        }
        const double demand = std::max(1e-9, group.demand[zone]), over = demand - keeps[zone];
        const double parts = sum(part),
                     moved = choosy && sum(usable[zone]) > 0 ? std::min(over, parts) : over;
        for (std::size_t to = 0; to < zones; ++to) {
          part[to] *= moved / std::max(1e-12, parts);
          taken[to] += part[to];
          if (to == zone) part[to] += demand - moved;
          if (part[to] < kSmallestSpill * demand) part[to] = 0;
        }
        for (std::size_t block = 0; block < blocks[zone]; ++block) {
          auto& table_lines = lines[(first_of[zone] + block) * groups.size() + g];
          for (std::size_t to = 0; to < zones; ++to) {
            const double weights = part[to] / sum(part) * sum(weight);
            if (part[to] > 0) fill(group, to, block, weights, usable[to], table_lines);
          }
        }
      }
    }
    return lines;
  }

  // The weights that a group may use, by zone and block.
  Grid usable_by(const Group& group) const {
    Grid usable;
    for (const auto count : blocks) usable.emplace_back(count);
    for (const auto& [id, replica] : replicas) {
      const bool may = serves(replica) && open_to(group, replica.zone, replica);
      if (may) usable[replica.zone][replica.block] += weight_of(replica);
    }
    return usable;
  }

  // A subset's lines into one zone: its block there. When most of a block is down or drained, the next ones
  // join it until half of a usual one can serve.
  void fill(const Group& group, std::size_t to, std::size_t block, double weights, const Row& usable,
            Lines& lines) const {
    std::vector<bool> joined(usable.size());
    double could = 0;
    for (; could < sum(usable) / usable.size() / 2; ++block) {
      joined[block % usable.size()] = true;
      could += usable[block % usable.size()];
    }
    for (const auto& [id, replica] : replicas) {
      if (replica.zone != to || !joined[replica.block] || !serves(replica)) continue;
      if (open_to(group, to, replica)) lines[id] = weight_of(replica) * weights / could;
    }
  }

  // --- The channel

  // Lines that may wait. A channel may run at a fraction of its pace for a while, so what was ordered waits
  // until an answer shows that it left. Against answers that never come, it leaves unheard, but slowly; where
  // nobody answers marks at all, at the pace that we count on.
  double waiting() {
    const double pace = lines_per_second * (answered ? kUnheardShare : 1);
    left = std::min(ordered, left + seconds(at - channel_at) * pace);
    channel_at = at;
    return ordered - left;
  }

  // Asks about what was ordered in this call, if so much may wait that it matters, or nobody answered yet:
  // marks in all messages cost more than they tell. All calls of one moment leave as one message for each
  // proxy, which needs one mark.
  void ask() {
    if (ordered <= marked) return;
    const bool matters = !answered || waiting() > kAskShare * most_waiting;
    if ((asked.empty() || asked_at != at) && matters) {
      if (asked.size() >= kMostAsked) asked.erase(asked.begin());
      asked[AckRequestId{++last_mark}].from = marked;
      asked_at = at;
      host.request_acknowledgement(AckRequestId{last_mark}, false);
    }
    if (!asked.empty() && asked_at == at) {
      asked.rbegin()->second.lines += ordered - marked;
      asked.rbegin()->second.messages += messages;
    }
    marked = ordered, messages = 0;
  }

  // Messages leave in order: an answer shows that all earlier ones left, and its part of its own.
  void confirm(AckRequestId mark) {
    const auto known = asked.find(mark);
    if (known == asked.end()) return;
    auto& [from, lines, carriers, answers] = known->second;
    const double shown = from + lines * std::min(1.0, ++answers / std::max(1.0, carriers));
    waiting();
    left = answered ? std::max(left, shown) : shown;
    answered = true;
    asked.erase(asked.begin(), known);
  }

  double unbound() const {  // proxies
    double count = static_cast<double>(proxies.size());
    for (const auto& subset : subsets) count -= subset.users;
    return count;
  }

  // The orders of one reply: the lines that still fit, and which subsets get a message or must keep theirs.
  struct Reply {
    double room;
    std::vector<bool> written, kept;
    bool strays_written = false;  // proxies that are bound to none
  };

  // Takes the room for lines to these subsets, if they fit. Guards the queue and the messages to one proxy.
  bool fits(Reply& reply, const std::vector<std::size_t>& to, double lines, bool strays) {
    double cost = 0, carriers = 0;
    const double loose = strays ? unbound() : 0;
    for (const auto s : to) {
      if (reply.kept[s] || (!reply.written[s] && at < subsets[s].written + message_gap)) return false;
      cost += subsets[s].users * (lines + (reply.written[s] ? 0 : head));
      carriers += reply.written[s] ? 0 : subsets[s].users;
    }
    cost += loose * (lines + (reply.strays_written ? 0 : head));
    if (cost > reply.room) return false;
    reply.room -= cost;
    ordered += cost;
    messages += carriers + (reply.strays_written ? 0 : loose);
    for (const auto s : to) reply.written[s] = true;
    reply.strays_written = reply.strays_written || strays;
    return true;
  }

  std::vector<std::size_t> holders(ReplicaId id) const {
    std::vector<std::size_t> found;
    for (std::size_t s = 0; s < subsets.size(); ++s) {
      const auto& tables = subsets[s].standing;
      const auto holds = [&](const Lines& lines) { return lines.contains(id); };
      if (std::any_of(tables.begin(), tables.end(), holds)) found.push_back(s);
    }
    return found;
  }

  bool bare(std::size_t s) const {  // a table of it has no line left to pick
    return std::any_of(subsets[s].standing.begin(), subsets[s].standing.end(), [&](const Lines& lines) {
      return std::none_of(lines.begin(), lines.end(), [&](const auto& line) {
        return serves(replicas.at(line.first)) && !replicas.at(line.first).withdrawn;
      });
    });
  }

  struct Change {
    double off;  // of the weights, against all of the table's
    std::size_t group;
    ReplicaId replica;
    double weight;
  };

  // How a subset's tables differ from those wanted, the furthest off first.
  std::vector<Change> changes_of(std::size_t s, const std::vector<Lines>& wanted, double worth) const {
    std::vector<Change> changes;
    for (std::size_t g = 0; g < groups.size(); ++g) {
      const auto& want = wanted[s * groups.size() + g];
      const auto& held = subsets[s].standing[g];
      if (want.empty()) continue;  // an empty table would leave its proxies without a replica
      double weights = 0;
      for (const auto& [id, weight] : want) weights += weight;
      for (const auto& [id, weight] : want) {
        const auto line = held.find(id);
        const double off = std::abs(weight - (line == held.end() ? 0.0 : line->second));
        // A line that comes or falls by half, as of what restarted cold, goes before any other.
        const bool first = line == held.end() || weight < line->second / 2;
        if (first || off > worth * line->second) changes.push_back({off / weights + first, g, id, weight});
      }
      for (const auto& [id, weight] : held) {
        // A withdrawn replica may keep its line for its return, unless it is gone for good.
        const auto& replica = replicas.at(id);
        const bool returns = replica.breaker == Breaker::open && replica.phase == EndpointPhase::ready;
        if (!want.contains(id) && !returns) changes.push_back({0.0, g, id, 0.0});
      }
    }
    std::stable_sort(changes.begin(), changes.end(), [](auto& a, auto& b) { return a.off > b.off; });
    return changes;
  }

  // Sends what differs from the standing tables, as much as fits, in the order of what it protects:
  // withdrawals, levels, the tables that are furthest off, and last what may return. The rest waits.
  void publish() {
    if (subsets.empty()) return;
    const auto wanted = compose();
    Reply reply{kUrgentShare * most_waiting - waiting(), std::vector<bool>(subsets.size()),
                std::vector<bool>(subsets.size())};
    hurry = false;
    for (auto& [id, replica] : replicas) {
      if (replica.withdrawn || serves(replica)) continue;
      const auto held = holders(id);
      replica.withdrawn = fits(reply, held, 1, true);
      // What drains or is gone for good leaves the tables in one go, and so never costs a second line.
      for (std::size_t t = 0; t < held.size() * groups.size() && replica.phase != EndpointPhase::ready; ++t) {
        const auto s = held[t / groups.size()], g = t % groups.size();
        if (replica.withdrawn && subsets[s].standing[g].erase(id) > 0)
          host.set_table_entry(table_id(s, g), id, 0);
      }
      if (replica.withdrawn) host.set_ejected(id, true);
      // No later order may take the next message of those that wait for this one.
      for (const auto s : held) reply.kept[s] = reply.kept[s] || !replica.withdrawn;
      hurry = hurry || !replica.withdrawn;
    }
    const double reserve = (kUrgentShare - kChannelShare) * most_waiting;
    send_levels(reply);
    reply.room -= reserve;
    // The fuller the channel, the more a change must matter.
    const double worth = kWorthSending / std::max(0.2, 1 - waiting() / (kChannelShare * most_waiting));
    std::vector<std::tuple<bool, double, std::size_t>> order;
    std::vector<std::vector<Change>> changes;
    for (std::size_t s = 0; s < subsets.size(); ++s) {
      changes.push_back(changes_of(s, wanted, worth));
      double off = 0;
      for (const auto& change : changes[s]) off -= change.off;
      order.push_back({!bare(s), off, s});
    }
    std::sort(order.begin(), order.end());
    std::set<ReplicaId> unsent;
    for (const auto& [supplied, off, s] : order) {
      // Nothing may keep a line from proxies that have none.
      reply.kept[s] = reply.kept[s] && supplied;
      reply.room += supplied ? 0 : reserve;
      const double some = std::max(0.0, reply.room / std::max(1.0, subsets[s].users) - head);
      const auto fitting = std::min(changes[s].size(), static_cast<std::size_t>(some));
      const bool sent = fitting > 0 && fits(reply, {s}, static_cast<double>(fitting), false);
      reply.room -= supplied ? 0 : reserve;
      for (std::size_t i = 0; i < changes[s].size(); ++i) {
        const auto& [share_off, group, id, weight] = changes[s][i];
        auto& held = subsets[s].standing[group];
        if (!sent || i >= fitting) {
          unsent.insert(id);
        } else {
          host.set_table_entry(table_id(s, group), id, weight);
          weight > 0 ? void(held[id] = weight) : void(held.erase(id));
        }
      }
    }
    reply.room += reserve;
    for (auto& [id, replica] : replicas) {
      // The line that it had before its trip must not be let in again.
      if (!replica.withdrawn || !serves(replica) || unsent.contains(id)) continue;
      if (!fits(reply, holders(id), 1, true)) continue;
      host.set_ejected(id, false);
      replica.withdrawn = false;
    }
    for (std::size_t s = 0; s < subsets.size(); ++s) {
      if (reply.written[s] && subsets[s].users > 0)
        subsets[s].written = at, next_publish = at + publish_every;
    }
  }

  void send_levels(Reply& reply) {
    const auto wanted = class_levels();
    std::vector<std::size_t> changed, everyone(subsets.size());
    for (std::size_t k = 0; k < levels.size(); ++k) {
      const bool back = wanted[k] >= 1 && levels[k] < 1;
      if (back || retry != ordered_retry || std::abs(wanted[k] - levels[k]) > kWorthSending)
        changed.push_back(k);
    }
    std::iota(everyone.begin(), everyone.end(), std::size_t{0});
    if (changed.empty() || !fits(reply, everyone, static_cast<double>(changed.size()), true)) return;
    for (const auto k : changed) {
      levels[k] = wanted[k];
      host.set_admitted_fraction(kAllTables, static_cast<ClassMask>(1u << k), levels[k], retry);
    }
    ordered_retry = retry;
    head = stated_head + 1 + static_cast<double>(levels.size());  // every later message carries them
  }

  // Gives a proxy all tables of a subset at once, with every standing withdrawal.
  void put_on(ProxyId id, Proxy& proxy, std::size_t s, double share_of_channel) {
    auto& subset = subsets[s];
    double lines = head;
    for (const auto& held : subset.standing) {
      if (held.empty()) return;
      lines += 1.0 + static_cast<double>(held.size() + levels.size());
      for (const auto& [replica, weight] : held) lines += replicas.at(replica).withdrawn;
    }
    if (waiting() + lines > share_of_channel * most_waiting) return;
    ordered += lines;
    messages += 1;
    for (std::size_t g = 0; g < groups.size(); ++g) {
      host.bind(id, table_id(s, g), groups[g].classes);
      if (proxy.subset) subsets[*proxy.subset].demand[g] -= proxy.demand[g].read(beat);
      subset.demand[g] += proxy.demand[g].read(beat);
    }
    if (proxy.subset) subsets[*proxy.subset].users -= 1;
    subset.users += 1;
    proxy.subset = s;
  }

  // The emptiest and the fullest subset of a zone.
  std::pair<std::size_t, std::size_t> extremes(std::size_t zone) const {
    const auto first = subsets.begin() + static_cast<std::ptrdiff_t>(first_of[zone]);
    const auto last = first + static_cast<std::ptrdiff_t>(blocks[zone]);
    const auto found = std::minmax_element(first, last, [](auto& a, auto& b) { return a.load() < b.load(); });
    return {found.first - subsets.begin(), found.second - subsets.begin()};
  }

  void bind() {
    for (auto& [id, proxy] : proxies) {
      if (!proxy.subset && !subsets.empty()) put_on(id, proxy, extremes(proxy.zone).first, kJoiningShare);
    }
  }

  // Proxies differ, their streams change and blocks lose replicas, so subsets drift apart. Proxies move one
  // by one from the fullest of a zone to the emptiest: that costs less than a change of every line.
  void even_out() {
    for (std::size_t turn = 0; turn < kMoves * zones && !subsets.empty(); ++turn) {
      const auto [idle, full] = extremes(turn % zones);
      const double apart = 1 - subsets[idle].load() / std::max(1e-9, subsets[full].load());
      if (apart <= kMoveBand) continue;
      const double most = sum(subsets[full].demand) * apart / 2;
      std::pair<const ProxyId, Proxy>* mover = nullptr;
      for (auto& entry : proxies) {
        const auto& proxy = entry.second;
        if (proxy.subset != full || proxy.work > most) continue;
        if (!mover || proxy.work > mover->second.work) mover = &entry;
      }
      if (mover) put_on(mover->first, mover->second, idle, kChannelShare);
    }
  }

  // No trip may empty a table: a group of classes left with none, in a zone that may use it, gets back at
  // once the replica that is due first.
  void keep_served() {
    for (const auto& group : groups) {
      for (std::size_t zone = 0; zone < zones; ++zone) {
        std::pair<const ReplicaId, Replica>* first = nullptr;
        bool served = false;
        for (auto& entry : replicas) {
          if (entry.second.phase != EndpointPhase::ready || !open_to(group, zone, entry.second)) continue;
          served = served || serves(entry.second);
          if (!first || entry.second.reopens < first->second.reopens) first = &entry;
        }
        if (!served && first) jams.assign(zones, false), half_open(first->first, first->second);
      }
    }
  }

  void take_load(Replica& replica, const std::vector<float>& load) const {
    if (!load_column || *load_column >= load.size() || at < replica.evidence_from) return;
    replica.evidence.load.add(beat, load[*load_column]);
    replica.evidence.loads.add(beat, 1);
  }

  // Against state that grows with all that ever was. A proxy bound to nothing may still hold a line of it.
  void forget() {
    for (auto entry = replicas.begin(); entry != replicas.end();) {
      const auto& [id, replica] = *entry;
      if (replica.phase != EndpointPhase::gone) entry->second.listed_at = at;
      const bool past = replica.withdrawn && at > replica.listed_at + kRemembered;
      const bool held = past && (unbound() > 0 || !holders(id).empty());
      if (past && !held) host.set_ejected(id, false);
      entry = past && !held ? replicas.erase(entry) : std::next(entry);
    }
  }

  void round() {
    host.start_timer(round_every, kRoundTimer);
    forget();
    ++rounds;
    for (const auto& [id, replica] : replicas) {
      const bool its_turn = (static_cast<std::uint32_t>(id) + rounds) % kProbeRounds == 0;
      if (its_turn && probes_for_load && serves(replica)) host.request_health_check(id);
    }
    survey();
    judge();
    keep_served();
    step_loads();
    admit();
    bind();
    even_out();
    if (hurry || at >= next_publish) publish();
    ask();
  }

  // Guards against a wrong list: where being dropped does not bind, one that loses so much at once is
  // doubted, and what it dropped serves on until its own tries fail.
  void drop(const std::vector<Replica*>& dropped) {
    double listed = 0, lost = 0;
    for (const auto& [id, replica] : replicas) listed += replica.phase == EndpointPhase::ready;
    for (const auto* replica : dropped) lost += replica->phase == EndpointPhase::ready && !replica->doubted;
    const bool doubt = !gone_binds && lost > kMostOut * listed;
    if (doubt) host.log("doubt the list: " + std::to_string(static_cast<int>(lost)) + " dropped");
    for (auto* replica : dropped) {
      replica->doubted = replica->doubted || (doubt && replica->phase == EndpointPhase::ready);
      if (!replica->doubted) replica->phase = EndpointPhase::gone, hurry = true;
    }
  }

  void take_entry(const EndpointUpdate& entry, bool at_start) {
    const bool known = replicas.contains(entry.replica);
    auto& replica = replicas[entry.replica];
    const bool was_ready = known && replica.phase == EndpointPhase::ready;
    const bool restarted = known && entry.started && replica.started != entry.started;
    const bool elsewhere = !known || replica.zone != zone_of(entry.zone);
    replica.zone = zone_of(entry.zone);
    replica.kind = entry.kind;
    replica.cell = entry.cell;
    replica.listed = std::max(1e-3, entry.weight);
    replica.phase = entry.phase;
    replica.doubted = false;
    replica.started = entry.started;
    if (elsewhere) deal(replica);
    hurry = hurry || (was_ready && entry.phase != EndpointPhase::ready);
    if (entry.phase != EndpointPhase::ready) return;
    // Listed at the start means closed, but what started a moment ago is cold whatever the breaker says.
    if (at_start ? !cold(replica) : was_ready && !restarted) return;
    replica.step = 1;
    replica.fresh = at_start ? replica.started : at;
    half_open(entry.replica, replica);
  }
};

// --- Events

Controller::Controller(const Settings& settings, std::uint64_t seed, Nanos now, ActionSink& host)
    : state_(std::make_unique<State>(settings, seed, now, host)) {}
Controller::~Controller() = default;
Controller::Controller(Controller&&) noexcept = default;
Controller& Controller::operator=(Controller&&) noexcept = default;

void Controller::on_endpoint_list(Nanos now, EndpointListKind kind,
                                  const std::vector<EndpointUpdate>& entries) {
  auto& s = *state_;
  s.tick(now);
  s.list_failures = 0;
  std::set<ReplicaId> named;  // in a list of changes those that are gone, else those that are not
  for (const auto& entry : entries) {
    if ((entry.phase == EndpointPhase::gone) == (kind == EndpointListKind::changes))
      named.insert(entry.replica);
    if (entry.phase != EndpointPhase::gone) s.take_entry(entry, kind == EndpointListKind::cached);
  }
  std::vector<Replica*> dropped;
  for (auto& [id, replica] : s.replicas) {
    if (replica.phase != EndpointPhase::gone && named.contains(id) == (kind == EndpointListKind::changes))
      dropped.push_back(&replica);
  }
  s.drop(dropped);
  s.lay_subsets();
  s.survey();
  s.keep_served();
  if (s.hurry || kind == EndpointListKind::cached) s.publish();
  s.ask();
}

void Controller::on_endpoint_list_failed(Nanos) {
  auto& s = *state_;
  // Against every asker coming back at the same moment to a list that is already too busy.
  s.list_failures = std::min(s.list_failures + 1, 3);
  std::uniform_real_distribution<double> spread(0.3, 1.0);
  s.host.start_timer(nanos(0.5 * (1 << s.list_failures) * spread(s.chance)), kWatchTimer);
}

void Controller::on_proxy_joined(Nanos now, ProxyId proxy, ZoneId zone, double usual_operations_per_second,
                                 bool) {
  auto& s = *state_;
  s.tick(now);
  on_proxy_left(now, proxy);
  auto& joined = s.proxies[proxy];
  joined.zone = s.zone_of(zone);
  joined.demand.assign(s.groups.size(), DecayingSum{kDemandHalfLife});
  // Until its sums arrive, what it usually gets stands in for them.
  const double usual = usual_operations_per_second / std::numbers::ln2 * seconds(kDemandHalfLife);
  for (std::size_t k = 0; k < s.class_work.size(); ++k) {
    joined.demand[s.class_group[k]].add(s.beat, usual * s.class_work[k] / s.class_work.size());
  }
  s.bind();
  s.ask();
}

void Controller::on_proxy_left(Nanos, ProxyId proxy) {
  auto& s = *state_;
  const auto known = s.proxies.find(proxy);
  if (known == s.proxies.end()) return;
  if (known->second.subset) s.subsets[*known->second.subset].users -= 1;
  s.proxies.erase(known);
  // What waits for a proxy is lost with its stream.
  if (s.proxies.empty()) s.left = s.ordered;
}

void Controller::on_replica_load_report(Nanos now, const ReplicaLoadReport& sum) {
  auto& s = *state_;
  s.tick(now);
  s.spans.add(s.beat, sum.attempts * seconds(sum.span));
  s.spanned.add(s.beat, sum.attempts);
  s.stretch = std::max(1.0, s.pace() / seconds(kEvidenceHalfLife));
  const auto known = s.replicas.find(sum.replica);
  if (known == s.replicas.end() || now < known->second.evidence_from) return;
  auto& evidence = known->second.evidence;
  const double good = static_cast<double>(sum.attempts) - std::min(sum.failed, sum.attempts);
  evidence.attempts.add(s.beat, sum.attempts);
  evidence.failed.add(s.beat, sum.failed);
  evidence.sound_tries += good;
  if (good > 0 && sum.mean_latency > Nanos{}) {
    evidence.time.add(s.beat, good * seconds(sum.mean_latency));
    evidence.timed.add(s.beat, good);
  }
  s.take_load(known->second, sum.load);
}

void Controller::on_demand_report(Nanos now, ProxyId proxy, const DemandReport& demand) {
  auto& s = *state_;
  s.tick(now);
  const auto known = s.proxies.find(proxy);
  const auto k = static_cast<std::size_t>(demand.cls);
  if (known == s.proxies.end() || k >= s.class_work.size()) return;
  known->second.demand[s.class_group[k]].add(s.beat, demand.operations * s.class_work[k]);
  s.class_demand[k].add(s.beat, demand.operations);
}

void Controller::on_timer(Nanos now, TimerId timer) {
  state_->tick(now);
  if (timer == kRoundTimer) state_->round();
  if (timer == kWatchTimer) state_->host.watch_endpoint_list(true);
}

void Controller::on_acknowledged(Nanos now, ProxyId, AckRequestId mark, Nanos) {
  state_->tick(now);
  state_->confirm(mark);
}

// A probe is asked for its load report only: a missing answer may be the fault of our own way to the replica.
void Controller::on_health_check_result(Nanos now, const HealthCheckResult& answer) {
  state_->tick(now);
  const auto known = state_->replicas.find(answer.replica);
  if (known != state_->replicas.end() && answer.answered) state_->take_load(known->second, answer.load);
}

void Controller::on_peer_message(Nanos, PeerId, std::string_view) {}
// Sites with slices are not served yet: their standing tables are left as the store holds them.
void Controller::on_slice_granted(Nanos, TableId) {}
void Controller::on_slice_revoked(Nanos, TableId) {}
void Controller::on_slice_entry_stored(Nanos, TableId, ReplicaId, double) {}
void Controller::on_slice_demand_report(Nanos, TableId, const DemandReport&) {}

}  // namespace ospreypost
