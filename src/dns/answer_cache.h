// The answer cache stores encoded answers about the routing tables of proxies. A cached answer is sent again
// when the same question arrives and the inputs of the answer have not changed.
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

// Everything that the answer about a proxy's routing table depends on, apart from the bytes of the question.
struct AnswerInputs {
  explicit AnswerInputs(const delivery::PullAnswer& pull_answer)
      : proxy_snapshot(pull_answer.proxy_snapshot),
        directory(pull_answer.directory),
        ttl(pull_answer.ttl_decision.ttl) {}
  bool operator==(const AnswerInputs&) const = default;

  std::shared_ptr<const routing_state::ProxySnapshot> proxy_snapshot;
  std::shared_ptr<const delivery::EndpointDirectory> directory;
  dns::Ttl ttl;
};

// The cache is bounded: it is emptied before an entry would exceed a limit. Thread-safe.
class AnswerCache {
 public:
  struct CachedAnswer {
    ProxyTable proxy_table;
    AnswerInputs inputs;
    Bytes answer;  // contains the id of the question for which the answer was made
  };
  struct Limits {
    std::size_t max_entries = 4096;
    std::size_t max_bytes = std::size_t{4} << 20;  // of questions and answers together
    std::size_t max_question_bytes = 512;          // longer questions are not stored
  };
  explicit AnswerCache(const Limits& limits) : limits_(limits) {}
  // Returns the cached answer to the same question, compared without the id; null if no answer is cached.
  std::shared_ptr<const CachedAnswer> find(std::span<const std::uint8_t> question, bool over_tcp);
  void insert(std::span<const std::uint8_t> question, bool over_tcp, CachedAnswer cached_answer);

 private:
  static std::string key_of(std::span<const std::uint8_t> question, bool over_tcp);

  const Limits limits_;
  std::mutex mutex_;
  // The following members are guarded by `mutex_`.
  std::size_t stored_bytes_ = 0;
  std::unordered_map<std::string, std::shared_ptr<const CachedAnswer>> entries_;
};

}  // namespace ospreypost::dns
