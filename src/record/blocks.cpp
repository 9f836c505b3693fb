#include "record/blocks.h"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>

#include "record/errors.h"

namespace ospreypost::record {
namespace {

constexpr std::string_view kFileMagic = "OSPREC";
constexpr std::string_view kBlockMagic = "BLK1";
constexpr std::size_t kFileHeaderBytesOfSchema1 = 8;
constexpr std::size_t kFileHeaderBytes = 36;
constexpr std::size_t kBlockHeaderBytes = 48;
constexpr std::size_t kChecksumBytes = 8;
// Written blocks are far smaller. The limit keeps a forged size from causing a huge allocation.
constexpr std::uint32_t kMaxPayloadBytes = 16U << 20;
// Level of zstd. The cheapest regular level is sufficient, as records are repetitive.
constexpr int kCompressionLevel = 1;

template <typename Number>
void append_number(std::string& text, Number number) {
  for (std::size_t byte = 0; byte < sizeof(Number); ++byte)
    text += static_cast<char>(static_cast<std::uint64_t>(number) >> (8 * byte));
}

// Reads numbers from the front of a text. The text must be long enough for all numbers that are read.
class NumberReader {
 public:
  explicit NumberReader(std::string_view text) : rest_(text) {}

  template <typename Number>
  Number take() {
    std::uint64_t number = 0;
    for (std::size_t byte = 0; byte < sizeof(Number); ++byte)
      number |= static_cast<std::uint64_t>(static_cast<unsigned char>(rest_[byte])) << (8 * byte);
    rest_.remove_prefix(sizeof(Number));
    return static_cast<Number>(number);
  }
  Nanos take_time() { return Nanos(take<std::int64_t>()); }

 private:
  std::string_view rest_;
};

std::uint64_t checksum_of(std::string_view header, std::string_view stored) {
  return XXH3_64bits_withSeed(stored.data(), stored.size(), XXH3_64bits(header.data(), header.size()));
}

struct DecodedFileHeader {
  FileHeader header;
  std::size_t bytes = 0;
  bool is_complete = true;
  bool is_intact = true;
};

// Returns the schema that the file states, or the newest schema if the file ends before its schema field.
std::uint16_t decode_schema(std::string_view file) {
  const std::string_view magic = file.substr(0, kFileMagic.size());
  if (!kFileMagic.starts_with(magic))
    throw FormatError("that is no record", std::string(kFileMagic), std::string(magic));
  if (file.size() < kFileHeaderBytesOfSchema1) return kSchemaVersion;
  const auto schema = NumberReader(file.substr(kFileMagic.size())).take<std::uint16_t>();
  if (schema > kSchemaVersion) {
    const std::string found = std::to_string(schema);
    const std::string newest = std::to_string(kSchemaVersion);
    throw FormatError("the record is of schema " + found + "; this program reads up to " + newest,
                      "schema 1 to " + newest, "schema " + found);
  }
  return schema;
}

DecodedFileHeader decode_file_header(std::string_view file) {
  DecodedFileHeader decoded;
  decoded.header.schema = decode_schema(file);
  decoded.bytes = decoded.header.schema < 2 ? kFileHeaderBytesOfSchema1 : kFileHeaderBytes;
  if (file.size() < decoded.bytes) {
    decoded.is_complete = false;
    decoded.is_intact = false;
    return decoded;
  }
  if (decoded.header.schema < 2) return decoded;
  const std::string_view checked = file.substr(0, kFileHeaderBytes - kChecksumBytes);
  const auto checksum = NumberReader(file.substr(checked.size())).take<std::uint64_t>();
  decoded.is_intact = checksum == checksum_of(checked, {});
  if (!decoded.is_intact) return decoded;
  NumberReader numbers(checked.substr(kFileHeaderBytesOfSchema1));
  decoded.header.wall_time = numbers.take_time();
  decoded.header.clock_time = numbers.take_time();
  decoded.header.number = numbers.take<std::uint32_t>();
  return decoded;
}

// Bytes at which a block may begin. Only a matching checksum shows that the bytes are a block.
struct BlockCandidate {
  BlockHeader header;
  std::uint32_t stored_bytes = 0;
  std::uint32_t payload_bytes = 0;
  std::uint64_t checksum = 0;
  std::string_view checked_header;
  std::string_view stored;  // shorter than `stored_bytes` if the file ends within the block
  std::string_view following_bytes;

