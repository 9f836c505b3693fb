// Every decision of the governor, every tuned value and all decision state.
// How to call it: the interface is rules.h. Construct a Governor when an instance starts, then call the
// method named for each thing that happens, with the time; it orders through the Host before it returns.
// How to read it: a list or a sum only changes what is known; `round` runs on a timer, judges the breakers,
// steps the weights and hands the tables to `publish`, which sends what differs. What must not wait (drains,
// trips, a proxy without a table) goes out at once.

#include "rules.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numbers>
#include <random>
#include <set>
#include <string>

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
constexpr double kSoundTries = 4;      // good tries since the return that make the evidence sound
constexpr double kTripShare = 0.5;     // of the tries must fail, above what the others meet
constexpr double kTripFailures = 4;    // and at least so many: two unlucky tries trip nothing
constexpr double kRetripFailures = 2;  // half-open is on trial: fewer do
constexpr double kAlive = 0.1;         // of its tries go well at what is full, not dead
constexpr double kMostOut = 0.34;      // of listed weight that breakers may hold out at once
constexpr Nanos kEvidenceHalfLife = 2s;
constexpr Nanos kUsualHalfLife = 6s;  // of what a replica is usually sent
constexpr Nanos kYieldHalfLife = 60s;
constexpr double kSilence = 8;  // tries that others' reports say it must have met, none good: it hangs
constexpr Nanos kDemandHalfLife = 4s;
constexpr Nanos kProbeEvery = 2s;                    // for each replica, where loads come no other way
constexpr Nanos kStepEvery = 3s;                     // load steps
constexpr double kStepBand = 0.2;                    // off the mean before a step is taken
constexpr double kStepMost = 1.25;                   // one step at the most
constexpr double kStepLeast = 0.5, kStepTop = 1.25;  // of the listed weight
constexpr double kLocalSlack = 0.15;  // a zone may run this far above the mean load before it spills
// Proxies that pick the less busy of two even out their zone by themselves, and less well the more replicas
// they share; spilling then only carries one zone's jam to the others.
constexpr double kChoosyLocalSlack = 3.0;
constexpr double kJamLocalSlack = 0.6;     // once such a zone jams alone
constexpr double kRoomy = 0.7;             // pressure of a zone that others may spill into
constexpr double kFullEnough = 0.85;       // mean use of the replicas that surprises must not pass
constexpr double kDemandSurprise = 1.0;    // by how much a zone's demand may be off before it is told
constexpr double kWorthSending = 0.08;     // relative change of a line below which it is not sent
constexpr double kSmallestSpill = 0.03;    // a thinner flow into a zone costs connections for nothing
constexpr double kChannelShare = 0.5;      // of the stated pace and limit that we count on
constexpr double kOrdinaryMessages = 0.7;  // of the messages allowed; the rest is kept for what cannot wait

constexpr double kCrowdedFailing = 0.12;  // failing share of the middle replica that means too much is let in
constexpr double kCrowdedTime = 0.45;     // or its mean time, of the target time
constexpr double kShedMost = 0.3;         // of what is let in, taken back in one report span at the most
constexpr double kShedEase = 0.5;         // given again in one report span, times what is left to crowded
constexpr double kJamRepeats = 1.6;       // tries for a good one from which there is no second try,
constexpr double kEasedRepeats = 1.3;     // and below which there is one again
constexpr double kLeastLetIn = 0.25;      // of the work asked for
constexpr double kLeastLevel = 0.1;       // no class is shut out
constexpr double kHoldRepeats = 0.15;    // tries for a good one, of the load that pushes a cold replica over,
constexpr double kReleaseRepeats = 0.1;  // from which cold ones are held out, and let in again
constexpr double kDrawnTwice = 1.5;  // a line of two drawn gets more than its part when it refuses at once
constexpr double kColdMargin = 0.3;  // of the load that would push a cold replica over

constexpr TimerId kRoundTimer{1}, kWatchTimer{2};

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }

class DecayingSum {
 public:
  explicit DecayingSum(Nanos half_life) : half_life_(half_life) {}
  void add(Nanos now, double amount) { value_ = read(now) + amount, at_ = now; }
  double read(Nanos now) const { return value_ * std::exp2(-seconds(now - at_) / seconds(half_life_)); }
  double rate(Nanos now) const { return read(now) * std::numbers::ln2 / seconds(half_life_); }
  void clear() { value_ = 0; }

 private:
  Nanos half_life_, at_{};
  double value_ = 0;
};

enum class Breaker { closed, open, half_open };

struct Replica {
  ZoneId zone{};
  KindId kind{};
  double listed = 1;
  Phase phase = Phase::ready;
  std::optional<Nanos> started;

  Breaker breaker = Breaker::closed;
  Nanos cooldown = kCooldown;  // of the next trip
  Nanos reopens{};             // while open
  Nanos window_ends{};
  Nanos proven_until{};           // a trip before then is a repeat, closed or not
  bool held = false;              // cold, and kept out of a jam
  std::optional<Nanos> anchored;  // when the doubling came; the climb counts from it
  double sound_tries = 0;         // since the return
  double step = 1;
  std::vector<DecayingSum> usual;  // tries by zone of the proxies, over a longer time
  bool did_well = true;            // since the last round, which counts whole report beats only
  std::vector<double> heard;       // each zone's count of tries when this one last did well

  DecayingSum tries{kEvidenceHalfLife}, failed{kEvidenceHalfLife};
  DecayingSum time_sum{kEvidenceHalfLife}, time_count{kEvidenceHalfLife};
  DecayingSum load_sum{kEvidenceHalfLife}, load_count{kEvidenceHalfLife};
  Nanos evidence_from{};  // sums that came earlier speak of another life

  Nanos next_probe{};
  bool withdrawn = false;  // as ordered
};

struct Proxy {
  ZoneId zone{};
  bool bound = false;
};

