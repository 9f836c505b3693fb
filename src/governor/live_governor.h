// The module in the live world: one lock, calls in, orders out into the book, one version a call.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "book/claims.h"
#include "book/handouts.h"
#include "book/pushes.h"
#include "config/config.h"
#include "front/core.h"
#include "governor/desk.h"
#include "lifetime/clients.h"
#include "list/roll.h"
#include "names/names.h"
#include "rules.h"

namespace ospreypost::governor {

// Where the live governor acts on the world beyond its fronts. Called under its lock: take note and return.
class World {
 public:
  virtual ~World() = default;
  virtual void probe(ReplicaId replica, const net::Address& at) = 0;
  virtual void look_up_list() = 0;
  virtual void log(std::string_view line, book::VersionNumber version) = 0;
};

// What stands now, for those who look.
struct Standing {
  std::shared_ptr<const book::Version> version;
  std::shared_ptr<const front::Directory> directory;
  book::Handouts::Counts counts;
  book::Pushes::Counts pushes;
  std::vector<bool> joined;   // by proxy
  std::vector<Phase> phases;  // by replica, as listed
};

class LiveGovernor : public front::Core, public front::PushCore, private Door {
 public:
  LiveGovernor(const config::Config& config, World& world, Desk::Clock clock,
               book::Claims claims = {1, "governor"}, record::Writer* record = nullptr);
  ~LiveGovernor() override;
  void stop() { desk_.stop(); }

  // The list, from one source. The replicas' kinds and zones must be known to the configuration.
  void list_taken(const list::Roll::Taken& taken);
  void list_failed();

  // Reports, already told apart by their spans.
  void replica_summed(const ReplicaSum& sum, const record::Origin& origin);
  void demand_summed(const Demand& demand, const record::Origin& origin);
  void reported(ProxyId proxy);  // a report came, whatever was in it
  void probe_answered(const ProbeAnswer& answer);

  front::Told asked(ProxyId proxy, ClassId cls) override;
  front::Told asked_zone(ZoneId zone) override;
  std::optional<front::Push> next_push() override;
  std::optional<Nanos> push_due_in() override;
  void push_taken(ProxyId proxy, book::VersionNumber since) override;
  void push_failed(ProxyId proxy, const std::string& why) override;
  void push_refused(ProxyId proxy, const book::Met& met) override;
  void push_met(ProxyId proxy, const book::Met& met) override;
  void push_went_back(ProxyId proxy, const std::vector<std::string>& instead) override;
  // Whom nobody may send to now, by name.
  std::vector<std::string> out() const;
  // Told of orders from then on; null: nobody. It must outlive that.
  void tell_orders_to(front::PushFront* pusher) { pusher_ = pusher; }
  std::shared_ptr<const front::Directory> directory() const override;
  book::VersionNumber version() const override;
  std::optional<ReplicaId> find_replica(std::string_view name) const;
  Standing standing() const;

 private:
  void ordered(Nanos now, const std::optional<book::OrderBook::Published>& published,
               const std::vector<std::pair<MarkId, bool>>& marks) override;
  void withdrawn(ReplicaId replica, bool out) override;
  void probe(ReplicaId replica) override;
  void watch_list(bool on) override;
  void look_up_list() override;
  void tell(std::optional<PeerId> peer, std::string_view message) override;
  void log(std::string_view line) override;

  void publish_out(Nanos now);
  // Brings the module's view of who has joined up to that of the clients, whoever was faster to change it.
  void settle(ProxyId proxy);
  bool is_held(ProxyId proxy) const;
  const config::ProxyEntry& entry_of(ProxyId proxy) const {
    return config_.proxies.known[static_cast<std::size_t>(proxy)];
  }
  void note_places(const list::Roll::Taken& taken);
  bool changes_hands(Nanos now, ProxyId proxy, const book::Met& met);
  void note_way_back(Nanos now, ProxyId proxy, const std::vector<std::string>& instead);
  void note_fault(ProxyId proxy, const std::string& why);
  void sweep();
  std::vector<front::Entry> entries_for(std::optional<ZoneId> zone, std::optional<ProxyId> but) const;

  const config::Config& config_;
  World& world_;

  // With the desk's lock held.
  names::NameTable<ReplicaId> replicas_;
  names::NameTable<CellId> cells_;
  std::vector<Phase> phases_;
  std::set<ProxyId> joined_;
  std::set<ReplicaId> withdrawn_;
  bool out_changed_ = false;

  // What fronts read without that lock; each held for a few instructions. Order: the desk's before these.
  mutable std::mutex clients_lock_;
  lifetime::Clients clients_;
  mutable std::mutex handouts_lock_;
  book::Handouts handouts_;
  book::Pushes pushes_;
  book::Claims claims_;
  std::map<ProxyId, std::string> push_faults_;
  std::atomic<front::PushFront*> pusher_ = nullptr;
  mutable std::mutex shared_lock_;
  std::shared_ptr<const book::Version> version_ = std::make_shared<book::Version>();
  std::shared_ptr<const front::Directory> directory_ = std::make_shared<front::Directory>();
  std::vector<std::string> out_;

  // The last one: the module acts on all of the above from its first moment.
  Desk desk_;
};

}  // namespace ospreypost::governor
