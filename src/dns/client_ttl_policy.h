/// The client TTL policy decides which DNS clients are answered with replicas, and with which TTL. The policy
/// does no I/O.
///
/// A client is expected to query again as soon as the TTL of its answer has expired. A late query shows that
/// the client, or a cache between the client and the server, uses answers for longer than their TTL. A client
/// that uses answers for longer than the drain grace permits could send requests to a replica that has been
/// shut down, so such a client is answered with fallback proxies only. A client that the operator has not
/// declared trusted must first prove that it queries in time; until then, its answers contain no replicas.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "policy/types.h"

namespace ospreypost::dns {

/// Time to live of a DNS record, in whole seconds.
using Ttl = std::chrono::duration<std::uint32_t>;

/// Limits that determine for how long a client may use an answer.
struct ClientTtlLimits {
  Nanos drain_grace{};        ///< time from the notice that a replica is draining to its last request
  Nanos endpoint_list_lag{};  ///< delay from a change of the endpoint list until the list is read
  /// Delay from the creation of an answer to its first use, plus the delay of the client's next query.
  Nanos answer_delay{};
  /// Time without a query or a report after which a client counts as having left; at least 1 s.
  Nanos silence_timeout{};
  Ttl max_ttl{};  ///< maximum TTL of an answer; at least 1 s
};

/// Whether the drain grace is long enough for answers with the minimum TTL, 1 s.
bool grace_permits_min_ttl(const ClientTtlLimits& limits);

/// Content of the answers to a client.
enum class ClientService {
  unknown,   ///< no content: the client is not known
  proxies,   ///< fallback proxies; the answer is empty if there are none
  replicas,  ///< the client's own routing table
};

/// Content and TTL of the answer to one query, and whether the client joins or leaves with the query.
struct TtlDecision {
  ClientService service = ClientService::unknown;
  Ttl ttl{1};
  bool client_joined = false;  ///< the client joined with this query
  bool client_left = false;    ///< the client had joined, and now leaves because it uses answers for too long
};

/// This class is not thread-safe: its callers must hold a lock.
class ClientTtlPolicy {
 public:
  explicit ClientTtlPolicy(const ClientTtlLimits& limits);

  /// Adds a client. `trusted`: the operator declares that no cache is between the client and the control
  /// plane.
  void add_known(ProxyId id, bool trusted);
  /// Decides the answer to a client's query. Each request class has its own DNS name, so a cache may store
  /// the answers for different classes separately.
  TtlDecision on_query(Nanos now, ProxyId id, ClassId cls);
  /// Records a report from the client, which shows that the client is alive. Does nothing for an unknown
  /// client.
  void on_report(Nanos now, ProxyId id);
  /// Returns the joined clients that reached the silence timeout since the last call, by ascending id. These
  /// clients have left.
  std::vector<ProxyId> take_silent(Nanos now);
  /// Whether the client has joined: its answers contain replicas, so requests may be sent through the client.
  bool is_joined(ProxyId id) const;

 private:
  struct Answer {
    Nanos sent_at{};
    Ttl ttl{};
  };
  struct Client {
    bool trusted = false;
    bool trust_suspended = false;  // set by the silence timeout, until the client proves itself again
    bool joined = false;
    int punctual_answers = 0;  // consecutive punctual answers, at most kRequiredPunctualAnswers
    Nanos last_seen{};
    std::map<ClassId, Answer> last_answers;
    // Maximum observed times for which the client used an answer; both maxima decay over time.
    double ttl_multiple = 1;  // maximum time of use as a multiple of the TTL
    Nanos max_lateness{};     // maximum time of use beyond the TTL
    Nanos decayed_at{};
  };

  static void decay_memory(Nanos now, Client& client);
  void record_time_of_use(Client& client, const Answer& answer, Nanos time_of_use) const;
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
