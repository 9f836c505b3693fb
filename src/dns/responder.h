// The responder turns the wire form of a DNS question into the wire form of its reply. The content of the
// records comes from the pull service. The responder uses no sockets.
#pragma once

#include "config/config.h"
#include "delivery/pull_service.h"
#include "dns/answer_cache.h"
#include "dns/message.h"
#include "dns/name_index.h"

namespace ospreypost::dns {

class Responder {
 public:
  Responder(const config::Config& config, delivery::PullService& pull_service);
  // Returns the reply to send to the client; empty if none may be sent. Over TCP, the limit of UDP messages
  // does not apply.
  std::optional<Bytes> answer(std::span<const std::uint8_t> wire, bool over_tcp);

 private:
  Reply reply_to(const Question& question, const NameTarget& target);
  Reply proxy_table_reply(const Question& question, const ProxyTable& proxy_table,
                          const delivery::PullAnswer& pull_answer);
  Reply zone_proxies_reply(const Question& question, const ZoneProxies& zone_proxies);
  Reply address_reply(const Question& question, const std::optional<net::Address>& host_address,
                      std::uint32_t ttl);
  Reply apex_reply(const Question& question);
  Reply negative_reply(Code code) const;
  void add_fallback_proxies(Reply& reply, const Question& question, const delivery::PullAnswer& pull_answer,
                            std::optional<ZoneId> own_zone) const;
  Record soa_record() const;

  const NameIndex name_index_;
  const std::vector<config::ProxyEntry> proxies_;
  const net::Address own_address_;
  const std::size_t max_udp_bytes_;
  const std::uint32_t max_ttl_;
  delivery::PullService& pull_service_;
  AnswerCache answer_cache_;
};

}  // namespace ospreypost::dns
