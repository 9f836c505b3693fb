#include "platform/stream_server.h"

#include <array>

namespace ospreypost::platform {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kListener = 0;
constexpr int kBacklog = 1024;
constexpr auto kToJoin = 1500ms;  // a connection that has not by then is nobody's
constexpr auto kLook = 100ms;     // between looks for those
constexpr std::size_t kAdmitAtOnce = 64;
constexpr std::size_t kMostOut = std::size_t{256} << 10;  // of answers to a party that does not read
constexpr resp::MessageLimits kOfStrangers{std::size_t{4} << 10, 32};
constexpr resp::MessageLimits kOfJoined{std::size_t{64} << 10, 64};

// The message as far as a log line has room for it, and nothing in it that could break the line.
std::string shown(const std::vector<std::string_view>& words) {
  constexpr std::size_t most = 200;
  std::string text = " in '";
  for (const auto word : words) {
    if (text.size() > most) break;
    for (const char c : word.substr(0, most)) text += c > ' ' && c < 127 ? c : '?';
    text += ' ';
  }
  text.back() = '\'';
  return text;
}

}  // namespace

// What one message tells, with the connection that it came on.
class StreamServer::ConnectionMessageHandler : public MessageHandler {
 public:
  ConnectionMessageHandler(StreamServer& streams, Connection& guest) : streams_(streams), guest_(guest) {}

  void on_liveness_request() override {
    std::string alive;
    resp::write_message(alive, {"alive"});
    if (guest_.out.size() > kMostOut || !streams_.write(guest_, alive))
      throw net::Error("it takes no answer");
  }
  void on_proxy_hello(ProxyId proxy, ZoneId zone, double rate, bool fresh) override {
    if (const auto old = streams_.joined_.find(proxy); old != streams_.joined_.end()) {
      // Connections are numbered as they come: the proxy has left this one for the other.
      if (old->second > guest_.key) throw net::Error("the proxy has a newer stream");
      // The end of the older stream says nothing more about the proxy.
      const auto key = old->second;
      streams_.joined_.erase(old);
      if (key != guest_.key) streams_.end(key);
    }
    become(PeerRole::proxy);
    guest_.proxy = proxy;
    streams_.joined_[proxy] = guest_.key;
    streams_.sink_.on_proxy_joined(proxy, zone, rate, fresh);
  }
  void on_collector_hello(ZoneId) override { become(PeerRole::collector); }
  void on_replica_load_report(const ReplicaLoadReport& sum) override {
    streams_.sink_.on_replica_load_report(sum);
  }
  void on_demand_report(ProxyId proxy, const DemandReport& demand) override {
    streams_.sink_.on_demand_report(proxy, demand);
  }
  void on_acknowledgement(ProxyId proxy, std::uint64_t nonce, Nanos took) override {
    streams_.sink_.on_acknowledgement(proxy, nonce, took);
  }

 private:
  void become(PeerRole party) {
    guest_.party = party;
    guest_.reader.set_limits(kOfJoined);
    streams_.strangers_.erase(guest_.key);
  }

  StreamServer& streams_;
  Connection& guest_;
};

StreamServer::StreamServer(const net::Address& listen, std::size_t most, MessageNames vocabulary,
                           StreamEventHandler& sink)
    : most_(most),
      vocabulary_(std::move(vocabulary)),
      sink_(sink),
      listener_(net::listen_tcp(listen, kBacklog)) {
  poller_.add(listener_.get(), kListener);
  thread_ = net::Thread("streams", [this] { work(); });
}

void StreamServer::stop() {
  stopping_ = true;
  poller_.wake();
  thread_.join();
}

void StreamServer::work() {
  while (!stopping_) {
    try {
      turn();
    } catch (const std::exception& error) {
      sink_.log_peer_error(error.what());
    }
  }
}

void StreamServer::turn() {
  const auto& ready = poller_.wait(net::Steady::now() + kLook);
  if (accepts_again_ && net::Steady::now() >= *accepts_again_) {
    accepts_again_.reset();
    poller_.set_read_interest(listener_.get(), kListener, true);
  }
  for (const auto& event : ready) {
    if (event.key == kListener) {
      admit();
      continue;
    }
    const auto guest = guests_.find(event.key);
    if (guest == guests_.end()) continue;  // it gave way in between
    if (event.writable && !write(guest->second, {})) {
      end(event.key);
      continue;
    }
    if (event.readable) hear(guest->second);
  }
  end_old_strangers();
  write_due();
}

