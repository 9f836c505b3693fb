// Operations on existing records: listing files, cutting, merging, dumping and anonymising.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "net/socket.h"
#include "record.pb.h"
#include "record/dump.h"
#include "record/edit.h"
#include "record/reader.h"
#include "record/record_copier.h"
#include "record_support.h"
#include "replay/anonymise.h"
#include "replay/history.h"

namespace ospreypost::record {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

using test::find_blocks;
using test::FoundBlocks;
using test::record_incarnation;
using test::replay_as_recorded;
using test::TemporaryFolder;

// Writes a record that contains only a start entry, with a wall clock that is set ahead to the end of 2039.
// Returns the path of its file.
std::string record_start_years_ahead(const std::string& folder) {
  RecordCopier copier(folder);
  const Nanos years_ahead = std::chrono::hours(24 * 365 * 70);
  copier.begin_file({kSchemaVersion, years_ahead, 1s, 0});
  kept::Entry entry;
  entry.set_at(Nanos(1s).count());
  entry.mutable_begin()->set_configuration(test::small_config_text());
  copier.append(entry);
  copier.close();
  return list_files({folder}).front();
}

TEST(ListFilesTest, ReturnsFilesInOrderWithoutDuplicates) {
  const TemporaryFolder folder;
  record_incarnation(folder.in("a"), 5s, {"x", "y"});
  record_incarnation(folder.in("a"), 100s, {"y", "x"});
  const auto files = list_files({folder.in("a")});
  ASSERT_GT(files.size(), 1U);
  const auto digest = replay_as_recorded(files).digest;

  auto reversed = std::vector<std::string>(files.rbegin(), files.rend());
  EXPECT_EQ(list_files(reversed), files);

  // A copy under another name is recognised as the same file by its header and contents.
  fs::copy_file(files.front(), folder.in("zzz.rec"));
  reversed.push_back(folder.in("zzz.rec"));
  const auto without_copy = list_files(reversed);
  EXPECT_EQ(without_copy.size(), files.size());
  EXPECT_EQ(replay_as_recorded(without_copy).digest, digest);
}

TEST(ListFilesTest, KeepsTheOrderOfIncarnationsAfterTheClockWasSetBack) {
  const TemporaryFolder folder;
  fs::create_directories(folder.in("a"));
  const std::string ahead_file = record_start_years_ahead(folder.in("ahead"));
  fs::copy_file(ahead_file, fs::path(folder.in("a")) / fs::path(ahead_file).filename());
  record_incarnation(folder.in("a"), 5s, {"x"});
  const auto files = list_files({folder.in("a")});
  ASSERT_GE(files.size(), 2U);
  EXPECT_EQ(fs::path(files.front()).filename(), fs::path(ahead_file).filename());
}

// A full disk leaves empty files.
TEST(VisitRecordTest, CountsAnEmptyFileAsCorrupt) {
  const TemporaryFolder folder;
  record_incarnation(folder.in("a"), 5s, {"x"});
  const std::ofstream empty_file(folder.in("a") + "/002000000000000-000000.rec");
  const auto result = replay_as_recorded(list_files({folder.in("a")}));
  EXPECT_TRUE(result.is_identical());
  EXPECT_EQ(result.corrupt_regions, 1U);
  EXPECT_EQ(result.skipped_events, 0U);
}

// A flipped byte in the file header either causes an error, or all blocks are still found and a corrupt
// region is counted.
TEST(BlockReaderTest, RejectsOrCountsAFileHeaderWithAnyByteFlipped) {
  const TemporaryFolder folder;
  record_incarnation(folder.in("a"), 5s, {"x"}, 2);
  const std::string whole = read_file(list_files({folder.in("a")}).front());
  const FoundBlocks found = find_blocks(whole);
  ASSERT_EQ(found.corrupt_regions, 0U);
  std::size_t rejected = 0;
  for (std::size_t position = 0; position < encode_file_header().size(); ++position) {
    std::string flipped = whole;
    flipped[position] = static_cast<char>(flipped[position] ^ 0x40);
    try {
      const FoundBlocks found_in_flipped = find_blocks(flipped);
      EXPECT_EQ(found_in_flipped.entries(), found.entries()) << position;
      EXPECT_GE(found_in_flipped.corrupt_regions, 1U) << position;
    } catch (const net::Error&) {
      ++rejected;
    }
  }
  EXPECT_EQ(rejected, 8U);  // 6 bytes of the magic and 2 bytes of the schema
}

TEST(CutTest, KeepsABeginningThatReplays) {
  const TemporaryFolder folder;
  record_incarnation(folder.in("a"), 5s, {"x", "y"});
  const auto files = list_files({folder.in("a")});
  EXPECT_GT(cut(files, {0s, 4500ms}, folder.in("beginning")), 0U);
  const auto beginning_files = list_files({folder.in("beginning")});
  const auto result = replay_as_recorded(beginning_files);
  EXPECT_TRUE(result.is_identical());
  EXPECT_EQ(result.skipped_events, 0U);
  EXPECT_EQ(replay::read_history(beginning_files).reports.size(), 4U);
}

TEST(CutTest, KeepsFleetEntriesAndMarksMissingEntries) {
  const TemporaryFolder folder;
  record_incarnation(folder.in("a"), 5s, {"x", "y"});
  const auto files = list_files({folder.in("a")});
  cut(files, {4500ms, Nanos::max()}, folder.in("end"));
  const auto end_files = list_files({folder.in("end")});
  const auto result = replay_as_recorded(end_files);
  EXPECT_GT(result.lost_entries, 0U);
  EXPECT_GT(result.skipped_events, 0U);
  const auto history = replay::read_history(end_files);
  EXPECT_EQ(history.replicas.size(), 2U);
  EXPECT_EQ(history.memberships.size(), 1U);
  EXPECT_EQ(history.reports.size(), 4U);
}

TEST(CutTest, DoesNotOverwriteARecord) {
  const TemporaryFolder folder;
  record_incarnation(folder.in("a"), 5s, {"x", "y"});
  const auto files = list_files({folder.in("a")});
  cut(files, {4500ms, Nanos::max()}, folder.in("end"));
  EXPECT_THROW(cut(files, {}, folder.in("end")), net::Error);
}

TEST(MergeTest, CopiesSeveralFoldersIntoOne) {
  const TemporaryFolder folder;
  record_incarnation(folder.in("a"), 5s, {"x"});
  record_incarnation(folder.in("b"), 300s, {"x"});
  const auto files = list_files({folder.in("b"), folder.in("a"), folder.in("b")});
  merge(files, folder.in("both"));
  const auto separate_result = replay_as_recorded(files);
  const auto merged_result = replay_as_recorded(list_files({folder.in("both")}));
  EXPECT_EQ(merged_result.incarnations, 2U);
  EXPECT_EQ(merged_result.digest, separate_result.digest);
}

TEST(AnonymiseTest, ReplacesAllNamesAndChangesNoAction) {
  const TemporaryFolder folder;
  record_incarnation(folder.in("a"), 5s, {"east-1", "secret-unit"});
  record_incarnation(folder.in("a"), 300s, {"secret-unit"});
  const auto files = list_files({folder.in("a")});
  replay::anonymise(files, folder.in("anonymous"));
  const auto anonymous_files = list_files({folder.in("anonymous")});
  EXPECT_EQ(replay_as_recorded(anonymous_files).digest, replay_as_recorded(files).digest);
  std::string text;
  dump(anonymous_files, {}, false, [&](Nanos, const std::string& line) { text += line; });
  for (const char* name :
       {"secret-unit", "forwarder", "sign-job", "farm.example", R"(\"east\")", "127.0.0.1:7001"})
    EXPECT_EQ(text.find(name), std::string::npos) << name;
  // A name has the same pseudonym in all incarnations.
  const auto history = replay::read_history(anonymous_files);
  EXPECT_EQ(history.replicas, (std::vector<std::string>{"replica-1", "replica-2"}));
}

TEST(DumpTest, WritesOnlyEntriesWithinTheWindow) {
  const TemporaryFolder folder;
  record_incarnation(folder.in("a"), 5s, {"x", "y"}, 60);
  std::size_t lines = 0;
  Nanos first = Nanos::max();
  Nanos last{};
  dump(list_files({folder.in("a")}), {20s, 30s}, true, [&](Nanos time, const std::string& line) {
    ++lines;
    first = std::min(first, time);
    last = std::max(last, time);
    EXPECT_EQ(line.front(), '{');
  });
  EXPECT_GT(lines, 30U);
  EXPECT_GE(first, 20s);
  EXPECT_LE(last, 30s);
}

}  // namespace
}  // namespace ospreypost::record
