/// Which DNS clients can be answered with replicas, and with which TTL. Free of I/O.
///
/// A client is expected to query again as soon as the TTL of its answer is over. How late it does so shows
/// for how long it, or a cache on the way, uses an answer. A client that uses answers for longer than the
/// drain grace permits could send requests to a replica that is shut down; it is answered with fallback
/// proxies only. A client that the operator does not declare trusted has to prove first that it queries in
/// time, on answers that can do no harm.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::dns {

/// The time to live of a DNS record, in whole seconds.
using Ttl = std::chrono::duration<std::uint32_t>;

/// What bounds the time for which an answer may be used.
struct ClientTtlLimits {
  Nanos drain_grace{};        ///< from when a replica's draining is notified to its last request
  Nanos endpoint_list_lag{};  ///< the delay until the endpoint list is read
  Nanos answer_delay{};       ///< from the making of an answer to its first use, and of the query after it
  Nanos silence_timeout{};    ///< without a query or a report, after which a client has left; at least 1 s
  Ttl max_ttl{};              ///< of any answer; at least 1 s
};

/// Whether the drain grace is long enough for the lowest TTL, 1 s.
bool grace_permits_min_ttl(const ClientTtlLimits& limits);

/// What a client is answered with.
enum class ClientService {
  unknown,   ///< nothing: there is no such client
  proxies,   ///< fallback proxies; an empty answer while there are none
  replicas,  ///< its own routing table
};

/// What a query is answered with, and whether the client joins or leaves by it.
struct TtlDecision {
  ClientService service = ClientService::unknown;
  Ttl ttl{1};
  bool client_joined = false;  ///< with this query
  bool client_left = false;    ///< it had joined, and uses answers for too long
};

/// Not synchronised: the owner calls it under a lock.
class ClientTtlPolicy {
 public:
  explicit ClientTtlPolicy(const ClientTtlLimits& limits);

  /// `trusted`: the operator states that it queries the control plane without a cache between.
  void add_known(ProxyId id, bool trusted);
  /// Each class is a DNS name of its own, whose answer may be cached apart from the others.
  TtlDecision on_query(Nanos now, ProxyId id, ClassId cls);
  /// A report of the client shows that it is alive. Does nothing for an unknown client.
  void on_report(Nanos now, ProxyId id);
  /// The clients that have left by their silence since the last call, by ascending id.
  std::vector<ProxyId> take_silent(Nanos now);
  /// Whether the client is answered with replicas, so that requests may be sent through it.
  bool is_joined(ProxyId id) const;

 private:
  struct Answer {
    Nanos sent_at{};
    Ttl ttl{};
  };
  struct Client {
    bool trusted = false;
    bool trust_suspended = false;  // after a silence, as nobody knows what it did meanwhile
    bool joined = false;
    int punctual_answers = 0;  // in a row, up to kRequiredPunctualAnswers
    Nanos last_seen{};
    std::map<ClassId, Answer> last_answers;
    // How long it uses answers, at the worst, with a decaying memory:
    double ttl_multiple = 1;  // the time of use as a multiple of the TTL
    Nanos max_lateness{};     // the time of use beyond the TTL
    Nanos decayed_at{};
  };

  static void decay_memory(Nanos now, Client& client);
  void note_time_of_use(Client& client, const Answer& answer, Nanos time_of_use) const;
  static bool is_proven(const Client& client);
  static Nanos expected_time_of_use(const Client& client, Ttl ttl);
  std::optional<Ttl> max_ttl_for(const Client& client) const;
  Nanos silent_at(const Client& client) const;

  const Nanos max_time_of_use_;
  const Nanos silence_timeout_;
  const Ttl max_ttl_;
  std::map<ProxyId, Client> clients_;
};

}  // namespace ospreypost::dns
