#include "resp/resp.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace ospreypost::resp {
namespace {

constexpr std::size_t kMaxLengthDigits = 8;
constexpr std::string_view kLineEnd = "\r\n";

// A line with a length, such as "*3" (number of words) or "$12" (bytes of one word).
struct LengthLine {
  std::size_t length = 0;
  std::size_t line_bytes = 0;  // including the type byte and the line end
};

std::size_t parse_digits(std::string_view digits) {
  std::size_t number = 0;
  const char* const end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end) throw ProtocolError("a length is no number");
  return number;
}

// Parses the line at the start of `bytes`. Returns empty if the line is incomplete. Throws `ProtocolError` if
// the line doesn't start with `type_byte` or contains no valid length.
std::optional<LengthLine> parse_length_line(std::string_view bytes, char type_byte) {
  if (bytes.empty()) return std::nullopt;
  if (bytes.front() != type_byte) throw ProtocolError("no array of bulk strings");
  const auto line = bytes.substr(1, kMaxLengthDigits + kLineEnd.size());
  const auto digits_end = line.find('\r');
  const auto digits = line.substr(0, digits_end);
  // The digits are also checked while the line is incomplete, so that a peer that uses another protocol is
  // rejected early.
  const std::size_t length = digits.empty() ? 0 : parse_digits(digits);
  if (digits_end == std::string_view::npos) {
    if (line.size() > kMaxLengthDigits) throw ProtocolError("a length without an end");
    return std::nullopt;
  }
  if (digits.empty()) throw ProtocolError("a length is missing");
  if (digits_end + 1 >= line.size()) return std::nullopt;
  if (line[digits_end + 1] != '\n') throw ProtocolError("a length without its line's end");
  return LengthLine{length, 1 + digits_end + kLineEnd.size()};
}

}  // namespace

void MessageReader::append(std::string_view bytes) {
  bytes_.erase(0, read_bytes_);
  read_bytes_ = 0;
  bytes_.append(bytes);
}

void MessageReader::release_read_bytes() {
  if (read_bytes_ == 0) return;
  bytes_ = bytes_.substr(read_bytes_);
  read_bytes_ = 0;
}

std::optional<std::vector<std::string_view>> MessageReader::next() {
  const auto unread = std::string_view(bytes_).substr(read_bytes_);
  const auto count = parse_length_line(unread, '*');
  if (!count) return std::nullopt;
  if (count->length == 0 || count->length > limits_.max_words)
    throw ProtocolError("a message of so many words");
  std::size_t position = count->line_bytes;
  std::vector<std::string_view> words;
  for (std::size_t n = 0; n < count->length; ++n) {
    const auto word = read_word(unread, position);
    if (!word) return std::nullopt;
    words.push_back(*word);
  }
  read_bytes_ += position;
  return words;
}

// Reads the word at `position` and moves `position` past it. Returns empty if the word is incomplete.
std::optional<std::string_view> MessageReader::read_word(std::string_view unread,
                                                         std::size_t& position) const {
  const auto size = parse_length_line(unread.substr(position), '$');
  if (size) position += size->line_bytes;
  if (position > limits_.max_bytes || (size && size->length > limits_.max_bytes - position))
    throw ProtocolError("a message of so many bytes");
  if (!size) return std::nullopt;
  const auto rest = unread.substr(position);
  const auto received_line_end = rest.substr(std::min(size->length, rest.size()), kLineEnd.size());
  if (!kLineEnd.starts_with(received_line_end)) throw ProtocolError("a word without its end");
  if (received_line_end.size() < kLineEnd.size()) return std::nullopt;
  position += size->length + kLineEnd.size();
  return rest.substr(0, size->length);
}

void write_message(std::string& output, const std::vector<std::string_view>& words) {
  output += '*' + std::to_string(words.size());
  output += kLineEnd;
  for (const auto word : words) {
    output += '$' + std::to_string(word.size());
    output += kLineEnd;
    output += word;
    output += kLineEnd;
  }
}

}  // namespace ospreypost::resp
