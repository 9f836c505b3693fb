/// What the tests of the platform's streams, discovery and configuration share: a configuration, endpoint
/// lists, and scripted peers on loopback.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/http.h"
#include "net/socket.h"
#include "resp/resp.h"

namespace ospreypost::test {

/// The words of a message.
using Words = std::vector<std::string>;
/// Weights by the replica's name, as they are written on the stream; "0" takes the replica out.
using Weights = std::map<std::string, std::string>;

/// How long a scripted peer waits for what must come.
inline constexpr auto kPeerTimeout = std::chrono::seconds(10);

/// An entry of a list, in discovery's form.
inline std::string endpoint_entry(const std::string& id, const std::string& phase = "SERVING",
                                  const std::string& address = "127.0.0.1:9",
                                  const std::string& started_ms = "0") {
  return R"({"id":")" + id + R"(","host_port":")" + address +
         R"(","locality":"east","flavor":"new","cell":1,"phase":")" + phase +
         R"(","size":1.0,"up_since_ms":)" + started_ms + "}";
}

/// A list, or changes of one, in discovery's form; `entries` are separated by commas.
inline std::string endpoint_list(int revision, bool complete, const std::string& entries) {
  return R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" + (complete ? "true" : "false") +
         R"(,"members":[)" + entries + "]}";
}

/// Two zones, two classes, ten proxies, three replicas; ports of the system's choice.
inline std::string platform_config(const std::string& discovery = "127.0.0.1:9") {
  return R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discovery +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":32,"sockets":96},
"known":)" +
         endpoint_list(41, true,
                       endpoint_entry("s-1") + "," + endpoint_entry("s-2") + "," + endpoint_entry("s-3")) +
         R"(,"settings":{"quantum-s":0.001,"azs":["east","west"],"skus":["new"],"zone":0,"n-instances":1,
"membership-mode":"automatic","allowed":{"may-probe":true,"peers":false},
"report":{"via":"piggyback","columns":["util"]},
"classes":[{"name":"read","effect":"idempotent","on-time-s":1.0,"deadline-s":3.0,"worth":1.0},
{"name":"sign","effect":"at_most_once","on-time-s":1.0,"deadline-s":2.0,"worth":4.0,"late-value":0.2}],
"contract":{"ask-within-s":10.0,"stop-sending-within-s":3.0,"cold-from":0.25,"cold-s":8.0,"tip-multiple":2.5,"fall-s":3.0},
"family-info":{"admit":"share","selects-by":"round","home-only":[false,false],"proxy-count":10,"zonal":false,"ranges":0,
"exclusive":false,"report-every-s":1.0,"transit-max-s":0.1,"bare-s":5.0,"channel-rate":5000.0,"most-waiting":10000.0,
"head":6.0,"pushes-allowed":12,"counted-over-s":10.0,"default-retry":1}}})";
}

/// One end of a connection to the server. Reads wait for a bounded time, and throw where nothing comes.
class Peer {
 public:
  explicit Peer(const net::Address& server) : socket_(net::connect(server, deadline())) {}
  void send(const std::vector<std::string_view>& words) {
    std::string bytes;
    resp::write_message(bytes, words);
    send_raw(bytes);
  }
  void send_raw(std::string_view bytes) { net::write_fully(socket_, bytes, deadline()); }
  void send_hello(const std::string& id) {
    send({"hello", "id", id, "site", "east", "rps", "20.5", "new", "1"});
  }
  void close() { socket_.close(); }
  /// The other end sees a broken connection instead of an orderly end.
  void reset() {
    socket_.reset_on_close();
    socket_.close();
  }
  /// The next message; empty if the server closed or reset the connection.
  Words receive() {
    for (;;) {
      if (const auto words = reader_.next()) return {words->begin(), words->end()};
      std::array<char, 4096> buffer{};
      const auto size = read(buffer);
      if (size == 0) return {};
      reader_.append({buffer.data(), size});
    }
  }

 private:
  static net::Deadline deadline() { return net::Steady::now() + kPeerTimeout; }
  // 0 if the server closed or reset the connection.
  std::size_t read(std::span<char> buffer) {
    try {
      return net::read_some(socket_, buffer, deadline());
    } catch (const net::Error& error) {
      if (std::string_view(error.what()) == "nothing came in time") throw;
      return 0;
    }
  }

  net::Socket socket_;
  resp::MessageReader reader_{{std::size_t{1} << 20, 4096}};
};

/// The answer to a liveness request, which is "alive".
inline Words request_liveness(Peer& peer) {
  peer.send({"probe"});
  return peer.receive();
}

/// The weights in a list such as "s-1:0.5,s-2:0".
inline Weights parse_weights(const std::string& endpoints) {
  Weights weights;
  std::size_t begin = 0;
  while (begin < endpoints.size()) {
    const auto end = std::min(endpoints.find(',', begin), endpoints.size());
    const auto entry = endpoints.substr(begin, end - begin);
    const auto colon = entry.find(':');
    weights[entry.substr(0, colon)] = entry.substr(colon + 1);
    begin = end + 1;
  }
  return weights;
}

/// The weights of the next push that has any; none if the server ended the connection.
inline Weights receive_weights(Peer& peer) {
  for (;;) {
    const auto words = peer.receive();
    if (words.empty()) return {};
    Weights weights;
    for (std::size_t n = 1; n + 1 < words.size(); n += 2) {
      if (words[n] == "endpoints") weights.merge(parse_weights(words[n + 1]));
    }
    if (!weights.empty()) return weights;
  }
}

/// A scripted discovery server: takes one watch after the other and sends what the test says.
class FakeDiscovery {
 public:
  static constexpr const char* kNoRequest = "nobody came";
  FakeDiscovery() : listener_(net::listen_tcp({"127.0.0.1", 0}, 8)) {}
  std::string address() const { return net::local_address(listener_).text(); }
  /// The target of the next watch, whose answer begins.
  std::string next_watch() {
    auto target = next_request();
    if (target != kNoRequest)
      write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    return target;
  }
  /// The target of the next watch, and nothing is answered.
  std::string next_request() {
    auto accepted = net::accept(listener_, net::Steady::now() + kPeerTimeout);
    if (!accepted) return kNoRequest;
    watch_ = std::make_unique<http::Connection>(std::move(accepted->first));
    const auto request = watch_->read_request({});
    return request ? request->target : "";
  }
  /// Sends a line on the watch, in pieces, as networks deliver them.
  void send_line(const std::string& line) {
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", line.size() + 1);
    write(size.data());
    write(line.substr(0, line.size() / 2));
    write(line.substr(line.size() / 2) + "\n\r\n");
  }
  void write(const std::string& bytes) {
    net::write_fully(watch_->socket(), bytes, net::Steady::now() + kPeerTimeout);
  }
  /// Waits until the other side ends the watch.
  void wait_until_disconnected() {
    char byte = 0;
    while (net::read_some(watch_->socket(), {&byte, 1}, net::Steady::now() + kPeerTimeout) > 0) {
    }
  }

 private:
  net::Socket listener_;
  std::unique_ptr<http::Connection> watch_;
};

}  // namespace ospreypost::test