// Classes that may go to the same replicas share a table in each zone.
struct Group {
  ClassMask classes = 0;
  bool home_only = false;
  std::vector<ZoneId> zones;
  std::vector<KindId> kinds;
  std::vector<DecayingSum> demand;  // by zone of the proxies, in work as far as it can be told
  double work = 1;                  // of an operation, of the class that has the least
};

using Lines = std::map<ReplicaId, double>;

std::string name(ReplicaId id) { return "replica " + std::to_string(static_cast<std::uint32_t>(id)); }

}  // namespace

struct Governor::State {
  Host& host;
  std::mt19937 chance;
  const bool tables_are_ours;  // without slices
  const std::size_t zones;
  const Nanos round_every, publish_every, sums_lag;
  const double lines_per_second, most_waiting, head;
  const std::size_t messages_allowed;
  const Nanos messages_window;
  const bool choosy;  // proxies pick the less busy of two
  const double local_slack;
  const double cold_share;
  const Nanos cold_time;
  const double fall_multiple;
  const bool may_shed;
  std::vector<double> class_work, class_payoff;
  std::vector<DecayingSum> class_demand;
  std::vector<double> crowded, slack;  // pressure of each zone, and how far it may pass the mean load now
  // Proof that the first try never ran is the most that an effect allows at every class; in a jam a second
  // try only adds to what is refused.
  Retry retry = Retry::after_proof, ordered_retry = retry;
  double let_in = 1;           // of the work asked for
  std::vector<double> levels;  // as ordered, by class
  std::vector<std::size_t> class_group;
  std::optional<std::size_t> load_column;
  bool load_is_per_size = false, probes_for_load = false;
  std::vector<Group> groups;

  std::map<ReplicaId, Replica> replicas;
  std::map<ProxyId, Proxy> proxies;
  std::vector<Lines> standing;  // as ordered, by table
  Nanos next_publish{}, next_step{}, next_admit{}, queued_at{};
  std::vector<DecayingSum> zone_usual, zone_recent;
  double best_yield = 0;
  std::vector<double> zone_tries;  // counted up since the start
  std::deque<Nanos> messages;      // when orders went to all, within the window
  double queued = 0;               // lines we believe to wait
  bool hurry = false;
  int list_failures = 0;

