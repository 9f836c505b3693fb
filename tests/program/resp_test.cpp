/// Tests of the message framing, which compare `MessageReader` with a reference reader.
#include "resp/resp.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ospreypost::resp {
namespace {

using Words = std::vector<std::string>;

// Limits of the reference reader for a line such as "*3\r\n": type byte, at most eight digits, line end.
constexpr std::size_t kMaxDigits = 8;
constexpr std::size_t kMaxLineBytes = 11;

// Reference implementation of the reader: reads one byte at a time and checks the whole line after each byte.
class ReferenceReader {
 public:
  explicit ReferenceReader(MessageLimits limits) : limits_(limits) {}

  void append(char byte) {
    if (malformed_) return;
    ++message_bytes_;
    if (state_ == State::word) {
      append_to_word(byte);
    } else {
      append_to_line(byte);
    }
  }
  const std::vector<Words>& messages() const { return messages_; }
  bool malformed() const { return malformed_; }

 private:
  enum class State { word_count, word_size, word };

  void append_to_word(char byte) {
    word_ += byte;
    if (word_.size() == word_size_ + 1) malformed_ = byte != '\r';
    if (word_.size() < word_size_ + 2) return;
    malformed_ = byte != '\n';
    if (malformed_) return;
    words_.push_back(word_.substr(0, word_size_));
    state_ = State::word_size;
    if (words_.size() == word_count_) finish_message();
  }
  void finish_message() {
    messages_.push_back(words_);
    words_.clear();
    message_bytes_ = 0;
    state_ = State::word_count;
  }
  void append_to_line(char byte) {
    line_ += byte;
    malformed_ = is_line_malformed();
    if (malformed_ || !line_.ends_with("\r\n")) return;
    const auto number = std::stoul(line_.substr(1));
    line_.clear();
    if (state_ == State::word_count) {
      start_message(number);
    } else {
      start_word(number);
    }
  }
  bool is_line_malformed() const {
    const char type_byte = state_ == State::word_count ? '*' : '$';
    if (line_.front() != type_byte) return true;
    if (line_.size() > kMaxLineBytes || message_bytes_ > limits_.max_bytes + kMaxLineBytes) return true;
    const auto digits_end = line_.find('\r');
    const auto digits = line_.substr(1, digits_end - 1);
    if (digits.find_first_not_of("0123456789") != std::string::npos) return true;
    if (digits.size() > kMaxDigits) return true;
    if (digits_end == std::string::npos) return false;
    const bool has_more = digits_end + 1 < line_.size();
    return digits.empty() || (has_more && !line_.ends_with("\r\n"));
  }
  void start_message(std::size_t word_count) {
    word_count_ = word_count;
    malformed_ = word_count == 0 || word_count > limits_.max_words;
    state_ = State::word_size;
  }
  void start_word(std::size_t word_size) {
    word_size_ = word_size;
    word_.clear();
    malformed_ = message_bytes_ > limits_.max_bytes || word_size > limits_.max_bytes - message_bytes_;
    state_ = State::word;
  }

  const MessageLimits limits_;
  State state_ = State::word_count;
  std::vector<Words> messages_;
  Words words_;
  std::string line_;
  std::string word_;
  std::size_t word_count_ = 0;
  std::size_t word_size_ = 0;
  std::size_t message_bytes_ = 0;
  bool malformed_ = false;
};

// Returns the bytes of up to three random messages. In about half of the cases, one byte is overwritten.
std::string arbitrary_stream() {
  std::string bytes;
  for (int n = *rc::gen::inRange(0, 4); n > 0; --n) {
    const auto words = *rc::gen::nonEmpty(rc::gen::container<Words>(rc::gen::string<std::string>()));
    write_message(bytes, {words.begin(), words.end()});
  }
  const bool changed = !bytes.empty() && *rc::gen::inRange(0, 2) == 0;
  if (changed) {
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[position] = *rc::gen::element('*', '$', '\r', '\n', '0', '9', '-');
  }
  return bytes;
}

struct ReadResult {
  std::vector<Words> messages;
  bool malformed = false;
};

// Passes the bytes to a `MessageReader` in pieces of random size, and returns the messages read.
ReadResult read_in_pieces(const std::string& bytes, MessageLimits limits) {
  MessageReader reader(limits);
  ReadResult result;
  std::size_t position = 0;
  while (position < bytes.size()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, bytes.size() - position + 1);
    reader.append(std::string_view(bytes).substr(position, size));
    position += size;
    try {
      while (const auto words = reader.next()) result.messages.emplace_back(words->begin(), words->end());
    } catch (const ProtocolError&) {
      result.malformed = true;
      return result;
    }
  }
  return result;
}

RC_GTEST_PROP(MessageReaderTest, ReadsLikeTheReferenceReaderForPiecesOfAnySize, ()) {
  const MessageLimits limits{200, 8};
  const auto bytes = arbitrary_stream();
  ReferenceReader reference(limits);
  for (const char byte : bytes) reference.append(byte);
  const auto result = read_in_pieces(bytes, limits);
  RC_ASSERT(result.messages == reference.messages());
  RC_ASSERT(result.malformed == reference.malformed());
}

TEST(MessageReaderTest, RejectsALengthBeforeItsBytesCome) {
  MessageReader reader({1000, 8});
  reader.append("*1\r\n$99999999\r\n");
  EXPECT_THROW(reader.next(), ProtocolError);
}

TEST(MessageReaderTest, RejectsAnotherProtocol) {
  MessageReader reader;
  reader.append("GET / HTTP/1.1\r\n");
  EXPECT_THROW(reader.next(), ProtocolError);
}

TEST(MessageReaderTest, RejectsALengthWithoutAnEnd) {
  MessageReader reader;
  reader.append("*1111111111111");
  EXPECT_THROW(reader.next(), ProtocolError);
}

TEST(MessageReaderTest, RejectsAMessageWhoseLastLineEndIsBroken) {
  MessageReader reader;
  reader.append("*1\r\n$1\r\na\r-");
  EXPECT_THROW(reader.next(), ProtocolError);
}

}  // namespace
}  // namespace ospreypost::resp
