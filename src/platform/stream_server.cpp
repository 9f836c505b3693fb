#include "platform/stream_server.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/poller.h"
#include "net/socket.h"
#include "net/threads.h"
#include "platform/messages.h"
#include "policy/controller.h"
#include "resp/resp.h"

namespace ospreypost::platform {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kListenerKey = 0;
constexpr int kListenBacklog = 1024;
constexpr std::size_t kMaxAcceptsPerWakeup = 64;
// Maximum number of bytes that are read from one connection before the others have their turn.
constexpr std::size_t kReadBufferBytes = 4096;
// Maximum time from the acceptance of a connection until its peer has identified itself; the server closes
// the connection afterwards.
constexpr auto kIdentificationTimeout = 1500ms;
constexpr auto kTimeoutCheckInterval = 100ms;
// Time for which no connections are accepted after file descriptors were exhausted.
constexpr auto kAcceptPause = kTimeoutCheckInterval;
// Maximum number of unsent answers to liveness requests; a peer that doesn't read its answers is
// disconnected. One read brings fewer requests.
constexpr std::size_t kMaxUnsentAnswers = 512;
constexpr resp::MessageLimits kUnidentifiedLimits{std::size_t{4} << 10, 32};
constexpr std::size_t kMaxWords = 64;

bool is_printable(char character) { return character > ' ' && character < 127; }

// Returns the start of the message for a log line, with each unprintable character replaced by '?'.
std::string printable_excerpt(const std::vector<std::string_view>& words) {
  constexpr std::size_t kMaxShownBytes = 200;
  std::string text = " in '";
  for (const auto word : words) {
    if (text.size() > kMaxShownBytes) break;
    for (const char character : word.substr(0, kMaxShownBytes))
      text += is_printable(character) ? character : '?';
    text += ' ';
  }
  text.back() = '\'';
  return text;
}

}  // namespace

// Handles the content of one message with access to the connection on which the message arrived.
class StreamServer::ConnectionMessageHandler : public MessageHandler {
 public:
  ConnectionMessageHandler(StreamServer& server, Connection& connection)
      : server_(server), connection_(connection) {}

  void on_liveness_request() override {
    if (connection_.unsent_answers >= kMaxUnsentAnswers)
      throw net::Error("the peer does not read its answers");
    connection_.unsent_answers += 1;
    resp::write_message(connection_.unsent, {"alive"});
  }
  void on_proxy_hello(ProxyId proxy, ZoneId zone, double requests_per_second, bool newly_added) override {
    replace_older_stream(proxy);
    identify({PeerRole::proxy, proxy});
    server_.proxy_streams_[proxy] = connection_.key;
    server_.handler_.on_proxy_joined(proxy, zone, requests_per_second, newly_added);
  }
  void on_collector_hello(ZoneId) override { identify({PeerRole::collector, std::nullopt}); }
  void on_replica_load_report(const ReplicaLoadReport& report) override {
    server_.handler_.on_replica_load_report(report);
  }
  void on_demand_report(ProxyId proxy, const DemandReport& report) override {
    server_.handler_.on_demand_report(proxy, report);
  }
  void on_acknowledgement(ProxyId proxy, std::uint64_t nonce, Nanos elapsed) override {
    server_.handler_.on_acknowledgement(proxy, nonce, elapsed);
  }

 private:
  // Closes the proxy's older stream, if there is one. Throws `net::Error` if the proxy has a newer stream.
  void replace_older_stream(ProxyId proxy) {
    const auto known = server_.proxy_streams_.find(proxy);
    if (known == server_.proxy_streams_.end()) return;
    const auto other = known->second;
    // The proxy has replaced this connection by a newer stream, although the hello of this connection is read
    // after the hello of the newer stream.
    if (other > connection_.key) throw net::Error("the proxy has a newer stream");
    // The older stream is unregistered first, so that `close_connection` doesn't report that the proxy left.
    server_.proxy_streams_.erase(known);
    if (other != connection_.key) server_.close_connection(other);
  }
  void identify(const MessageSender& peer) {
    connection_.peer = peer;
    connection_.reader.set_limits({server_.limits_.max_message_bytes, kMaxWords});
    server_.unidentified_.erase(connection_.key);
  }

  StreamServer& server_;
  Connection& connection_;
};

