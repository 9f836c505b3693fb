// RESP2 arrays of bulk strings, the framing of the platform's messages. Pure: bytes in, words out. What a
// peer declares is never allocated ahead; every limit is checked on the declaration, before its bytes come.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace ospreypost::resp {

// Bytes that can be no message, or one past the limits; nothing after them can be read.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct MessageLimits {
  std::size_t max_bytes = std::size_t{64} << 10;  // of one message, framing included
  std::size_t max_words = 64;                     // of one message
};

// Takes bytes in pieces of any size.
class MessageReader {
 public:
  explicit MessageReader(MessageLimits limits = {}) : limits_(limits) {}
  void set_limits(MessageLimits limits) { limits_ = limits; }
  void append(std::string_view bytes);
  // The words of the next whole message, valid until the next call on the reader; empty if none is whole yet.
  // Throws Malformed as soon as the bytes can become no message.
  std::optional<std::vector<std::string_view>> next();
  std::size_t buffered_bytes() const { return bytes_.size() - at_; }  // bytes of a message that is not whole

 private:
  MessageLimits limits_;
  std::string bytes_;
  std::size_t at_ = 0;  // up to here it is read
};

void write_message(std::string& to, const std::vector<std::string_view>& words);

}  // namespace ospreypost::resp
