// Reading and writing records after a crash, with corrupt bytes, and with a slow disk.
#include <gtest/gtest.h>

#include <atomic>
#include <filesystem>
#include <random>
#include <thread>

#include "net/socket.h"
#include "record/reader.h"
#include "record/writer.h"
#include "record_support.h"

namespace ospreypost::record {
namespace {

using namespace std::chrono_literals;

using test::find_blocks;
using test::FoundBlocks;
using test::TemporaryFolder;

constexpr std::size_t kBlocks = 3;

// Returns a file with three blocks of equal size, each with one entry, at the times 1, 2 and 3 ns.
std::string three_blocks() {
  std::string text = encode_file_header();
  for (std::int64_t n = 1; n <= 3; ++n) {
    const std::string payload(200, static_cast<char>('a' + n));
    text += encode_block({1, 0, Nanos(n), Nanos(n)}, payload);
  }
  return text;
}

std::vector<std::int64_t> first_times(const FoundBlocks& found) {
  std::vector<std::int64_t> times;
  for (const auto& header : found.headers) times.push_back(header.first.count());
  return times;
}

TEST(BlockReaderTest, FindsAllCompleteBlocksOfATruncatedFile) {
  const std::string whole = three_blocks();
  const std::size_t header_bytes = encode_file_header().size();
  const std::size_t block_bytes = (whole.size() - header_bytes) / kBlocks;
  for (std::size_t size = header_bytes; size <= whole.size(); ++size) {
    const FoundBlocks found = find_blocks(whole.substr(0, size));
    EXPECT_EQ(found.headers.size(), (size - header_bytes) / block_bytes);
    EXPECT_EQ(found.corrupt_regions, (size - header_bytes) % block_bytes == 0 ? 0U : 1U);
  }
}

TEST(BlockReaderTest, SkipsAndCountsABlockWithAnyByteFlipped) {
  const std::string whole = three_blocks();
  const std::size_t header_bytes = encode_file_header().size();
  const std::size_t block_bytes = (whole.size() - header_bytes) / kBlocks;
  for (std::size_t position = header_bytes; position < whole.size(); ++position) {
    std::string flipped = whole;
    flipped[position] = static_cast<char>(flipped[position] ^ 0x10);
    std::vector<std::int64_t> expected = {1, 2, 3};
    expected.erase(expected.begin() + static_cast<std::ptrdiff_t>((position - header_bytes) / block_bytes));
    const FoundBlocks found = find_blocks(flipped);
    EXPECT_EQ(first_times(found), expected) << position;
    EXPECT_EQ(found.corrupt_regions, 1U);
  }
}

TEST(BlockReaderTest, RejectsANewerSchemaAndATextThatIsNoRecord) {
  std::string text = three_blocks();
  text[6] = static_cast<char>(kSchemaVersion + 1);
  try {
    const BlockReader reader(text);
    FAIL();
  } catch (const net::Error& error) {
    EXPECT_STREQ(error.what(), "the record is of schema 3; this program reads up to 2");
  }
  EXPECT_THROW(BlockReader("<governor/>"), net::Error);
}

TEST(BlockReaderTest, CountsAnEmptyFileAsCorrupt) {
  const FoundBlocks found = find_blocks("");
  EXPECT_TRUE(found.headers.empty());
  EXPECT_EQ(found.corrupt_regions, 1U);
}

TEST(WriterTest, DoesNotWaitForTheDiskAndCountsLostEntries) {
  const TemporaryFolder folder;
  std::atomic<bool> is_disk_blocked = true;
  const std::string entry(8000, 'x');
  constexpr std::uint64_t kAppended = 2000;
  std::uint64_t lost_by_counts = 0;
  {
    Writer writer({folder.path.string()}, [&] {
      while (is_disk_blocked) std::this_thread::sleep_for(1ms);
    });
    for (std::uint64_t n = 0; n < kAppended; ++n) writer.append(Nanos(n), entry);
    EXPECT_GT(writer.counts().lost, 0U);
    is_disk_blocked = false;
    writer.stop();
    lost_by_counts = writer.counts().lost;
  }
  std::uint64_t stored = 0;
  std::uint64_t lost_by_headers = 0;
  for (const auto& file : list_files({folder.path.string()})) {
    for (const auto& header : find_blocks(read_file(file)).headers) {
      stored += header.entries;
      lost_by_headers += header.lost_before;
    }
  }
  EXPECT_GT(stored, 0U);
  EXPECT_EQ(stored + lost_by_counts, kAppended);
  // Losses after the last stored block are not stated in any block header.
  EXPECT_LE(lost_by_headers, lost_by_counts);
}

TEST(WriterTest, StoresNoMoreThanItsRetentionPolicyAllows) {
  const TemporaryFolder folder;
  constexpr std::uint64_t kMaxBytes = 400'000;
  std::mt19937 random(7);
  {
    Writer writer({folder.path.string(), kMaxBytes, 100'000, 1h});
    for (int n = 0; n < 4000; ++n) {
      std::string entry(500, ' ');
      for (auto& character : entry) character = static_cast<char>(random());
      writer.append(Nanos(n), entry);
      if (n % 100 == 0) std::this_thread::sleep_for(1ms);
    }
  }
  std::uint64_t bytes = 0;
  for (const auto& file : std::filesystem::directory_iterator(folder.path)) bytes += file.file_size();
  EXPECT_LE(bytes, kMaxBytes);
  EXPECT_GT(bytes, 200'000U);
}

}  // namespace
}  // namespace ospreypost::record
