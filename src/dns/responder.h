// Turns a question into a reply: what the core tells becomes records. No sockets here.
#pragma once

#include "config/config.h"
#include "delivery/pull_service.h"
#include "dns/answer_cache.h"
#include "dns/message.h"
#include "dns/name_index.h"

namespace ospreypost::dns {

class Responder {
 public:
  Responder(const config::Config& config, delivery::PullService& core);
  // What goes back to the asker; empty where nothing may. Over TCP no answer is truncated.
  std::optional<Bytes> answer(std::span<const std::uint8_t> wire, bool by_tcp);

 private:
  Reply reply_to(const Question& question, const NameTarget& meaning);
  Reply proxy_table(const Question& question, const ProxyTable& asked, const delivery::PullAnswer& told);
  Reply zone_proxies(const Question& question, const ZoneProxies& asked);
  Reply address(const Question& question, const std::optional<net::Address>& at, std::uint32_t lifetime);
  Reply apex(const Question& question);
  Reply nothing(Code code) const;
  void add_entries(Reply& reply, const Question& question, const delivery::PullAnswer& told,
                   std::optional<ZoneId> own_zone) const;
  Record soa() const;

  const NameIndex catalogue_;
  const std::vector<config::ProxyEntry> proxies_;
  const net::Address own_address_;
  const std::size_t most_udp_bytes_;
  const std::uint32_t longest_;
  delivery::PullService& core_;
  AnswerCache made_;
};

}  // namespace ospreypost::dns
