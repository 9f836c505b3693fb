// What the tests of the platform's door share: a configuration, a list, a scripted peer on loopback.
#pragma once

#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/http.h"
#include "net/socket.h"
#include "resp/resp.h"

namespace ospreypost::test {

inline std::string member(const std::string& id, const std::string& phase = "SERVING",
                          const std::string& address = "127.0.0.1:9", const std::string& since = "0") {
  return R"({"id":")" + id + R"(","host_port":")" + address +
         R"(","locality":"east","flavor":"new","cell":1,"phase":")" + phase +
         R"(","size":1.0,"up_since_ms":)" + since + "}";
}

inline std::string roster(int revision, bool complete, const std::string& members) {
  return R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" + (complete ? "true" : "false") +
         R"(,"members":[)" + members + "]}";
}

// Two zones, two classes, ten proxies, three replicas; ports of the system's choice.
inline std::string platform_config(const std::string& discovery = "127.0.0.1:9") {
  return R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discovery +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":32,"sockets":96},
"known":)" +
         roster(41, true, member("s-1") + "," + member("s-2") + "," + member("s-3")) +
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

// One end of a connection to the governor. Reads wait for a bounded time, and a test fails where nothing
// comes.
class Peer {
 public:
  explicit Peer(const net::Address& to) : socket_(net::connect(to, soon())) {}
  void say(const std::vector<std::string_view>& words) {
    std::string bytes;
    resp::write_message(bytes, words);
    say_raw(bytes);
  }
  void say_raw(std::string_view bytes) { net::write_fully(socket_, bytes, soon()); }
  void end() { socket_.close(); }
  void reset() {
    socket_.reset_on_close();
    socket_.close();
  }
  void hello(const std::string& id) { say({"hello", "id", id, "site", "east", "rps", "20.5", "new", "1"}); }
  // The next message; empty if the governor closed or reset.
  std::vector<std::string> hear() {
    for (;;) {
      if (const auto words = reader_.next()) return {words->begin(), words->end()};
      char piece[4096];
      std::size_t got = 0;
      try {
        got = net::read_some(socket_, piece, soon());
      } catch (const net::Error& error) {
        if (std::string_view(error.what()) == "nothing came in time") throw;
      }
      if (got == 0) return {};
      reader_.append({piece, got});
    }
  }

 private:
  static net::Deadline soon() { return net::Steady::now() + std::chrono::seconds(10); }
  net::Socket socket_;
  resp::MessageReader reader_{{std::size_t{1} << 20, 4096}};
};

// Lines of the next push that has any, by replica.
inline std::map<std::string, std::string> lines_of(Peer& peer) {
  std::map<std::string, std::string> lines;
  for (std::vector<std::string> words; lines.empty() && !(words = peer.hear()).empty();) {
    for (std::size_t n = 1; n + 1 < words.size(); n += 2) {
      if (words[n] != "endpoints") continue;
      for (std::string rest = words[n + 1] + ","; !rest.empty(); rest = rest.substr(rest.find(',') + 1)) {
        const auto colon = rest.find(':');
        lines[rest.substr(0, colon)] = rest.substr(colon + 1, rest.find(',') - colon - 1);
      }
    }
  }
  return lines;
}

// Discovery by script: takes one watch after the other and says what it is told to say.
class Discovery {
 public:
  static constexpr const char* kNobody = "nobody came";
  Discovery() : listener_(net::listen_tcp({"127.0.0.1", 0}, 8)) {}
  std::string address() const { return net::local_address(listener_).text(); }
  // The target of the next watch, whose answer begins.
  std::string next_watch() {
    const auto target = next_request();
    if (target != kNobody)
      write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    return target;
  }
  // The same, and nothing is answered.
  std::string next_request() {
    auto accepted = net::accept(listener_, net::Steady::now() + std::chrono::seconds(10));
    if (!accepted) return kNobody;
    watch_ = std::make_unique<http::Connection>(std::move(accepted->first));
    const auto request = watch_->read_request({});
    return request ? request->target : "";
  }
  void say(const std::string& line) {
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", line.size() + 1);
    write(size);
    // In pieces, as networks deliver them.
    write(line.substr(0, line.size() / 2));
    write(line.substr(line.size() / 2) + "\n\r\n");
  }
  void write(const std::string& bytes) {
    net::write_fully(watch_->socket(), bytes, net::Steady::now() + std::chrono::seconds(10));
  }
  // Until the other side ends the watch.
  void wait_until_left() {
    char byte = 0;
    while (net::read_some(watch_->socket(), {&byte, 1}, net::Steady::now() + std::chrono::seconds(10)) > 0) {
    }
  }

 private:
  net::Socket listener_;
  std::unique_ptr<http::Connection> watch_;
};

}  // namespace ospreypost::test