StreamServer::StreamServer(const net::Address& listen, const Limits& limits, MessageNames names,
                           StreamEventHandler& handler)
    : limits_(limits),
      names_(std::move(names)),
      handler_(handler),
      listener_(net::listen_tcp(listen, kListenBacklog)) {
  poller_.add(listener_.get(), kListenerKey);
  thread_ = net::Thread("streams", [this] { run(); });
}

void StreamServer::stop() {
  stopping_ = true;
  poller_.wake();
  thread_.join();
}

void StreamServer::run() {
  while (!stopping_) {
    try {
      run_once();
    } catch (const std::exception& error) {
      handler_.log_peer_error(error.what());
    }
  }
}

void StreamServer::run_once() {
  const auto& ready = poller_.wait(net::Steady::now() + kTimeoutCheckInterval);
  resume_accepting_if_due();
  for (const auto& event : ready) on_ready(event);
  close_overdue_connections();
  write_due_messages();
}

void StreamServer::resume_accepting_if_due() {
  if (!resume_accepting_at_ || net::Steady::now() < *resume_accepting_at_) return;
  resume_accepting_at_.reset();
  poller_.set_read_interest(listener_.get(), kListenerKey, true);
}

void StreamServer::on_ready(const net::Poller::Ready& event) {
  if (event.key == kListenerKey) return accept_connections();
  const auto known = connections_.find(event.key);
  if (known == connections_.end()) return;  // the connection was closed during an earlier event
  auto& connection = known->second;
  if (event.writable && !write(connection, {})) return close_connection(event.key);
  if (event.readable) on_readable(connection);
}

// --- Accepting and closing

void StreamServer::accept_connections() {
  for (std::size_t n = 0; n < kMaxAcceptsPerWakeup; ++n) {
    auto accepted = net::accept(listener_, net::Steady::now());
    if (!accepted) {
      // The listener was ready, but its first connection could not be accepted: descriptors are exhausted.
      if (n == 0) pause_accepting();
      return;
    }
    if (connections_.size() >= limits_.max_connections) close_least_needed();
    if (connections_.size() < limits_.max_connections) add_connection(std::move(accepted->first));
  }
}

// Without the pause, the poller would report the listener as ready again at once, and the thread would loop
// without waiting for as long as descriptors are exhausted.
void StreamServer::pause_accepting() {
  close_least_needed();
  resume_accepting_at_ = net::Steady::now() + kAcceptPause;
  poller_.set_read_interest(listener_.get(), kListenerKey, false);
}

void StreamServer::add_connection(net::Socket socket) {
  const auto key = ++last_key_;
  auto& connection = connections_[key];
  connection.key = key;
  connection.socket = std::move(socket);
  connection.reader.set_limits(kUnidentifiedLimits);
  connection.accepted_at = net::Steady::now();
  connection.last_received_at = connection.accepted_at;
  unidentified_.insert(key);
  poller_.add(connection.socket.get(), key);
}

// Makes room for a new connection, if any connection may be closed for it.
void StreamServer::close_least_needed() {
  const auto connections_before = connections_.size();
  close_oldest_unidentified();
  if (connections_.size() == connections_before) close_longest_silent_collector();
}

// Collectors whose machines vanished leave connections that stay open. Without this, these connections would
// take all places in the end.
void StreamServer::close_longest_silent_collector() {
  auto longest = connections_.end();
  for (auto each = connections_.begin(); each != connections_.end(); ++each) {
    if (each->second.peer.role != PeerRole::collector) continue;
    const bool is_longer =
        longest == connections_.end() || each->second.last_received_at < longest->second.last_received_at;
    if (is_longer) longest = each;
  }
  if (longest == connections_.end()) return;
  if (net::Steady::now() - longest->second.last_received_at < limits_.min_collector_silence) return;
  handler_.log_peer_error("closed the connection of a silent collector in favour of a new one");
  close_connection(longest->first);
}

// Closes the oldest connection that has not identified itself, so that a flood of connections cannot prevent
// proxies from connecting. Connections that have identified themselves are not closed, nor are those whose
// hello has arrived but has not been read.
void StreamServer::close_oldest_unidentified() {
  const auto connections_before = connections_.size();
  while (!unidentified_.empty() && connections_.size() == connections_before) {
    const auto oldest = *unidentified_.begin();
    if (is_still_unidentified(oldest)) close_connection(oldest);
  }
}

