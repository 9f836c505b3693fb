#include "resp/resp.h"

#include <charconv>

namespace ospreypost::resp {
namespace {

constexpr std::size_t kMostDigits = 8;

// The number of a line such as "*3" or "$12" at `at`, which moves past it; empty if the line is not whole.
std::optional<std::size_t> header(std::string_view bytes, std::size_t& at, char sign) {
  if (at >= bytes.size()) return std::nullopt;
  if (bytes[at] != sign) throw ProtocolError("no array of bulk strings");
  const auto line = bytes.substr(at + 1, kMostDigits + 2);
  const auto end = line.find('\r');
  const auto digits = line.substr(0, end);
  std::size_t number = 0;
  const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (!digits.empty() && (read.ec != std::errc{} || read.ptr != digits.data() + digits.size()))
    throw ProtocolError("a length is no number");
  if (end == std::string_view::npos) {
    if (line.size() > kMostDigits) throw ProtocolError("a length without an end");
    return std::nullopt;
  }
  if (digits.empty()) throw ProtocolError("a length is missing");
  if (end + 1 >= line.size()) return std::nullopt;
  if (line[end + 1] != '\n') throw ProtocolError("a length without its line's end");
  at += 1 + end + 2;
  return number;
}

}  // namespace

void MessageReader::append(std::string_view bytes) {
  if (at_ > 0) bytes_.erase(0, at_), at_ = 0;
  bytes_.append(bytes);
}

std::optional<std::vector<std::string_view>> MessageReader::next() {
  const std::string_view bytes = bytes_;
  auto at = at_;
  const auto count = header(bytes, at, '*');
  if (!count) return std::nullopt;
  if (*count == 0 || *count > limits_.max_words) throw ProtocolError("a message of so many words");
  std::vector<std::string_view> words;
  for (std::size_t n = 0; n < *count; ++n) {
    const auto size = header(bytes, at, '$');
    if (at - at_ > limits_.max_bytes || (size && *size > limits_.max_bytes - (at - at_)))
      throw ProtocolError("a message of so many bytes");
    if (!size || bytes.size() - at < *size + 2) {
      if (size && bytes.size() - at > *size && bytes[at + *size] != '\r')
        throw ProtocolError("a word without its end");
      return std::nullopt;
    }
    words.push_back(bytes.substr(at, *size));
    if (bytes.substr(at + *size, 2) != "\r\n") throw ProtocolError("a word without its end");
    at += *size + 2;
  }
  at_ = at;
  return words;
}

void write_message(std::string& to, const std::vector<std::string_view>& words) {
  to += '*' + std::to_string(words.size()) + "\r\n";
  for (const auto word : words) {
    to += '$' + std::to_string(word.size()) + "\r\n";
    to += word;
    to += "\r\n";
  }
}

}  // namespace ospreypost::resp
