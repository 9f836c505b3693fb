#include "record/file_name.h"

#include <array>
#include <cstdio>
#include <cstdlib>

namespace ospreypost::record {
namespace {

// Upper limit of the time in a name, so that the time fits `Nanos`.
constexpr long long kMaxNameMilliseconds = 9'000'000'000'000;
constexpr std::size_t kMaxNameBytes = 80;

}  // namespace

std::string encode_file_name(Nanos wall_time, std::uint64_t number) {
  std::array<char, kMaxNameBytes> name{};
  std::snprintf(name.data(), name.size(), "%015lld-%06llu.rec",
                static_cast<long long>(wall_time / std::chrono::milliseconds(1)),
                static_cast<unsigned long long>(number));
  return name.data();
}

std::optional<Nanos> wall_time_of_name(const std::filesystem::path& path) {
  const long long milliseconds = std::strtoll(path.stem().c_str(), nullptr, 10);
  if (milliseconds <= 0 || milliseconds > kMaxNameMilliseconds) return std::nullopt;
  return Nanos(std::chrono::milliseconds(milliseconds));
}

}  // namespace ospreypost::record