  State(const Settings& s, std::uint64_t seed, Nanos now, Host& to)
      : host(to),
        chance(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))),
        tables_are_ours(s.slices == 0),
        zones(std::max<std::size_t>(s.zones, 1)),
        round_every(std::max<Nanos>(s.report_every / 2, 100ms)),
        publish_every(std::max<Nanos>(
            s.report_every, s.messages_allowed == 0
                                ? Nanos{}
                                : Nanos(static_cast<Nanos::rep>(s.messages_window.count() /
                                                                (kOrdinaryMessages * s.messages_allowed))))),
        sums_lag(s.report_every + s.message_time),
        lines_per_second(std::max(1.0, s.channel_lines_per_second * kChannelShare)),
        most_waiting(s.channel_most_waiting),
        head(s.message_head_lines),
        messages_allowed(s.messages_allowed),
        messages_window(s.messages_window),
        choosy(s.picking == Picking::two),
        local_slack(choosy ? kChoosyLocalSlack : kLocalSlack),
        cold_share(std::clamp(s.cold_share, 0.01, 1.0)),
        cold_time(std::max<Nanos>(s.cold_time, 1ms)),
        fall_multiple(s.fall_multiple),
        may_shed(s.admission == Admission::share && s.slices == 0),
        class_demand(s.classes.size(), DecayingSum{kDemandHalfLife}),
        levels(s.classes.size(), 1.0),
        next_step(now + kStepEvery) {
    for (const auto& cls : s.classes) {
      // Nobody tells the work of a class; those who ask allow more time for what takes longer.
      class_work.push_back(std::max(1e-3, seconds(cls.target_time)));
      class_payoff.push_back(cls.payoff / class_work.back());
      const auto same = [&](const Group& group) {
        return group.home_only == cls.home_only && group.zones == cls.only_zones &&
               group.kinds == cls.only_kinds;
      };
      auto at = std::find_if(groups.begin(), groups.end(), same);
      if (at == groups.end()) {
        groups.push_back({0, cls.home_only, cls.only_zones, cls.only_kinds,
                          std::vector<DecayingSum>(zones, DecayingSum{kDemandHalfLife})});
        at = groups.end() - 1;
      }
      at->work = at->classes == 0 ? class_work.back() : std::min(at->work, class_work.back());
      at->classes = static_cast<ClassMask>(at->classes | (1u << (class_work.size() - 1)));
      class_group.push_back(static_cast<std::size_t>(at - groups.begin()));
    }
    for (const auto wanted : {LoadColumn::util, LoadColumn::inflight, LoadColumn::queue}) {
      const auto at = std::find(s.load_columns.begin(), s.load_columns.end(), wanted);
      if (load_column || at == s.load_columns.end() || s.reporting == Reporting::none) continue;
      load_column = static_cast<std::size_t>(at - s.load_columns.begin());
      load_is_per_size = wanted != LoadColumn::util;
    }
    probes_for_load = s.reporting == Reporting::by_probe && s.may_probe && load_column;
    if (s.reporting == Reporting::by_probe && !s.may_probe) load_column.reset();
    crowded.assign(zones, 0.0);
    slack.assign(zones, local_slack);
    zone_usual.assign(zones, DecayingSum{kUsualHalfLife});
    zone_recent.assign(zones, DecayingSum{kEvidenceHalfLife});
    zone_tries.assign(zones, 0.0);
    standing.resize(zones * groups.size());
    if (s.list_by_asking) host.watch_list(true);
    host.arm(round_every, kRoundTimer);
  }

  // --- The breaker

  bool serves(const Replica& replica) const {
    return replica.phase == Phase::ready && replica.breaker != Breaker::open && !replica.held;
  }

  // Sums that reach us now were counted before the change that we answer them for.
  void forget_evidence(Nanos now, Replica& replica) const {
    for (auto* sum : {&replica.tries, &replica.failed, &replica.time_sum, &replica.time_count,
                      &replica.load_sum, &replica.load_count}) {
      sum->clear();
    }
    for (auto& zone_sum : replica.usual) zone_sum.clear();
    replica.sound_tries = 0;
    replica.evidence_from = now + sums_lag;
  }

  // Guards against many trips at once when all are slow together or a fault strikes widely: what is left
  // would be crushed. Also keeps every group of classes a replica, in every zone that may use it.
  bool may_trip(const Replica& replica) const {
    double listed = 0, out = replica.listed;
    for (const auto& [id, other] : replicas) {
      if (other.phase != Phase::ready) continue;
      listed += other.listed;
      if (other.breaker == Breaker::open) out += other.listed;
    }
    return out <= kMostOut * listed && others_serve(replica);
  }

  bool others_serve(const Replica& replica) const {
    for (const auto& group : groups) {
      for (std::size_t zone = 0; zone < zones; ++zone) {
        if (!open_to(group, zone, replica)) continue;
        const bool other_left = std::any_of(replicas.begin(), replicas.end(), [&](const auto& other) {
          return &other.second != &replica && serves(other.second) && open_to(group, zone, other.second);
        });
        if (!other_left) return false;
      }
    }
    return true;
  }

  // How many tries a replica must have met, by its usual part of what each zone reports, since one of them
  // last went well. Guards against what hangs or vanishes: its tries are counted only when they time out, so
  // for seconds it just falls silent. Late or missing reports of all do not count, nor do those of one zone.
  double silence(Nanos now, const Replica& replica) const {
    double missed = 0;
    for (std::size_t zone = 0; zone < zones; ++zone) {
      const double part = replica.usual[zone].read(now) / std::max(1.0, zone_usual[zone].read(now));
      missed += part * (zone_tries[zone] - replica.heard[zone]);
    }
    return missed;
  }

  void trip(Nanos now, ReplicaId id, Replica& replica) {
    // A replica that fails soon after it closed has not recovered: its cooldown goes on doubling.
    const bool repeat = replica.breaker == Breaker::half_open || now < replica.proven_until;
    replica.cooldown = repeat ? std::min(2 * replica.cooldown, kCooldownCap) : kCooldown;
    replica.breaker = Breaker::open;
    replica.reopens = now + replica.cooldown;
    host.log("trip " + name(id) + " for " + std::to_string(replica.cooldown / 1ms) + " ms");
    hurry = true;
  }

  void half_open(Nanos now, ReplicaId id, Replica& replica) {
    replica.breaker = Breaker::half_open;
    replica.window_ends = now + kConfirmWindow;
    replica.anchored.reset();
    forget_evidence(now, replica);
    host.log("half-open " + name(id));
  }

  bool cold(Nanos now, const Replica& replica) const {
    return replica.started && now < *replica.started + cold_time;
  }

  // Guards cold replicas against a jam. Where most tries fail, proxies shun what failed them and come down on
  // the newest line whatever its weight, so no weight is small enough; what is cold stays out until the jam
  // is over or it is warm, as long as something else serves each group of classes.
  void hold_cold(Nanos now) {
    for (auto& [id, replica] : replicas) {
      if (replica.phase != Phase::ready) continue;
      const double tries = repeats(now, replica.zone);
      if (replica.held) {
        if (cold(now, replica) && tries > 1 + kReleaseRepeats * (fall_multiple - 1)) continue;
        replica.held = false;
        host.log("release " + name(id));
        if (replica.breaker != Breaker::open) half_open(now, id, replica);
      } else if (cold(now, replica) && serves(replica) && tries > 1 + kHoldRepeats * (fall_multiple - 1) &&
                 others_serve(replica)) {
        replica.held = true;
        host.log("hold cold " + name(id));
        hurry = true;
      }
    }
  }

  void judge(Nanos now) {
    double all_tries = 0, all_failed = 0, loads = 0, reporting = 0;
    for (const auto& [id, replica] : replicas) {
      if (!serves(replica)) continue;
      all_tries += replica.tries.read(now);
      all_failed += replica.failed.read(now);
      if (raw_load(now, replica) >= 0) loads += raw_load(now, replica), reporting += 1;
    }
    for (auto& [id, replica] : replicas) {
      if (replica.did_well) replica.heard = zone_tries;
      replica.did_well = false;
      if (replica.phase != Phase::ready) continue;
      if (replica.breaker == Breaker::open) {
        if (now >= replica.reopens) half_open(now, id, replica);
        continue;
      }
      const double tries = replica.tries.read(now), failed = replica.failed.read(now);
      // Against overload looking like sickness: what fails everywhere is no replica's own fault.
      const double others = (all_failed - failed) / std::max(1.0, all_tries - tries);
      const bool on_trial = replica.breaker == Breaker::half_open;
      // A replica that is only full reports so and still does some tries well; one that is sick is idle or
      // dumb.
      const double full_load = std::max(loads / std::max(1.0, reporting), load_is_per_size ? 0 : kFullEnough);
      const bool full = raw_load(now, replica) >= full_load && tries - failed > kAlive * tries;
      const bool failing = (failed > tries * (kTripShare + others) && !full &&
                            failed >= (on_trial ? kRetripFailures : kTripFailures)) ||
                           silence(now, replica) >= kSilence;
      if (failing && may_trip(replica)) {
        trip(now, id, replica);
        continue;
      }
      if (!on_trial || failing) continue;
      const bool sound = replica.sound_tries >= kSoundTries;
      if (sound && !replica.anchored) replica.anchored = now;
      if (now < replica.window_ends) continue;
      if (sound) {
        replica.breaker = Breaker::closed;
        replica.proven_until = now + kClimb + kConfirmWindow;
        host.log("close " + name(id));
      } else {
        replica.window_ends = now + kConfirmWindow;
      }
    }
  }

  // The part of its full capacity that a replica is sure to have by now, warming no slower than evenly.
  double sure(Nanos now, const Replica& replica) const {
    if (!cold(now, replica)) return 1;
    const double age = std::max(0.0, seconds(now - *replica.started) / seconds(cold_time));
    return cold_share + (1 - cold_share) * age;
  }

  // The part of its listed weight that a replica is given: the ratchet, and for a cold one never more than
  // the capacity it is sure to have by now, so that every table together brings it no more than a warm one
  // its load.
  double share(Nanos now, const Replica& replica) const {
    double part = 1;
    if (replica.anchored) {
      const double climbed = seconds(now - *replica.anchored) / seconds(kClimb);
      part = std::min(1.0, kFloor * kAnchor + (1 - kFloor * kAnchor) * climbed);
    } else if (replica.breaker == Breaker::half_open) {
      part = kFloor;
    }
    return std::min(part, sure(now, replica));
  }

  double weight_of(Nanos now, const Replica& replica) const {
    return replica.listed * replica.step * share(now, replica);
  }

  // Tries for each good one, over all replicas that serve or those of the zone, whichever is more: where
  // zones keep to themselves one may jam alone.
  double repeats(Nanos now, ZoneId zone) const {
    double tries = 1, good = 1, zone_all = 1, zone_good = 1;
    for (const auto& [id, replica] : replicas) {
      if (!serves(replica)) continue;
      const double met = replica.tries.read(now), well = met - replica.failed.read(now);
      tries += met, good += well;
      if (replica.zone == zone) zone_all += met, zone_good += well;
    }
    return std::max(tries / good, zone_all / zone_good);
  }

  // Mean use of the replicas that serve, by weight; 0 where no report tells it.
  double use(Nanos now) const {
    double used = 0, size = 0;
    for (const auto& [id, replica] : replicas) {
      const double load = raw_load(now, replica), weight = replica.listed * replica.step;
      if (!serves(replica) || load < 0) continue;
      used += load * weight;
      size += weight;
    }
    return load_is_per_size || size <= 0 ? 0 : used / size;
  }

  // How crowded the middle replica is; above 1 is too much. The middle one, as a fault of a few is not too
  // much work.
  double pressure(Nanos now, std::optional<ZoneId> zone = {}) const {
    double work = 0, operations = 0;
    for (std::size_t k = 0; k < class_work.size(); ++k) {
      work += class_demand[k].read(now) * class_work[k];
      operations += class_demand[k].read(now);
    }
    const double target = operations > 0 ? work / operations : 1;
    std::vector<double> crowded;
    for (const auto& [id, replica] : replicas) {
      const double tries = replica.tries.read(now), times = replica.time_count.read(now);
      if (!serves(replica) || tries < 1 || replica.zone != zone.value_or(replica.zone)) continue;
      const double time = times > 0.5 ? replica.time_sum.read(now) / times : 0;
      crowded.push_back(
          std::max(replica.failed.read(now) / tries / kCrowdedFailing, time / (kCrowdedTime * target)));
    }
    // Use is full before anything is late.
    const double full = zone ? 0 : 1 + (use(now) - kFullEnough) / (1 - kFullEnough);
    if (crowded.empty()) return std::max(0.0, full);
    const auto middle = crowded.begin() + static_cast<std::ptrdiff_t>(crowded.size() / 2);
    std::nth_element(crowded.begin(), middle, crowded.end());
    return std::max(*middle, full);
  }

  // A zone that jams while another has room gives up keeping to itself, step by step; where all are crowded
  // each keeps its own jam.
  void loosen_zones(Nanos now) {
    for (std::size_t z = 0; z < zones; ++z) {
      crowded[z] = pressure(now, ZoneId{static_cast<std::uint16_t>(z)});
    }
    const double least = *std::min_element(crowded.begin(), crowded.end());
    for (std::size_t z = 0; z < zones; ++z) {
      const bool alone = crowded[z] > 1 && least < kRoomy;
      slack[z] =
          std::clamp(slack[z] * (alone ? 0.5 : 1.3), std::min(kJamLocalSlack, local_slack), local_slack);
    }
  }

  // When most replicas are crowded, more tries only add repeats, and all are late. What is let in shrinks at
  // once and grows slowly; the class with the least payoff for its work gives way first.
  void admit(Nanos now) {
    if (now < next_admit) return;
    next_admit = now + 2 * round_every;
    loosen_zones(now);
    double most = 0;
    for (std::size_t z = 0; z < zones; ++z) {
      most = std::max(most, repeats(now, ZoneId{static_cast<std::uint16_t>(z)}));
    }
    if (most > kJamRepeats) retry = Retry::none;
    if (most < kEasedRepeats) retry = Retry::after_proof;
    if (!may_shed) return;
    const double all = pressure(now);
    let_in = all > 1 ? let_in * (1 - kShedMost * std::min(1.0, all - 1)) : let_in + kShedEase * (1 - all);
    let_in = std::clamp(let_in, kLeastLetIn, 1.0);
  }

  std::vector<double> class_levels(Nanos now) const {
    std::vector<double> wanted(levels.size(), 1.0);
    if (let_in >= 1) return wanted;
    std::vector<std::size_t> order(levels.size());
    double budget = 0;
    for (std::size_t k = 0; k < order.size(); ++k) {
      order[k] = k;
      budget += let_in * class_demand[k].read(now) * class_work[k];
    }
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return class_payoff[a] > class_payoff[b]; });
    for (const auto k : order) {
      const double work = std::max(1e-9, class_demand[k].read(now) * class_work[k]);
      wanted[k] = std::clamp(budget / work, kLeastLevel, 1.0);
      budget = std::max(0.0, budget - work);
    }
    return wanted;
  }

  double raw_load(Nanos now, const Replica& replica) const {
    const double reports = replica.load_count.read(now);
    if (!load_column || reports < 0.2) return -1;
    return replica.load_sum.read(now) / reports / (load_is_per_size ? std::max(1e-6, replica.listed) : 1);
  }

  double load_of(Nanos now, const Replica& replica) const {
    const double times = replica.time_count.read(now), load = raw_load(now, replica);
    const double time = times < 0.2 ? -1 : replica.time_sum.read(now) / times;
    if (!load_column) return time;
    if (load < 0 || load_is_per_size) return load;
    // Use stops at full while a queue goes on growing; only the time tells then which replica has the longer
    // one.
    return time > 0 ? load * std::sqrt(time) : load;
  }

  void step_loads(Nanos now) {
    if (now < next_step) return;
    next_step = now + kStepEvery;
    double sum = 0, count = 0;
    for (const auto& [id, replica] : replicas) {
      const double load = load_of(now, replica);
      if (replica.phase != Phase::ready || replica.breaker != Breaker::closed || load < 0) continue;
      sum += load, count += 1;
    }
    if (count < 2) return;
    const double mean = sum / count;
    for (auto& [id, replica] : replicas) {
      const double load = load_of(now, replica);
      if (replica.phase != Phase::ready || replica.breaker != Breaker::closed || load < 0) continue;
      if (std::abs(load - mean) <= kStepBand * mean) continue;
      const double factor = std::clamp(std::sqrt(mean / std::max(load, 1e-6)), 1 / kStepMost, kStepMost);
      replica.step = std::clamp(replica.step * factor, kStepLeast, kStepTop);
    }
  }

  // --- The tables

  std::size_t table(std::size_t zone, std::size_t group) const { return zone * groups.size() + group; }
  static TableId table_id(std::size_t table) { return TableId{static_cast<std::uint16_t>(table)}; }

  bool open_to(const Group& group, std::size_t zone, const Replica& replica) const {
    const auto has = [](const auto& list, auto id) {
      return list.empty() || std::find(list.begin(), list.end(), id) != list.end();
    };
    if (group.home_only && static_cast<std::size_t>(replica.zone) != zone) return false;
    return has(group.zones, replica.zone) && has(group.kinds, replica.kind);
  }

  // How far a zone's proxies keep to their own zone. Demand is known late and moves meanwhile, and a zone
  // that keeps to itself takes the whole of the surprise; the fuller the replicas, the more of it all must
  // share.
  double homeliness(Nanos now) const {
    const double used = use(now);
    return used <= 0 ? 1 : std::clamp((kFullEnough / used - 1) / kDemandSurprise, 0.0, 1.0);
  }

  // Whom a table serves is ours to settle: each zone's proxies keep to their own zone as far as it has room,
  // and what is over goes where room is left. Room is judged against the mean load of all, so a zone full of
  // cold or withdrawn replicas spills and a quiet one takes more. Groups with the fewest zones to choose from
  // go first.
  std::vector<Lines> compose(Nanos now) const {
    const double home = homeliness(now);
    std::vector<double> room(zones, 0.0), zone_slack = slack;
    double demand = 0, capacity = 0;
    for (const auto& [id, replica] : replicas) {
      if (!serves(replica) || static_cast<std::size_t>(replica.zone) >= zones) continue;
      const double weight = weight_of(now, replica);
      room[static_cast<std::size_t>(replica.zone)] += weight;
      // A zone that keeps its jam to itself must not push over what is cold in it.
      auto& most = zone_slack[static_cast<std::size_t>(replica.zone)];
      if (cold(now, replica)) most = std::min(most, std::max(0.0, kColdMargin * fall_multiple - 1));
      capacity += weight;
    }
    for (const auto& group : groups) {
      for (const auto& zone_demand : group.demand) demand += zone_demand.read(now);
    }
    for (std::size_t zone = 0; zone < zones; ++zone) {
      room[zone] *= (1 + zone_slack[zone]) * demand / std::max(1e-9, capacity);
    }

    std::vector<Lines> lines(standing.size());
    std::vector<double> taken(zones, 0.0);
    for (std::size_t turn = 0; turn < zones * groups.size(); ++turn) {
      const auto g = turn % groups.size();
      const auto& group = groups[g];
      const auto choice = group.home_only       ? 1
                          : group.zones.empty() ? zones
                                                : std::min(group.zones.size(), zones);
      if (choice != turn / groups.size() + 1) continue;
      // What this group may use of each zone, by the zone of the proxies.
      std::vector<std::vector<double>> usable(zones, std::vector<double>(zones, 0.0));
      for (const auto& [id, replica] : replicas) {
        const auto to = static_cast<std::size_t>(replica.zone);
        if (!serves(replica) || to >= zones) continue;
        for (std::size_t from = 0; from < zones; ++from) {
          if (open_to(group, from, replica)) usable[from][to] += weight_of(now, replica);
        }
      }
      std::vector<double> left(zones);
      std::vector<std::vector<double>> flow(zones, std::vector<double>(zones, 0.0));
      for (std::size_t zone = 0; zone < zones; ++zone) {
        left[zone] = std::max(1e-9, group.demand[zone].read(now));
        if (usable[zone][zone] <= 0) continue;
        flow[zone][zone] = std::min(left[zone], room[zone]);
        room[zone] -= flow[zone][zone];
      }
      for (std::size_t zone = 0; zone < zones; ++zone) {
        const double over = left[zone] - flow[zone][zone];
        std::vector<double> part(zones, 0.0);
        double parts = 0;
        for (std::size_t to = 0; to < zones; ++to) {
          if (usable[zone][to] > 0 && to != zone && (crowded[to] < 1 || !choosy)) part[to] = room[to];
          parts += part[to];
        }
        if (parts < over && choosy && usable[zone][zone] > 0) {
          flow[zone][zone] += over - parts;
        } else if (parts < over) {
          // No room anywhere: all share the rest by what they can do.
          const double short_of = over - parts;
          double weights = 0;
          for (std::size_t to = 0; to < zones; ++to) weights += usable[zone][to];
          for (std::size_t to = 0; to < zones && weights > 0; ++to) {
            flow[zone][to] += short_of * usable[zone][to] / weights;
          }
        }
        for (std::size_t to = 0; to < zones && parts > 0; ++to) {
          const double moved = std::min(over, parts) * part[to] / parts;
          flow[zone][to] += moved;
          room[to] -= moved;
        }
      }
      for (std::size_t zone = 0; zone < zones; ++zone) {
        double weights = 0, sum = 0;
        const auto spare = [&](std::size_t to) {
          // What groups with less choice already bring there counts against a zone.
          if (usable[zone][to] <= 0) return 0.0;
          return std::max(0.05 * usable[zone][to], usable[zone][to] * demand / capacity - taken[to]);
        };
        for (std::size_t to = 0; to < zones; ++to) weights += spare(to);
        for (std::size_t to = 0; to < zones && weights > 0; ++to) {
          flow[zone][to] = home * flow[zone][to] + (1 - home) * left[zone] * spare(to) / weights;
        }
        for (auto& part : flow[zone]) {
          if (part < kSmallestSpill * left[zone]) part = 0;
          sum += part;
        }
        if (sum <= 0) continue;
        auto& table_lines = lines[table(zone, g)];
        for (const auto& [id, replica] : replicas) {
          const auto to = static_cast<std::size_t>(replica.zone);
          if (!serves(replica) || to >= zones || flow[zone][to] <= 0 || !open_to(group, zone, replica))
            continue;
          const double weight = weight_of(now, replica);
          table_lines[id] = weight * (flow[zone][to] / sum) * capacity / usable[zone][to];
        }
      }
      for (std::size_t zone = 0; zone < zones; ++zone) {
        for (std::size_t to = 0; to < zones; ++to) taken[to] += flow[zone][to];
      }
    }
    spare_cold(now, lines);
    return lines;
  }

  // What a unit of listed weight has lately been seen to handle at its best: no more than its capacity.
  void watch_yield(Nanos now) {
    double good = 0, weight = 0;
    for (const auto& [id, replica] : replicas) {
      if (!serves(replica)) continue;
      good += replica.tries.read(now) - replica.failed.read(now);
      weight += replica.listed * share(now, replica);
    }
    const double rate = good * std::numbers::ln2 / seconds(kEvidenceHalfLife) / std::max(1e-9, weight);
    best_yield = std::max(rate, best_yield * std::exp2(-seconds(round_every) / seconds(kYieldHalfLife)));
  }

  // Guards what is cold against what its lines would bring it: when others are drained, withdrawn or gone, or
  // repeats multiply the tries, its part grows though its weight does not. Every line of a cold replica
  // shrinks until all tables together bring it at most kColdMargin of the load that pushes it over.
  void spare_cold(Nanos now, std::vector<Lines>& lines) const {
    if (best_yield <= 0) return;
    std::vector<double> tries(lines.size()), sums(lines.size());
    for (std::size_t zone = 0; zone < zones; ++zone) {
      const double met = std::max(zone_usual[zone].rate(now), zone_recent[zone].rate(now));
      double operations = 1e-9;
      for (const auto& group : groups) operations += group.demand[zone].read(now) / group.work;
      for (std::size_t g = 0; g < groups.size(); ++g) {
        const auto t = table(zone, g);
        tries[t] = met * groups[g].demand[zone].read(now) / groups[g].work / operations;
        for (const auto& [id, weight] : lines[t]) sums[t] += weight;
      }
    }
    for (const auto& [id, replica] : replicas) {
      if (!serves(replica) || !cold(now, replica)) continue;
      double load = 0;
      for (std::size_t t = 0; t < lines.size(); ++t) {
        if (lines[t].contains(id)) load += (choosy ? kDrawnTwice : 1) * tries[t] * lines[t][id] / sums[t];
      }
      const double most = kColdMargin * fall_multiple * best_yield * replica.listed * sure(now, replica);
      if (load <= most) continue;
      for (auto& table_lines : lines) {
        if (table_lines.contains(id)) table_lines[id] *= most / load;
      }
    }
  }

  // --- The channel

  double waiting(Nanos now) {
    queued = std::max(0.0, queued - seconds(now - queued_at) * lines_per_second);
    queued_at = now;
    while (!messages.empty() && messages.front() <= now - messages_window) messages.pop_front();
    return queued;
  }

  // Guards the queue and the messages to one proxy: ordinary orders leave room for what cannot wait, and what
  // cannot wait still stays under the limit, on a channel at half its stated pace.
  bool may_send(Nanos now, double lines, bool urgent) {
    const double limit = most_waiting * (urgent ? 0.9 : kChannelShare);
    if (waiting(now) + lines > limit) return false;
    if (messages_allowed == 0) return true;
    const double allowed = messages_allowed * (urgent ? 1.0 : kOrdinaryMessages) - 1;  // one is for a binding
    return static_cast<double>(messages.size()) + 1 <= allowed;
  }

  // Sends what differs from the standing tables; a line that a replica needs before it is let in again goes
  // first, in the same message.
  void publish(Nanos now, bool urgent) {
    if (!tables_are_ours) return;
    const auto wanted = compose(now);
    std::vector<std::pair<std::size_t, std::pair<ReplicaId, double>>> changes;
    for (std::size_t t = 0; t < wanted.size(); ++t) {
      if (wanted[t].empty()) continue;  // an empty table would leave its proxies without a replica
      for (const auto& [id, weight] : wanted[t]) {
        const auto at = standing[t].find(id);
        const bool same =
            at != standing[t].end() && std::abs(weight - at->second) <= kWorthSending * at->second;
        if (!same) changes.push_back({t, {id, weight}});
      }
      for (const auto& [id, weight] : standing[t]) {
        // A withdrawn replica may keep its line for its return, unless it is gone for good.
        const auto replica = replicas.find(id);
        const bool returns = replica != replicas.end() && replica->second.breaker == Breaker::open &&
                             replica->second.phase == Phase::ready;
        if (!wanted[t].contains(id) && !returns) changes.push_back({t, {id, 0.0}});
      }
    }
    std::vector<std::pair<std::size_t, double>> level_changes;
    const auto wanted_levels = class_levels(now);
    for (std::size_t k = 0; k < levels.size(); ++k) {
      const bool back = wanted_levels[k] >= 1 && levels[k] < 1;
      if (back || retry != ordered_retry || std::abs(wanted_levels[k] - levels[k]) > kWorthSending) {
        level_changes.push_back({k, wanted_levels[k]});
      }
    }
    std::vector<std::pair<ReplicaId, bool>> withdrawals;
    for (auto& [id, replica] : replicas) {
      if (replica.withdrawn == serves(replica)) withdrawals.push_back({id, !serves(replica)});
    }
    if (changes.empty() && withdrawals.empty() && level_changes.empty()) return;
    const double lines =
        static_cast<double>(proxies.size()) * (head + withdrawals.size() + 2 * levels.size()) +
        static_cast<double>(proxies.size() * changes.size()) / zones;
    if (!may_send(now, lines, urgent)) return;
    for (const auto& [id, out] : withdrawals) {
      if (out) host.withdraw(id, true);
    }
    for (const auto& [t, line] : changes) {
      host.set_line(table_id(t), line.first, line.second);
      if (line.second > 0) {
        standing[t][line.first] = line.second;
      } else {
        standing[t].erase(line.first);
      }
    }
    for (const auto& [id, out] : withdrawals) {
      if (!out) host.withdraw(id, false);
      replicas[id].withdrawn = out;
    }
    for (const auto& [k, level] : level_changes) {
      host.set_level(kEveryTable, static_cast<ClassMask>(1u << k), level, retry);
      levels[k] = level;
    }
    ordered_retry = retry;
    messages.push_back(now);
    queued = waiting(now) + lines;
    hurry = false;
    next_publish = now + publish_every;
  }

  // A proxy that joins has none of our tables: it gets all of them at once, with every standing withdrawal.
  void bind(Nanos now) {
    if (!tables_are_ours) return;
    for (auto& [id, proxy] : proxies) {
      if (proxy.bound || static_cast<std::size_t>(proxy.zone) >= zones) continue;
      double lines = head;
      for (std::size_t g = 0; g < groups.size(); ++g) {
        const auto& held = standing[table(static_cast<std::size_t>(proxy.zone), g)];
        lines += held.empty() ? most_waiting : 2.0 * static_cast<double>(held.size()) + 2;
      }
      if (waiting(now) + lines > 0.9 * most_waiting) continue;
      for (std::size_t g = 0; g < groups.size(); ++g) {
        host.bind(id, table_id(table(static_cast<std::size_t>(proxy.zone), g)), groups[g].classes);
      }
      proxy.bound = true;
      queued = waiting(now) + lines;
    }
  }

  // No trip may empty a table: when drains and deaths take what the breakers had left, the replica that is
  // due back first comes back now.
  void keep_served(Nanos now) {
    hold_cold(now);
    for (const auto& group : groups) {
      for (std::size_t zone = 0; zone < zones; ++zone) {
        std::pair<const ReplicaId, Replica>* first = nullptr;
        bool served = false;
        for (auto& entry : replicas) {
          if (entry.second.phase != Phase::ready || !open_to(group, zone, entry.second)) continue;
          if (serves(entry.second)) served = true;
          if (!first || entry.second.reopens < first->second.reopens) first = &entry;
        }
        if (served || !first) continue;
        first->second.held = false;
        half_open(now, first->first, first->second);
      }
    }
  }

  // Where loads come only when asked for, all replicas are asked once in each probe span, spread over its
  // rounds.
  void ask_loads(Nanos now) {
    if (!probes_for_load) return;
    for (auto& [id, replica] : replicas) {
      if (!serves(replica) || now < replica.next_probe) continue;
      host.probe(id);
      const bool first = replica.next_probe == Nanos{};
      std::uniform_real_distribution<double> spread(first ? 0.0 : 0.9, 1.0);
      replica.next_probe = now + Nanos(static_cast<Nanos::rep>(kProbeEvery.count() * spread(chance)));
    }
  }

  void take_load(Nanos now, Replica& replica, const std::vector<float>& load) const {
    if (!load_column || *load_column >= load.size() || now < replica.evidence_from) return;
    replica.load_sum.add(now, load[*load_column]);
    replica.load_count.add(now, 1);
  }

  void round(Nanos now) {
    host.arm(round_every, kRoundTimer);
    ask_loads(now);
    judge(now);
    keep_served(now);
    step_loads(now);
    admit(now);
    watch_yield(now);
    if (hurry || now >= next_publish) publish(now, hurry);
    bind(now);
  }

  void take_entry(Nanos now, const ListEntry& entry, bool at_start) {
    const bool known = replicas.contains(entry.replica);
    auto& replica = replicas[entry.replica];
    const bool was_ready = known && replica.phase == Phase::ready;
    const bool restarted = known && entry.started && replica.started != entry.started;
    replica.zone = entry.zone;
    replica.kind = entry.kind;
    replica.listed = std::max(1e-3, entry.weight);
    replica.phase = entry.phase;
    replica.started = entry.started;
    if (!known) {
      replica.usual.assign(zones, DecayingSum{kUsualHalfLife});
      replica.heard = zone_tries;
    }
    if (entry.phase != Phase::ready) {
      if (was_ready) hurry = true;
      return;
    }
    if (at_start || (was_ready && !restarted)) {
      // Listed at the start means closed, but what started a moment ago is cold whatever the breaker says.
      if (at_start && cold(now, replica)) half_open(now, entry.replica, replica);
      return;
    }
    replica.step = 1;
    replica.held = false;
    replica.cooldown = kCooldown;
    half_open(now, entry.replica, replica);
  }
};