  std::size_t bytes() const { return kBlockHeaderBytes + stored_bytes; }
};

std::optional<BlockCandidate> decode_candidate(std::string_view text) {
  if (text.size() < kBlockHeaderBytes) return std::nullopt;
  BlockCandidate candidate;
  NumberReader numbers(text.substr(kBlockMagic.size()));
  candidate.stored_bytes = numbers.take<std::uint32_t>();
  candidate.payload_bytes = numbers.take<std::uint32_t>();
  candidate.header.entries = numbers.take<std::uint32_t>();
  candidate.header.lost_before = numbers.take<std::uint64_t>();
  candidate.header.first = numbers.take_time();
  candidate.header.last = numbers.take_time();
  candidate.checksum = numbers.take<std::uint64_t>();
  candidate.checked_header = text.substr(0, kBlockHeaderBytes - kChecksumBytes);
  candidate.stored = text.substr(kBlockHeaderBytes, candidate.stored_bytes);
  candidate.following_bytes = text.substr(kBlockHeaderBytes + candidate.stored.size());
  return candidate;
}

// Returns the decompressed payload, or nothing if the candidate is not an intact block.
std::optional<std::string> decode_payload(const BlockCandidate& candidate) {
  if (candidate.stored.size() != candidate.stored_bytes) return std::nullopt;
  if (candidate.payload_bytes > kMaxPayloadBytes) return std::nullopt;
  if (checksum_of(candidate.checked_header, candidate.stored) != candidate.checksum) return std::nullopt;
  std::string payload(candidate.payload_bytes, '\0');
  const std::size_t decompressed =
      ZSTD_decompress(payload.data(), payload.size(), candidate.stored.data(), candidate.stored.size());
  if (decompressed != payload.size()) return std::nullopt;
  return payload;
}

}  // namespace

std::string encode_file_header(const FileHeader& header) {
  std::string text(kFileMagic);
  append_number(text, header.schema);
  append_number(text, header.wall_time.count());
  append_number(text, header.clock_time.count());
  append_number(text, header.number);
  append_number(text, checksum_of(text, {}));
  return text;
}

std::string encode_block(const BlockHeader& header, std::string_view payload) {
  std::string stored(ZSTD_compressBound(payload.size()), '\0');
  stored.resize(
      ZSTD_compress(stored.data(), stored.size(), payload.data(), payload.size(), kCompressionLevel));
  std::string text(kBlockMagic);
  append_number(text, static_cast<std::uint32_t>(stored.size()));
  append_number(text, static_cast<std::uint32_t>(payload.size()));
  append_number(text, header.entries);
  append_number(text, header.lost_before);
  append_number(text, header.first.count());
  append_number(text, header.last.count());
  append_number(text, checksum_of(text, stored));
  return text + stored;
}

BlockReader::BlockReader(std::string_view file) : rest_(file) {
  const DecodedFileHeader decoded = decode_file_header(file);
  header_ = decoded.header;
  // A full disk or a crash can leave the file header incomplete; such a file has no blocks. If the header is
  // complete but corrupt, the blocks can still be read, as each block has its own checksum.
  rest_.remove_prefix(decoded.is_complete ? decoded.bytes : file.size());
  if (!decoded.is_intact) corrupt_regions_ = 1;
}

void BlockReader::restrict_to(Nanos from, Nanos to) {
  window_begin_ = from;
  window_end_ = to;
}

bool BlockReader::is_in_window(const BlockHeader& header) const {
  return header.last >= window_begin_ && header.first <= window_end_;
}

std::optional<BlockReader::Block> BlockReader::next() {
  bool in_corrupt_region = false;
  const auto skip_corrupt_bytes = [&](std::size_t bytes) {
    if (!in_corrupt_region) ++corrupt_regions_;
    in_corrupt_region = true;
    rest_.remove_prefix(std::min(bytes, rest_.size()));
  };
  while (!rest_.empty()) {
    const std::size_t magic_offset = rest_.find(kBlockMagic);
    if (magic_offset != 0) skip_corrupt_bytes(magic_offset);
    const auto candidate = decode_candidate(rest_);
    if (!candidate) {
      skip_corrupt_bytes(1);
      continue;
    }
    const bool block_follows = !in_corrupt_region && candidate->following_bytes.starts_with(kBlockMagic);
    if (block_follows && !is_in_window(candidate->header)) {
      rest_.remove_prefix(candidate->bytes());
      continue;
    }
    if (auto payload = decode_payload(*candidate)) {
      rest_.remove_prefix(candidate->bytes());
      return Block{candidate->header, std::move(*payload)};
    }
    skip_corrupt_bytes(1);
  }
  return std::nullopt;
}

}  // namespace ospreypost::record
