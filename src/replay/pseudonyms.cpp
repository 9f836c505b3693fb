#include "replay/pseudonyms.h"

namespace ospreypost::replay {
namespace {

constexpr std::size_t kAddressesInSubnet = 200;
constexpr std::size_t kSubnets = 200;
constexpr std::size_t kFirstPort = 7000;
constexpr std::size_t kPorts = 1000;

}  // namespace

const std::string& Pseudonyms::name_for(const std::string& kind, const std::string& name) {
  return pseudonym(kind, name).text;
}

std::string Pseudonyms::address_for(const std::string& address) {
  const std::size_t number = pseudonym("address", address).number;
  const std::size_t subnet = number / kAddressesInSubnet % kSubnets;
  const std::size_t host = 1 + number % kAddressesInSubnet;
  const std::size_t port = kFirstPort + number % kPorts;
  return "127.0." + std::to_string(subnet) + "." + std::to_string(host) + ":" + std::to_string(port);
}

const Pseudonyms::Pseudonym& Pseudonyms::pseudonym(const std::string& kind, const std::string& name) {
  auto& pseudonyms = pseudonyms_by_kind_[kind];
  const auto found = pseudonyms.find(name);
  if (found != pseudonyms.end()) return found->second;
  const std::size_t number = pseudonyms.size() + 1;
  return pseudonyms.emplace(name, Pseudonym{number, kind + "-" + std::to_string(number)}).first->second;
}

}  // namespace ospreypost::replay
