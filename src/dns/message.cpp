#include "dns/message.h"

#include <arpa/inet.h>
#include <ldns/ldns.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <memory>

namespace ospreypost::dns {
namespace {

constexpr std::size_t kHeaderBytes = 12;
// Maximum size of a UDP question that this server accepts, as announced to clients.
constexpr std::uint16_t kMaxReceivedUdpBytes = 1232;

template <auto Free>
struct Deleter {
  template <typename T>
  void operator()(T* pointer) const {
    Free(pointer);
  }
};
using Packet = std::unique_ptr<ldns_pkt, Deleter<ldns_pkt_free>>;
using Name = std::unique_ptr<ldns_rdf, Deleter<ldns_rdf_deep_free>>;
using Rr = std::unique_ptr<ldns_rr, Deleter<ldns_rr_free>>;

Name name_of(const std::string& text) {
  ldns_rdf* name = nullptr;
  if (ldns_str2rdf_dname(&name, text.c_str()) != LDNS_STATUS_OK)
    throw net::Error("'" + text + "' is not a valid DNS name");
  return Name(name);
}

std::string text_of(const ldns_rdf* name) {
  const std::unique_ptr<char, Deleter<std::free>> text(ldns_rdf2str(name));
  return text ? std::string(text.get()) : std::string();
}

std::string to_lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

Rr empty_rr(const std::string& owner, std::uint32_t ttl, ldns_rr_type type) {
  Rr rr(ldns_rr_new());
  ldns_rr_set_owner(rr.get(), name_of(owner).release());
  ldns_rr_set_type(rr.get(), type);
  ldns_rr_set_class(rr.get(), LDNS_RR_CLASS_IN);
  ldns_rr_set_ttl(rr.get(), ttl);
  return rr;
}

void push_short(ldns_rr* rr, std::uint16_t value) {
  ldns_rr_push_rdf(rr, ldns_native2rdf_int16(LDNS_RDF_TYPE_INT16, value));
}
void push_number(ldns_rr* rr, std::uint32_t value, ldns_rdf_type type) {
  ldns_rr_push_rdf(rr, ldns_native2rdf_int32(type, value));
}

struct Writer {
  const std::string& owner;
  const std::uint32_t ttl;