// --- Events

Governor::Governor(const Settings& settings, std::uint64_t seed, Nanos now, Host& host)
    : state_(std::make_unique<State>(settings, seed, now, host)) {}
Governor::~Governor() = default;
Governor::Governor(Governor&&) noexcept = default;
Governor& Governor::operator=(Governor&&) noexcept = default;

void Governor::list_received(Nanos now, ListKind kind, const std::vector<ListEntry>& entries) {
  auto& s = *state_;
  s.list_failures = 0;
  for (const auto& entry : entries) s.take_entry(now, entry, kind == ListKind::cached);
  if (kind != ListKind::changes) {
    std::set<ReplicaId> listed;
    for (const auto& entry : entries) listed.insert(entry.replica);
    for (auto& [id, replica] : s.replicas) {
      if (listed.contains(id) || replica.phase == Phase::gone) continue;
      replica.phase = Phase::gone;
      s.hurry = true;
    }
  }
  s.keep_served(now);
  if (s.hurry || kind == ListKind::cached) s.publish(now, true);
}

void Governor::list_failed(Nanos) {
  auto& s = *state_;
  // Against every asker coming back at the same moment to a list that is already too busy.
  s.list_failures = std::min(s.list_failures + 1, 3);
  std::uniform_real_distribution<double> spread(0.3, 1.0);
  s.host.arm(Nanos(static_cast<Nanos::rep>(5e8 * (1 << s.list_failures) * spread(s.chance))), kWatchTimer);
}

