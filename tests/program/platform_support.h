/// Shared helpers for the tests of the platform's streams, discovery and configuration: a configuration,
/// endpoint lists, a scripted peer and a scripted discovery server on loopback.
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

/// The words of one RESP message.
using Words = std::vector<std::string>;
/// Weights by replica name, in the text form of the stream; "0" removes the replica.
using Weights = std::map<std::string, std::string>;

/// Time for which a scripted peer waits for expected data.
inline constexpr auto kPeerTimeout = std::chrono::seconds(10);

/// Returns one entry of an endpoint list in discovery's JSON format.
inline std::string endpoint_entry(const std::string& id, const std::string& phase = "SERVING",
                                  const std::string& address = "127.0.0.1:9",
                                  const std::string& started_ms = "0") {
  return R"({"id":")" + id + R"(","host_port":")" + address +
         R"(","locality":"east","flavor":"new","cell":1,"phase":")" + phase +
         R"(","size":1.0,"up_since_ms":)" + started_ms + "}";
}

/// Returns an endpoint list, complete or with changes only, in discovery's JSON format. `entries`:
/// comma-separated entries.
inline std::string endpoint_list(int revision, bool complete, const std::string& entries) {
  return R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" + (complete ? "true" : "false") +
         R"(,"members":[)" + entries + "]}";
}

/// Returns a configuration with two zones, two request classes, ten proxies and three replicas. The system
/// chooses the listening port.
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

/// The client end of a connection to the server. A read throws `net::Error` if no data arrives within
/// `kPeerTimeout`.
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
  /// Closes the connection with a reset, which the server reads as an error instead of an end of the stream.
  void reset() {
    socket_.reset_on_close();
    socket_.close();
  }
  /// Returns the next message; empty if the server closed or reset the connection.
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
  // Returns the number of bytes read, or 0 if the server closed or reset the connection.
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

/// Sends a liveness request and returns the answer, which must be "alive".
inline Words request_liveness(Peer& peer) {
  peer.send({"probe"});
  return peer.receive();
}

/// Parses the weights in a list such as "s-1:0.5,s-2:0".
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

/// Receives messages until one contains weights, and returns the weights.
/// Returns no weights if the server closed the connection.
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

/// A scripted discovery server: accepts one watch after the other and sends the lines that the test passes.
class FakeDiscovery {
 public:
  static constexpr const char* kNoRequest = "no request arrived in time";
  FakeDiscovery() : listener_(net::listen_tcp({"127.0.0.1", 0}, 8)) {}
  std::string address() const { return net::local_address(listener_).text(); }
  /// Waits for the next watch, sends the header of the answer, and returns the target of the request;
  /// `kNoRequest` if no watch arrives in time.
  std::string next_watch() {
    auto target = next_request();
    if (target != kNoRequest)
      write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    return target;
  }
  /// Waits for the next request and returns its target without sending an answer; `kNoRequest` if no request
  /// arrives in time.
  std::string next_request() {
    auto accepted = net::accept(listener_, net::Steady::now() + kPeerTimeout);
    if (!accepted) return kNoRequest;
    watch_ = std::make_unique<http::Connection>(std::move(accepted->first));
    const auto request = watch_->read_request({});
    return request ? request->target : "";
  }
  /// Sends a line on the watch in several pieces, so that the client has to reassemble the line.
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
  /// Waits until the client closes the watch.
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
