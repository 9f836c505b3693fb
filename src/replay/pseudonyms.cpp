#include "replay/pseudonyms.h"

namespace ospreypost::replay {
namespace {

constexpr std::size_t kAddressesInSubnet = 200;
constexpr std::size_t kSubnets = 200;
constexpr std::size_t kFirstPort = 7000;
constexpr std::size_t kPorts = 1000;

}  // namespace

const std::string& Pseudonyms::of(const std::string& kind, const std::string& name) {
  return pseudonym(kind, name).text;
}

std::string Pseudonyms::of_address(const std::string& address) {
  const std::size_t number = pseudonym("address", address).number;
  const std::size_t subnet = number / kAddressesInSubnet % kSubnets;
  const std::size_t host = 1 + number % kAddressesInSubnet;
  const std::size_t port = kFirstPort + number % kPorts;
  return "127.0." + std::to_string(subnet) + "." + std::to_string(host) + ":" + std::to_string(port);
}

const Pseudonyms::Pseudonym& Pseudonyms::pseudonym(const std::string& kind, const std::string& name) {
  auto& pseudonyms = by_kind_[kind];
  const auto known = pseudonyms.find(name);
  if (known != pseudonyms.end()) return known->second;
  const std::size_t number = pseudonyms.size() + 1;
  return pseudonyms.emplace(name, Pseudonym{number, kind + "-" + std::to_string(number)}).first->second;
}

}  // namespace ospreypost::replay
