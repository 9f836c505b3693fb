// Answers about proxies' tables that were made before, to be sent again: the same question on the same basis.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

#include "delivery/pull_service.h"
#include "dns/message.h"
#include "dns/name_index.h"

namespace ospreypost::dns {

// What such an answer depends on, beside the question's bytes.
struct Basis {
  explicit Basis(const delivery::PullAnswer& told)
      : proxy_snapshot(told.proxy_snapshot), directory(told.directory), lifetime(told.ttl_decision.ttl) {}
  bool operator==(const Basis&) const = default;

  std::shared_ptr<const routing_state::ProxySnapshot> proxy_snapshot;
  std::shared_ptr<const delivery::EndpointDirectory> directory;
  dns::Ttl lifetime;
};

// Bounded: when it is full it starts anew. Shared by threads.
class AnswerCache {
 public:
  struct Kept {
    ProxyTable about;
    Basis basis;
    Bytes answer;  // with the id of the question that it was made for
  };
  explicit AnswerCache(std::size_t most) : most_(most) {}
  // The answer kept for the same bytes, but for their id. Null if there is none.
  std::shared_ptr<const Kept> find(std::span<const std::uint8_t> question, bool by_tcp);
  void keep(std::span<const std::uint8_t> question, bool by_tcp, Kept kept);

 private:
  static std::string key_of(std::span<const std::uint8_t> question, bool by_tcp);

  const std::size_t most_;
  std::mutex lock_;
  std::unordered_map<std::string, std::shared_ptr<const Kept>> kept_;
};

}  // namespace ospreypost::dns