void StreamServer::close_overdue_connections() {
  const auto now = net::Steady::now();
  while (!unidentified_.empty()) {
    const auto oldest = *unidentified_.begin();
    if (now < connections_.at(oldest).accepted_at + kIdentificationTimeout) return;
    if (is_still_unidentified(oldest)) reject(connections_.at(oldest), "it did not join in time");
  }
}

// Reads the received bytes first, as they may contain the hello. The read may also close the connection.
bool StreamServer::is_still_unidentified(std::uint64_t key) {
  on_readable(connections_.at(key));
  return unidentified_.contains(key);
}

void StreamServer::close_connection(std::uint64_t key) {
  const auto known = connections_.find(key);
  if (known == connections_.end()) return;
  const auto proxy = known->second.peer.proxy;
  poller_.remove(known->second.socket.get());
  unidentified_.erase(key);
  connections_.erase(known);
  if (!proxy) return;
  const auto stream = proxy_streams_.find(*proxy);
  if (stream == proxy_streams_.end() || stream->second != key) return;
  proxy_streams_.erase(stream);
  handler_.on_proxy_left(*proxy);
}

// --- Reading

void StreamServer::on_readable(Connection& connection) {
  try {
    read_messages(connection);
  } catch (const resp::ProtocolError& error) {
    reject(connection, error.what());
  } catch (const net::Error&) {
    close_connection(connection.key);
  }
}

// Reads once, so that no connection keeps the others waiting, and handles the complete messages. Their
// answers are written together.
void StreamServer::read_messages(Connection& connection) {
  std::array<char, kReadBufferBytes> buffer;
  const auto size = net::read_now(connection.socket, buffer);
  if (!size) return;
  const auto key = connection.key;
  if (*size == 0) return close_connection(key);
  connection.last_received_at = net::Steady::now();
  connection.reader.append({buffer.data(), *size});
  bool may_have_more = true;
  while (may_have_more) may_have_more = dispatch_message(connection);
  if (!connections_.contains(key)) return;  // a message closed the connection
  connection.reader.release_read_bytes();
  const bool has_new_answers = !connection.unsent.empty() && !connection.has_write_interest;
  if (has_new_answers && !write(connection, {})) close_connection(key);
}

// Handles one message. Returns false if no complete message is buffered, or if the connection was closed.
bool StreamServer::dispatch_message(Connection& connection) {
  const auto words = connection.reader.next();
  if (!words) return false;
  ConnectionMessageHandler handler(*this, connection);
  try {
    parse_message(*words, names_, connection.peer, handler);
  } catch (const MessageError& error) {
    if (connection.peer.role == PeerRole::unidentified) {
      reject(connection, error.what());
      return false;
    }
    handler_.log_peer_error("dropped a message: " + std::string(error.what()) + printable_excerpt(*words));
  }
  return true;
}

void StreamServer::reject(Connection& connection, const std::string& reason) {
  std::string error;
  if (connection.peer.role == PeerRole::unidentified) resp::write_message(error, {"error", "why", reason});
  write(connection, error);
  handler_.log_peer_error("closed a connection: " + reason);
  close_connection(connection.key);
}

// --- Writing

void StreamServer::write_due_messages() {
  for (const auto proxy : handler_.due_proxies()) {
    const auto stream = proxy_streams_.find(proxy);
    if (stream == proxy_streams_.end()) continue;
    auto& connection = connections_.at(stream->second);
    // While a proxy has not received its last message completely, no further message is encoded for it. Its
    // next message covers everything published until then.
    if (!connection.unsent.empty()) continue;
    if (!write(connection, handler_.next_message(proxy))) close_connection(connection.key);
  }
}

// Appends the bytes to the unsent data and writes as much as the socket accepts now; the rest is written when
// the socket becomes writable. Returns false if the connection is broken.
bool StreamServer::write(Connection& connection, std::string_view bytes) {
  connection.unsent += bytes;
  try {
    connection.unsent.erase(0, net::write_now(connection.socket, connection.unsent));
    const bool has_unsent = !connection.unsent.empty();
    if (!has_unsent) {
      connection.unsent = {};
      connection.unsent_answers = 0;
    }
    if (has_unsent != connection.has_write_interest)
      poller_.set_write_interest(connection.socket.get(), connection.key, has_unsent);
    connection.has_write_interest = has_unsent;
    return true;
  } catch (const net::Error&) {
    return false;
  }
}

}  // namespace ospreypost::platform
