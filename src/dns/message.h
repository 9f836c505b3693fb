// DNS messages by the published specifications (RFC 1035, 2308, 2782, 6891), read and written by ldns.
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
  no_name = 3,
  not_implemented = 4,
  refused = 5,
  bad_version = 16,
};

struct Question {
  std::uint16_t id = 0;
  bool recursion_desired = false;
  Code fault = Code::ok;  // what it must be refused with before its name is looked at
  std::string asked;      // the name in the asker's letters, as text with its closing dot
  std::string name;       // in small letters
  Type type = Type::a;
  bool has_edns = false;
  std::size_t udp_bytes = 512;  // that the asker takes; 512 without EDNS
};

// Empty where nothing may be answered: too short for an id, or itself an answer. A question that cannot be
// read, but for its id, comes with its fault.
std::optional<Question> read_question(std::span<const std::uint8_t> wire);

struct Srv {
  std::uint16_t priority = 0, weight = 0, port = 0;
  std::string target;
};
struct Txt {
  std::vector<std::string> strings;  // each of at most 255 bytes
};
struct Soa {
  std::string server, contact;
  std::uint32_t serial = 0, refresh = 0, retry = 0, expire = 0, minimum = 0;
};
struct Ns {
  std::string server;
};
// An address: A or AAAA by its family.
struct Record {
  std::string owner;
  std::uint32_t ttl = 0;  // seconds
  std::variant<net::Address, Srv, Txt, Soa, Ns> data;
};

struct Reply {
  Code code = Code::ok;
  bool authoritative = true;
  std::vector<Record> answers, authority, additional;
};

// At most `most_bytes` long: the additional records but the first go, then that one, then the answer is
// truncated to none, marked so.
// Throws net::Error if a name or text in the reply is none.
Bytes write_reply(const Question& question, const Reply& reply, std::size_t most_bytes);
// The shortest answer that sends the asker to TCP.
Bytes write_truncated(const Question& question);

// A question as a client sends it; for probes, stand-ins and tests.
Bytes write_question(std::uint16_t id, const std::string& name, Type type,
                     std::optional<std::size_t> edns_bytes);

// An answer as a client reads it.
struct Answer {
  std::uint16_t id = 0;
  Code code = Code::ok;
  bool truncated = false, authoritative = false;
  std::string asked;
  std::vector<Record> answers, authority, additional;
};
// Throws net::Error if it is no DNS message. Records of other types are left out.
Answer read_answer(std::span<const std::uint8_t> wire);

}  // namespace ospreypost::dns
