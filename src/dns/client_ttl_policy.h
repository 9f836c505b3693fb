// Which DNS clients can be held to the drain grace, and what record lifetime each may be given. Pure.
//
// A client promises to ask again as soon as the lifetime of its answer is over. How late it does so tells how
// long it, or a cache on the way, holds on to an answer. A client that holds on for longer than the grace has
// room for is answered with plain proxies that can be held, never with replicas. Whoever the operator does
// not vouch for shows first that it asks in time, on answers that can do no harm.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "policy/controller.h"

namespace ospreypost::dns {

using Ttl = std::chrono::duration<std::uint32_t>;  // whole seconds, as records carry them

struct ClientTtlLimits {
  Nanos drain_grace{};        // from when the governor was told to the last operation
  Nanos endpoint_list_lag{};  // that the list may be read late by
  Nanos answer_delay{};       // of an answer, from its making to its first use, and of the question after it
  Nanos silence_timeout{};    // without a question or a report after which a client has left; at least 1 s
  Ttl max_ttl{};              // ever given; at least 1 s
};

// Whether anybody can be held to that grace: the shortest lifetime, 1 s, has room in it.
bool grace_permits_min_ttl(const ClientTtlLimits& limits);

enum class ClientService {
  unknown,   // no such client
  proxies,   // plain proxies that can be held; nobody, while there are none
  replicas,  // its own table
};

struct TtlDecision {
  ClientService service = ClientService::unknown;
  Ttl ttl{1};
  bool client_joined = false;  // with this question
  bool client_left = false;    // it had joined, and can no longer be held
};

class ClientTtlPolicy {
 public:
  explicit ClientTtlPolicy(const ClientTtlLimits& limits);

  // `trusted`: the operator says that it asks the governor without a cache between.
  void add_known(ProxyId client, bool trusted);
  // Each class has a name of its own, and an answer of its own that may be held on to.
  TtlDecision on_query(Nanos now, ProxyId client, ClassId cls);
  // Its report came: it lives.
  void on_report(Nanos now, ProxyId client);
  // Those that fell silent and have left; each is named once.
  std::vector<ProxyId> take_silent(Nanos now);
  // Whether operations may be sent through it: it has joined and is held to the grace.
  bool is_joined(ProxyId client) const;

 private:
  struct Answer {
    Nanos at{};
    Ttl given{};
  };
  struct Client {
    bool vouched = false;
    bool doubted = false;  // it fell silent, and nobody knows what it did meanwhile
    bool joined = false;
    int shown = 0;  // answers in a row that were asked for again in time
    Nanos heard{};
    std::map<ClassId, Answer> answers;  // the last one of each name
    double stretch = 1;                 // the worst of what it held an answer for, over its lifetime, fading
    Nanos late{};  // the worst of how much later than the lifetime it asked again, fading
    Nanos faded{};
  };
  void fade(Nanos now, Client& client) const;
  void judge(Client& client, const Answer& last, Nanos held) const;
  Nanos held_for(const Client& client, Ttl lifetime) const;
  Ttl longest_for(const Client& client) const;

  const Nanos hold_most_, silence_;
  const Ttl longest_;
  std::map<ProxyId, Client> clients_;
};

}  // namespace ospreypost::dns
