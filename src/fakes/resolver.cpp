#include "fakes/resolver.h"

#include <array>

#include "dns/message.h"

namespace ospreypost::fakes {
namespace {

using namespace std::chrono_literals;

}  // namespace

Resolver::Resolver(const net::Address& listen, double factor)
    : factor_(factor), socket_(net::bind_udp(listen)) {
  thread_ = net::Thread("resolver", [this] { serve(); });
}

void Resolver::stop() {
  stopping_ = true;
  thread_.join();
}

void Resolver::serve() {
  std::array<std::uint8_t, 4096> buffer{};
  while (!stopping_) {
    const auto got = net::receive_from(socket_, buffer, net::Steady::now() + 100ms);
    if (!got || got->first < 12) continue;
    const std::span<const std::uint8_t> question(buffer.data(), got->first);
    const std::string key(question.begin() + 2, question.end());
    auto& kept = kept_[key];
    if (kept.answer.empty() || net::Steady::now() >= kept.until) {
      kept.answer = ask(question);
      if (kept.answer.size() < 12) {
        kept_.erase(key);
        continue;
      }
      kept.until = net::Steady::now() + lifetime_of(kept.answer);
    }
    auto answer = kept.answer;
    answer[0] = question[0];
    answer[1] = question[1];
    net::send_to(socket_, answer, got->second);
  }
}

std::vector<std::uint8_t> Resolver::ask(std::span<const std::uint8_t> question) {
  const auto upstream = upstream_.load();
  if (!upstream) return {};
  std::array<std::uint8_t, 4096> buffer{};
  const auto socket = net::bind_udp({"127.0.0.1", 0});
  net::send_to(socket, question, *upstream);
  const auto got = net::receive_from(socket, buffer, net::Steady::now() + 500ms);
  return got ? std::vector<std::uint8_t>(buffer.begin(),
                                         buffer.begin() + static_cast<std::ptrdiff_t>(got->first))
             : std::vector<std::uint8_t>{};
}

net::Steady::duration Resolver::lifetime_of(const std::vector<std::uint8_t>& answer) const {
  std::uint32_t seconds = 1;
  try {
    const auto read = dns::read_answer(answer);
    if (!read.answers.empty()) seconds = read.answers.front().ttl;
    if (read.code == dns::Code::server_failure) seconds = 0;
  } catch (const net::Error&) {
    seconds = 0;
  }
  return std::chrono::duration_cast<net::Steady::duration>(std::chrono::duration<double>(seconds * factor_));
}

}  // namespace ospreypost::fakes