void StreamServer::admit() {
  for (std::size_t n = 0; n < kAdmitAtOnce; ++n) {
    auto accepted = net::accept(listener_, net::Steady::now());
    if (!accepted) {
      // Somebody knocks and cannot be let in. Against asking again at once, and for ever, while descriptors
      // lack.
      if (n > 0) return;
      make_room();
      accepts_again_ = net::Steady::now() + kLook;
      poller_.set_read_interest(listener_.get(), kListener, false);
      return;
    }
    if (guests_.size() >= most_) make_room();
    if (guests_.size() >= most_) continue;
    const auto key = ++last_key_;
    auto& guest = guests_[key];
    guest.key = key;
    guest.socket = std::move(accepted->first);
    guest.reader.set_limits(kOfStrangers);
    guest.since = net::Steady::now();
    strangers_.insert(key);
    poller_.add(guest.socket.get(), key);
  }
}

// The oldest stranger gives way. Neither may a flood keep proxies out, nor may whoever has joined be ended
// for it, nor whoever is about to: its hello may lie ready.
void StreamServer::make_room() {
  const auto before = guests_.size();
  while (!strangers_.empty() && guests_.size() == before) {
    const auto oldest = *strangers_.begin();
    if (is_still_strange(oldest)) end(oldest);
  }
}

bool StreamServer::is_still_strange(std::uint64_t key) {
  hear(guests_.at(key));
  return strangers_.contains(key);
}

void StreamServer::hear(Connection& guest) {
  std::array<char, 16384> buffer;
  try {
    const auto got = net::read_now(guest.socket, buffer);
    if (!got) return;
    if (*got == 0) return end(guest.key);
    guest.reader.append({buffer.data(), *got});
    while (understand(guest)) {
    }
  } catch (const resp::ProtocolError& error) {
    refuse(guest, error.what());
  } catch (const net::Error&) {
    end(guest.key);
  }
}

// One message; false if none is whole, or it was the guest's last.
bool StreamServer::understand(Connection& guest) {
  const auto words = guest.reader.next();
  if (!words) return false;
  ConnectionMessageHandler ear(*this, guest);
  try {
    parse_message(*words, vocabulary_, guest.party, guest.proxy, ear);
  } catch (const MessageError& spoilt) {
    if (guest.party == PeerRole::unidentified) {
      refuse(guest, spoilt.what());
      return false;
    }
    sink_.log_peer_error("a message was dropped: " + std::string(spoilt.what()) + shown(*words));
  }
  return true;
}

void StreamServer::refuse(Connection& guest, const std::string& why) {
  if (guest.party == PeerRole::unidentified) {
    std::string error;
    resp::write_message(error, {"error", "why", why});
    write(guest, error);
  }
  sink_.log_peer_error("a connection was ended: " + why);
  end(guest.key);
}

void StreamServer::end(std::uint64_t key) {
  const auto guest = guests_.find(key);
  if (guest == guests_.end()) return;
  const auto proxy = guest->second.proxy;
  poller_.remove(guest->second.socket.get());
  strangers_.erase(key);
  guests_.erase(guest);
  if (!proxy) return;
  const auto joined = joined_.find(*proxy);
  if (joined == joined_.end() || joined->second != key) return;
  joined_.erase(joined);
  sink_.on_proxy_left(*proxy);
}

void StreamServer::end_old_strangers() {
  const auto now = net::Steady::now();
  while (!strangers_.empty()) {
    const auto oldest = *strangers_.begin();
    if (now < guests_.at(oldest).since + kToJoin) return;
    if (is_still_strange(oldest)) refuse(guests_.at(oldest), "it did not join in time");
  }
}

void StreamServer::write_due() {
  for (const auto proxy : sink_.due_proxies()) {
    const auto joined = joined_.find(proxy);
    if (joined == joined_.end()) continue;
    auto& guest = guests_.at(joined->second);
    // Whoever has not taken the last message gets one later, of all that stands then.
    if (!guest.out.empty()) continue;
    if (!write(guest, sink_.next_message(proxy))) end(guest.key);
  }
}

bool StreamServer::write(Connection& guest, std::string_view bytes) {
  guest.out += bytes;
  try {
    guest.out.erase(0, net::write_now(guest.socket, guest.out));
    const bool waits = !guest.out.empty();
    if (waits != guest.waits_for_room) poller_.set_write_interest(guest.socket.get(), guest.key, waits);
    guest.waits_for_room = waits;
    return true;
  } catch (const net::Error&) {
    return false;
  }
}

}  // namespace ospreypost::platform
