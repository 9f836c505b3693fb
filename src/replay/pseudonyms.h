/// Names in place of others.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace ospreypost::replay {

/// Gives the same pseudonym for the same name each time, numbered in the order in which names come.
class Pseudonyms {
 public:
  /// Such as "zone-2". Names of different kinds are apart. The reference is valid as long as this lives.
  const std::string& of(const std::string& kind, const std::string& name);
  /// An address on this machine. Ports tell little, and must differ where they did.
  std::string of_address(const std::string& address);

 private:
  struct Pseudonym {
    std::size_t number = 0;  // from 1
    std::string text;
  };
  const Pseudonym& pseudonym(const std::string& kind, const std::string& name);

  std::map<std::string, std::map<std::string, Pseudonym>> by_kind_;
};

}  // namespace ospreypost::replay
