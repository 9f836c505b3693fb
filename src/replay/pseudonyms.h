/// Pseudonyms for names and addresses.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace ospreypost::replay {

/// Returns the same pseudonym for the same name each time. Pseudonyms are numbered in the order of first use.
class Pseudonyms {
 public:
  /// Returns a pseudonym such as "zone-2". Each kind of name is numbered separately. The reference is valid
  /// as long as this object exists.
  const std::string& name_for(const std::string& kind, const std::string& name);
  /// Returns a loopback address with a port as the pseudonym of an address. The port is derived from the
  /// number of the pseudonym: ports reveal little, but must stay different where the original ports differ.
  std::string address_for(const std::string& address);

 private:
  struct Pseudonym {
    std::size_t number = 0;  // position in the order of first use, from 1
    std::string text;
  };
  const Pseudonym& pseudonym(const std::string& kind, const std::string& name);

  std::map<std::string, std::map<std::string, Pseudonym>> pseudonyms_by_kind_;
};

}  // namespace ospreypost::replay