void Governor::proxy_joined(Nanos now, ProxyId proxy, ZoneId zone, double usual_operations_per_second,
                            bool fresh) {
  auto& s = *state_;
  s.proxies[proxy] = {zone, false};
  // Until its sums arrive, what it usually gets stands in for them.
  if (fresh && static_cast<std::size_t>(zone) < s.zones) {
    for (std::size_t k = 0; k < s.class_work.size(); ++k) {
      const double each = usual_operations_per_second / static_cast<double>(s.class_work.size());
      s.groups[s.class_group[k]].demand[static_cast<std::size_t>(zone)].add(now, each * s.class_work[k]);
    }
  }
  s.bind(now);
}

void Governor::proxy_left(Nanos, ProxyId proxy) { state_->proxies.erase(proxy); }

void Governor::replica_summed(Nanos now, const ReplicaSum& sum) {
  auto& s = *state_;
  if (static_cast<std::size_t>(sum.zone) < s.zones) {
    s.zone_usual[static_cast<std::size_t>(sum.zone)].add(now, sum.tries);
    s.zone_recent[static_cast<std::size_t>(sum.zone)].add(now, sum.tries);
    s.zone_tries[static_cast<std::size_t>(sum.zone)] += sum.tries;
  }
  const auto at = s.replicas.find(sum.replica);
  if (at == s.replicas.end()) return;
  auto& replica = at->second;
  if (now < replica.evidence_from) return;
  const double good = static_cast<double>(sum.tries) - std::min(sum.failed, sum.tries);
  const auto zone = static_cast<std::size_t>(sum.zone);
  if (zone < s.zones) {
    replica.usual[zone].add(now, sum.tries);
    // A refusal that carries a load report comes from a replica that is full, not from one that hangs.
    replica.did_well = replica.did_well || good > 0 || !sum.load.empty();
  }
  replica.tries.add(now, sum.tries);
  replica.failed.add(now, sum.failed);
  replica.sound_tries += good;
  if (good > 0 && sum.mean_time > Nanos{}) {
    replica.time_sum.add(now, good * seconds(sum.mean_time));
    replica.time_count.add(now, good);
  }
  s.take_load(now, replica, sum.load);
}