  Rr operator()(const net::Address& address) const {
    auto rr = empty_rr(owner, ttl, address.is_v6() ? LDNS_RR_TYPE_AAAA : LDNS_RR_TYPE_A);
    std::uint8_t bytes[16] = {};
    inet_pton(address.is_v6() ? AF_INET6 : AF_INET, address.host.c_str(), bytes);
    const auto type = address.is_v6() ? LDNS_RDF_TYPE_AAAA : LDNS_RDF_TYPE_A;
    ldns_rr_push_rdf(rr.get(), ldns_rdf_new_frm_data(type, address.is_v6() ? 16 : 4, bytes));
    return rr;
  }
  Rr operator()(const Srv& srv) const {
    auto rr = empty_rr(owner, ttl, LDNS_RR_TYPE_SRV);
    push_short(rr.get(), srv.priority);
    push_short(rr.get(), srv.weight);
    push_short(rr.get(), srv.port);
    ldns_rr_push_rdf(rr.get(), name_of(srv.target).release());
    return rr;
  }
  Rr operator()(const Txt& txt) const {
    auto rr = empty_rr(owner, ttl, LDNS_RR_TYPE_TXT);
    for (const auto& string : txt.strings) {
      if (string.size() > 255) throw net::Error("a string of a TXT record is longer than 255 bytes");
      std::string bytes(1, static_cast<char>(string.size()));
      bytes += string;
      ldns_rr_push_rdf(rr.get(), ldns_rdf_new_frm_data(LDNS_RDF_TYPE_STR, bytes.size(), bytes.data()));
    }
    return rr;
  }
  Rr operator()(const Soa& soa) const {
    auto rr = empty_rr(owner, ttl, LDNS_RR_TYPE_SOA);
    ldns_rr_push_rdf(rr.get(), name_of(soa.server).release());
    ldns_rr_push_rdf(rr.get(), name_of(soa.contact).release());
    push_number(rr.get(), soa.serial, LDNS_RDF_TYPE_INT32);
    for (const auto period : {soa.refresh, soa.retry, soa.expire, soa.minimum})
      push_number(rr.get(), period, LDNS_RDF_TYPE_PERIOD);
    return rr;
  }
  Rr operator()(const Ns& ns) const {
    auto rr = empty_rr(owner, ttl, LDNS_RR_TYPE_NS);
    ldns_rr_push_rdf(rr.get(), name_of(ns.server).release());
    return rr;
  }
};

void push(ldns_pkt* packet, ldns_pkt_section section, std::span<const Record> records) {
  for (const auto& record : records) {
    ldns_pkt_push_rr(packet, section, std::visit(Writer{record.owner, record.ttl}, record.data).release());
  }
}

Packet packet_for(const Question& question, Code code, bool authoritative) {
  Packet packet(ldns_pkt_new());
  ldns_pkt_set_id(packet.get(), question.id);
  ldns_pkt_set_qr(packet.get(), true);
  ldns_pkt_set_aa(packet.get(), authoritative);
  ldns_pkt_set_rd(packet.get(), question.recursion_desired);
  const auto rcode = static_cast<std::uint16_t>(code);
  ldns_pkt_set_rcode(packet.get(), static_cast<std::uint8_t>(rcode & 15));
  if (question.has_edns) {
    ldns_pkt_set_edns_udp_size(packet.get(), kMaxReceivedUdpBytes);
    ldns_pkt_set_edns_extended_rcode(packet.get(), static_cast<std::uint8_t>(rcode >> 4));
  }
  if (!question.name_as_sent.empty()) {
    auto rr = empty_rr(question.name_as_sent, 0, static_cast<ldns_rr_type>(question.type));
    ldns_rr_set_question(rr.get(), true);
    ldns_pkt_push_rr(packet.get(), LDNS_SECTION_QUESTION, rr.release());
  }
  return packet;
}

Bytes wire_of(const Packet& packet) {
  std::uint8_t* wire = nullptr;
  std::size_t size = 0;
  if (ldns_pkt2wire(&wire, packet.get(), &size) != LDNS_STATUS_OK)
    throw net::Error("cannot encode a DNS message");
  const std::unique_ptr<std::uint8_t, Deleter<std::free>> owned(wire);
  return Bytes(wire, wire + size);
}

Packet parse(std::span<const std::uint8_t> wire) {
  ldns_pkt* parsed = nullptr;
  if (ldns_wire2pkt(&parsed, wire.data(), wire.size()) != LDNS_STATUS_OK) return nullptr;
  return Packet(parsed);
}

std::optional<Record> record_of(const ldns_rr* rr) {
  Record record{text_of(ldns_rr_owner(rr)), ldns_rr_ttl(rr), net::Address{}};
  const auto rdf = [&](std::size_t index) { return ldns_rr_rdf(rr, index); };
  const auto has_rdata_count = [&](std::size_t count) { return ldns_rr_rd_count(rr) == count; };
  switch (ldns_rr_get_type(rr)) {
    case LDNS_RR_TYPE_A:
    case LDNS_RR_TYPE_AAAA:
      if (!has_rdata_count(1)) return std::nullopt;
      record.data = net::Address{text_of(rdf(0)), 0};
      return record;
    case LDNS_RR_TYPE_SRV:
      if (!has_rdata_count(4)) return std::nullopt;
      record.data = Srv{ldns_rdf2native_int16(rdf(0)), ldns_rdf2native_int16(rdf(1)),
                        ldns_rdf2native_int16(rdf(2)), text_of(rdf(3))};
      return record;
    case LDNS_RR_TYPE_TXT: {
      Txt txt;
      for (std::size_t n = 0; n < ldns_rr_rd_count(rr); ++n) {
        const auto* bytes = ldns_rdf_data(rdf(n));
        if (ldns_rdf_size(rdf(n)) > 0) txt.strings.emplace_back(bytes + 1, bytes + ldns_rdf_size(rdf(n)));
      }
      record.data = txt;
      return record;
    }
    case LDNS_RR_TYPE_SOA: {
      if (!has_rdata_count(7)) return std::nullopt;
      Soa soa{text_of(rdf(0)), text_of(rdf(1))};
      soa.serial = ldns_rdf2native_int32(rdf(2));
      soa.minimum = ldns_rdf2native_int32(rdf(6));
      record.data = soa;
      return record;
    }
    case LDNS_RR_TYPE_NS:
      if (!has_rdata_count(1)) return std::nullopt;
      record.data = Ns{text_of(rdf(0))};
      return record;
    default:
      return std::nullopt;
  }
}

std::vector<Record> records_of(const ldns_rr_list* list) {
  std::vector<Record> records;
  for (std::size_t n = 0; n < ldns_rr_list_rr_count(list); ++n) {
    if (auto record = record_of(ldns_rr_list_rr(list, n))) records.push_back(*std::move(record));
  }
  return records;
}

}  // namespace

std::optional<Question> read_question(std::span<const std::uint8_t> wire) {
  if (wire.size() < kHeaderBytes || (wire[2] & 0x80) != 0) return std::nullopt;
  Question question;
  question.id = static_cast<std::uint16_t>(wire[0] << 8 | wire[1]);
  question.recursion_desired = (wire[2] & 1) != 0;
  if ((wire[2] >> 3 & 15) != 0) {
    question.error = Code::not_implemented;
    return question;
  }
  question.error = Code::format_error;
  const auto packet = parse(wire);
  if (!packet || ldns_pkt_qdcount(packet.get()) != 1) return question;
  const auto* asked = ldns_rr_list_rr(ldns_pkt_question(packet.get()), 0);
  question.error = Code::ok;
  question.name_as_sent = text_of(ldns_rr_owner(asked));
  question.name = to_lower(question.name_as_sent);
  question.type = static_cast<Type>(ldns_rr_get_type(asked));
  question.has_edns = ldns_pkt_edns(packet.get());
  if (question.has_edns) {
    question.max_udp_bytes = std::max<std::size_t>(512, ldns_pkt_edns_udp_size(packet.get()));
    if (ldns_pkt_edns_version(packet.get()) != 0) question.error = Code::bad_version;
  }
  const auto cls = ldns_rr_get_class(asked);
  if (cls != LDNS_RR_CLASS_IN && cls != LDNS_RR_CLASS_ANY) question.error = Code::refused;
  return question;
}

Bytes write_reply(const Question& question, const Reply& reply, std::size_t max_bytes) {
  const auto encode_with = [&](std::size_t additional) {
    const auto packet = packet_for(question, reply.code, reply.authoritative);
    push(packet.get(), LDNS_SECTION_ANSWER, reply.answers);
    push(packet.get(), LDNS_SECTION_AUTHORITY, reply.authority);
    push(packet.get(), LDNS_SECTION_ADDITIONAL, std::span(reply.additional).first(additional));
    return wire_of(packet);
  };
  // A client can query addresses separately or over TCP, so they are left out first. The first additional
  // record may be the traffic policy, which a client would otherwise miss.
  for (const auto additional : {reply.additional.size(), std::min<std::size_t>(1, reply.additional.size())}) {
    auto wire = encode_with(additional);
    if (wire.size() <= max_bytes) return wire;
  }
  auto wire = encode_with(0);
  return wire.size() <= max_bytes ? wire : write_truncated(question);
}

Bytes write_truncated(const Question& question) {
  const auto packet = packet_for(question, Code::ok, true);
  ldns_pkt_set_tc(packet.get(), true);
  return wire_of(packet);
}

Bytes write_question(std::uint16_t id, const std::string& name, Type type,
                     std::optional<std::size_t> edns_bytes) {
  Packet packet(ldns_pkt_new());
  ldns_pkt_set_id(packet.get(), id);
  auto rr = empty_rr(name, 0, static_cast<ldns_rr_type>(type));
  ldns_rr_set_question(rr.get(), true);
  ldns_pkt_push_rr(packet.get(), LDNS_SECTION_QUESTION, rr.release());
  if (edns_bytes) ldns_pkt_set_edns_udp_size(packet.get(), static_cast<std::uint16_t>(*edns_bytes));
  return wire_of(packet);
}

Answer read_answer(std::span<const std::uint8_t> wire) {
  const auto packet = parse(wire);
  if (!packet) throw net::Error("the answer is not a valid DNS message");
  Answer answer;
  answer.id = ldns_pkt_id(packet.get());
  answer.code =
      static_cast<Code>(ldns_pkt_get_rcode(packet.get()) | ldns_pkt_edns_extended_rcode(packet.get()) << 4);
  answer.truncated = ldns_pkt_tc(packet.get());
  answer.authoritative = ldns_pkt_aa(packet.get());
  const auto* asked = ldns_rr_list_rr(ldns_pkt_question(packet.get()), 0);
  if (asked) answer.question_name = text_of(ldns_rr_owner(asked));
  answer.answers = records_of(ldns_pkt_answer(packet.get()));
  answer.authority = records_of(ldns_pkt_authority(packet.get()));
  answer.additional = records_of(ldns_pkt_additional(packet.get()));
  return answer;
}

}  // namespace ospreypost::dns
