#include "record/blocks.h"

#include <xxhash.h>
#include <zstd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <vector>

#include "net/socket.h"

namespace ospreypost::record {
namespace {

constexpr std::string_view kFile = "OSPREC", kBlock = "BLK1";
constexpr std::size_t kFirstFileHeaderBytes = 8, kFileHeaderBytes = 36, kBlockHeaderBytes = 48;
constexpr std::uint32_t kMaxPayloadBytes = 16U << 20;          // bytes; no block of ours comes near
constexpr long long kMaxNameMilliseconds = 9'000'000'000'000;  // as nanoseconds they have to fit
constexpr int kCompressionLevel = 1;                           // the cheapest: records repeat themselves

template <typename Number>
void put(std::string& text, Number number) {
  for (std::size_t n = 0; n < sizeof(Number); ++n)
    text += static_cast<char>(static_cast<std::uint64_t>(number) >> (8 * n));
}
template <typename Number>
Number get(std::string_view text, std::size_t at) {
  std::uint64_t number = 0;
  for (std::size_t n = 0; n < sizeof(Number); ++n)
    number |= static_cast<std::uint64_t>(static_cast<unsigned char>(text[at + n])) << (8 * n);
  return static_cast<Number>(number);
}

std::uint64_t sum_of(std::string_view head, std::string_view stored) {
  return XXH3_64bits_withSeed(stored.data(), stored.size(), XXH3_64bits(head.data(), head.size()));
}

}  // namespace

std::string file_name(Nanos wall, std::uint64_t number) {
  char name[80];
  std::snprintf(name, sizeof(name), "%015lld-%06llu.rec",
                static_cast<long long>(wall / std::chrono::milliseconds(1)),
                static_cast<unsigned long long>(number));
  return name;
}

Nanos wall_time_of_name(const std::string& stem) {
  const long long milliseconds = std::atoll(stem.c_str());
  return milliseconds < 0 || milliseconds > kMaxNameMilliseconds
             ? Nanos{}
             : Nanos(std::chrono::milliseconds(milliseconds));
}

std::string encode_file_header(const FileHeader& head) {
  std::string text(kFile);
  put(text, head.schema);
  put(text, head.wall_time.count());
  put(text, head.clock_time.count());
  put(text, head.number);
  put(text, sum_of(text, {}));
  return text;
}

std::string encode_block(const BlockHeader& head, std::string_view payload) {
  std::string stored(ZSTD_compressBound(payload.size()), '\0');
  stored.resize(
      ZSTD_compress(stored.data(), stored.size(), payload.data(), payload.size(), kCompressionLevel));
  std::string text(kBlock);
  put(text, static_cast<std::uint32_t>(stored.size()));
  put(text, static_cast<std::uint32_t>(payload.size()));
  put(text, head.entries);
  put(text, head.lost);
  put(text, head.first.count());
  put(text, head.last.count());
  put(text, sum_of(text, stored));
  return text + stored;
}

BlockReader::BlockReader(std::string_view file) : rest_(file) {
  const bool ours = file.starts_with(kFile);
  if (!ours && !kFile.starts_with(file)) throw net::Error("that is no record");
  if (file.size() >= kFirstFileHeaderBytes) {
    header_.schema = get<std::uint16_t>(file, kFile.size());
    if (header_.schema > kSchemaVersion) {
      throw net::Error("the record is of schema " + std::to_string(header_.schema) +
                       "; this program reads up to " + std::to_string(kSchemaVersion));
    }
  }
  const std::size_t size = header_.schema < 2 ? kFirstFileHeaderBytes : kFileHeaderBytes;
  if (file.size() < size) {
    // A disk that was full, or a death, before the head was written.
    rest_ = {};
    corrupt_stretches_ = 1;
    return;
  }
  rest_.remove_prefix(size);
  if (header_.schema < 2) return;
  if (get<std::uint64_t>(file, kFileHeaderBytes - 8) != sum_of(file.substr(0, kFileHeaderBytes - 8), {})) {
    // What the blocks say of themselves still holds.
    corrupt_stretches_ = 1;
    return;
  }
  header_.wall_time = Nanos(get<std::int64_t>(file, 8));
  header_.clock_time = Nanos(get<std::int64_t>(file, 16));
  header_.number = get<std::uint32_t>(file, 24);
}

std::optional<BlockReader::Found> BlockReader::next() {
  bool skipping = false;
  while (!rest_.empty()) {
    const auto at = rest_.find(kBlock);
    if (at != 0 && !skipping) ++corrupt_stretches_, skipping = true;
    if (at == std::string_view::npos) break;
    rest_.remove_prefix(at);
    Found found;
    if (rest_.size() >= kBlockHeaderBytes) {
      const auto stored_size = get<std::uint32_t>(rest_, 4), size = get<std::uint32_t>(rest_, 8);
      found.header = {get<std::uint32_t>(rest_, 12), get<std::uint64_t>(rest_, 16),
                      Nanos(get<std::int64_t>(rest_, 24)), Nanos(get<std::int64_t>(rest_, 32))};
      const auto stored = rest_.substr(kBlockHeaderBytes, stored_size);
      const bool aside = found.header.last < from_ || found.header.first > to_;
      if (aside && !skipping && rest_.substr(stored.size() + kBlockHeaderBytes).starts_with(kBlock)) {
        rest_.remove_prefix(kBlockHeaderBytes + stored_size);
        continue;
      }
      const bool sound = stored.size() == stored_size && size <= kMaxPayloadBytes &&
                         sum_of(rest_.substr(0, 40), stored) == get<std::uint64_t>(rest_, 40);
      if (sound) {
        found.payload.resize(size);
        if (ZSTD_decompress(found.payload.data(), size, stored.data(), stored.size()) == size) {
          rest_.remove_prefix(kBlockHeaderBytes + stored_size);
          return found;
        }
      }
    }
    if (!skipping) ++corrupt_stretches_, skipping = true;
    rest_.remove_prefix(1);
  }
  rest_ = {};
  return std::nullopt;
}

}  // namespace ospreypost::record
