// DNS messages according to the published specifications (RFC 1035, 2308, 2782, 6891), parsed and encoded
// with ldns.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "net/socket.h"

namespace ospreypost::dns {

using Bytes = std::vector<std::uint8_t>;

enum class Type : std::uint16_t { a = 1, ns = 2, soa = 6, txt = 16, aaaa = 28, srv = 33, any = 255 };
enum class Code : std::uint16_t {
  ok = 0,
  format_error = 1,
  server_failure = 2,
  name_error = 3,
  not_implemented = 4,
  refused = 5,
  bad_version = 16,
};

struct Question {
  std::uint16_t id = 0;
  bool recursion_desired = false;
  Code error = Code::ok;     // the question must be answered with this code unless it is `ok`
  std::string name_as_sent;  // name with the client's upper and lower case, with the trailing dot
  std::string name;          // name in lower case
  Type type = Type::a;
  bool has_edns = false;
  std::size_t max_udp_bytes = 512;  // maximum size of a UDP answer that the client accepts; 512 without EDNS
};

// Parses a question. Empty if the message must not be answered, because it is shorter than a header or is
// itself an answer. The `error` of the returned question is set if only the header can be parsed, or if the
// question asks for something that is not supported.
std::optional<Question> read_question(std::span<const std::uint8_t> wire);

struct Srv {
  std::uint16_t priority = 0, weight = 0, port = 0;
  std::string target;
};
struct Txt {
  std::vector<std::string> strings;  // strings of at most 255 bytes each
};
struct Soa {
  std::string server, contact;
  std::uint32_t serial = 0, refresh = 0, retry = 0, expire = 0, minimum = 0;
};
struct Ns {
  std::string server;
};
// A resource record. An address is encoded as an A or AAAA record, depending on its family.
struct Record {
  std::string owner;
  std::uint32_t ttl = 0;  // time to live in seconds
  std::variant<net::Address, Srv, Txt, Soa, Ns> data;
};

struct Reply {
  Code code = Code::ok;
  bool authoritative = true;
  std::vector<Record> answers, authority, additional;
};

// Encodes a reply in at most `max_bytes`. If the reply is too long, first all additional records except the
// first are left out, then the first one as well. If the reply is still too long, it is replaced by an empty
// answer with the truncation flag. Throws net::Error if a name or a text in the reply is invalid.
Bytes write_reply(const Question& question, const Reply& reply, std::size_t max_bytes);
// Encodes an empty answer with the truncation flag, which makes the client repeat the question over TCP.
Bytes write_truncated(const Question& question);

// Encodes a question as a client sends it; used by probes, fakes and tests.
Bytes write_question(std::uint16_t id, const std::string& name, Type type,
                     std::optional<std::size_t> edns_bytes);

// A parsed answer, as a client receives it.
struct Answer {
  std::uint16_t id = 0;
  Code code = Code::ok;
  bool truncated = false, authoritative = false;
  std::string question_name;
  std::vector<Record> answers, authority, additional;
};
// Parses an answer. Throws net::Error if `wire` is not a DNS message. Records whose type `Record` cannot
// represent are left out.
Answer read_answer(std::span<const std::uint8_t> wire);

}  // namespace ospreypost::dns
