/// Reads and writes RESP2 arrays of bulk strings, the framing of the platform's messages. A message is an
/// array, and each of its bulk strings is a word. No I/O. Memory is never allocated in advance for a declared
/// length: each limit is checked against the declared length, before the declared bytes are received.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace ospreypost::resp {

/// Thrown for bytes that are not a valid message, or for a message above the limits. No further messages can
/// be read from the stream.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Limits for the size of one message.
struct MessageLimits {
  std::size_t max_bytes = std::size_t{64} << 10;  ///< including the framing
  std::size_t max_words = 64;
};

/// Splits a byte stream, which may arrive in chunks of any size, into messages. Not thread-safe.
class MessageReader {
 public:
  explicit MessageReader(MessageLimits limits = {}) : limits_(limits) {}
  /// Sets the limits for messages that are read from now on.
  void set_limits(MessageLimits limits) { limits_ = limits; }
  /// Appends received bytes. Invalidates the words that `next` returned.
  void append(std::string_view bytes);
  /// Returns the words of the next message, valid until the next call of `append`; empty if the next message
  /// is still incomplete. Throws `ProtocolError` as soon as the bytes cannot be the start of a valid message.
  std::optional<std::vector<std::string_view>> next();
  /// Frees the memory of the messages that were returned. Invalidates the words that `next` returned.
  void release_read_bytes();
  /// Returns the number of appended bytes that do not belong to a message returned by `next`.
  std::size_t buffered_bytes() const { return bytes_.size() - read_bytes_; }

 private:
  std::optional<std::string_view> read_word(std::string_view unread, std::size_t& position) const;

  MessageLimits limits_;
  std::string bytes_;
  std::size_t read_bytes_ = 0;  // length of the prefix of `bytes_` that `next` has returned
};

/// Appends the encoding of one message to `output`.
void write_message(std::string& output, const std::vector<std::string_view>& words);

}  // namespace ospreypost::resp