void Governor::demand_summed(Nanos now, ProxyId proxy, const Demand& demand) {
  auto& s = *state_;
  const auto at = s.proxies.find(proxy);
  const auto k = static_cast<std::size_t>(demand.cls);
  if (at == s.proxies.end() || k >= s.class_work.size()) return;
  const auto zone = static_cast<std::size_t>(at->second.zone);
  if (zone >= s.zones) return;
  s.groups[s.class_group[k]].demand[zone].add(now, demand.operations * s.class_work[k]);
  s.class_demand[k].add(now, demand.operations);
}

void Governor::timer_due(Nanos now, TimerId timer) {
  if (timer == kRoundTimer) state_->round(now);
  if (timer == kWatchTimer) state_->host.watch_list(true);
}

void Governor::orders_applied(Nanos, ProxyId, MarkId, Nanos) {}

// A probe is asked only for the load report that comes with it: an answer says nothing of live traffic, and a
// missing one may be the fault of our own way to the replica.
void Governor::probe_answered(Nanos now, const ProbeAnswer& answer) {
  const auto at = state_->replicas.find(answer.replica);
  if (at != state_->replicas.end() && answer.answered) state_->take_load(now, at->second, answer.load);
}

void Governor::peer_said(Nanos, PeerId, std::string_view) {}
// Sites with slices are not served yet: their standing tables are left as the store holds them.
void Governor::slice_given(Nanos, TableId) {}
void Governor::slice_revoked(Nanos, TableId) {}
void Governor::slice_line_stored(Nanos, TableId, ReplicaId, double) {}
void Governor::slice_demand_summed(Nanos, TableId, const Demand&) {}

}  // namespace ospreypost
