/// RESP2 arrays of bulk strings, the framing of the platform's messages: bytes in, words out. No I/O.
/// What a peer declares is never allocated ahead: every limit is checked on the declaration, before its bytes
/// come.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace ospreypost::resp {

/// Bytes that can become no message, or a message past the limits. Nothing after them can be read.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The limits of one message.
struct MessageLimits {
  std::size_t max_bytes = std::size_t{64} << 10;  ///< framing included
  std::size_t max_words = 64;
};

/// Splits a stream of bytes, which come in pieces of any size, into messages. Not thread-safe.
class MessageReader {
 public:
  explicit MessageReader(MessageLimits limits = {}) : limits_(limits) {}
  /// The limits of the messages that are read from now on.
  void set_limits(MessageLimits limits) { limits_ = limits; }
  /// Adds bytes as they came. Words that `next` returned are invalid from then on.
  void append(std::string_view bytes);
  /// The words of the next complete message, valid until the next call of `append`; empty if none is complete
  /// yet. Throws `ProtocolError` as soon as the bytes can become no message.
  std::optional<std::vector<std::string_view>> next();
  /// Bytes that were added and are not part of a message that was read.
  std::size_t buffered_bytes() const { return bytes_.size() - read_bytes_; }

 private:
  std::optional<std::string_view> read_word(std::string_view unread, std::size_t& position) const;

  MessageLimits limits_;
  std::string bytes_;
  std::size_t read_bytes_ = 0;  // of `bytes_`, from its start
};

/// Appends one message of these words to `output`.
void write_message(std::string& output, const std::vector<std::string_view>& words);

}  // namespace ospreypost::resp
