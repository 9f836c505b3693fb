// Reads the history of a fleet from records.
#include "replay/history.h"

#include <gtest/gtest.h>

#include <fstream>

#include "record.pb.h"
#include "record/reader.h"
#include "record_support.h"

namespace ospreypost::replay {
namespace {

using namespace std::chrono_literals;

using test::record_incarnation;
using test::replay_as_recorded;
using test::TemporaryFolder;

// Schema 1 stores neither the proxy nor the delay of a report.
void clear_fields_of_schema2(kept::Entry& entry) {
  if (entry.has_replica_summed()) {
    entry.mutable_replica_summed()->clear_proxy();
    entry.mutable_replica_summed()->clear_late();
  }
  if (entry.has_demand_summed()) entry.mutable_demand_summed()->clear_late();
}

// Appends the blocks of a file to `text` in the form of schema 1.
void append_blocks_of_schema1(const std::string& file, std::string& text) {
  const std::string recorded = record::read_file(file);
  record::BlockReader reader(recorded);
  while (const auto block = reader.next()) {
    kept::Block entries;
    ASSERT_TRUE(entries.ParseFromString(block->payload));
    for (auto& entry : *entries.mutable_entries()) clear_fields_of_schema2(entry);
    text += record::encode_block(block->header, entries.SerializeAsString());
  }
}

TEST(HistoryReaderTest, ReadsRecordsOfSchema1) {
  const TemporaryFolder folder;
  record_incarnation(folder.in("a"), 5s, {"x", "y"}, 3);
  std::string text("OSPREC\1\0", 8);
  for (const auto& file : record::list_files({folder.in("a")}))
    ASSERT_NO_FATAL_FAILURE(append_blocks_of_schema1(file, text));
  const auto path = folder.in("001796149725184-000000.rec");
  std::ofstream(path, std::ios::binary) << text;
  const auto result = replay_as_recorded(record::list_files({path}));
  EXPECT_TRUE(result.is_identical());
  EXPECT_EQ(result.skipped_events, 0U);
  const auto history = read_history({path});
  EXPECT_EQ(history.guessed, 6U);
  ASSERT_EQ(history.reports.size(), 3U);
  EXPECT_EQ(history.reports.front().replica_lines.size(), 2U);
}

TEST(HistoryReaderTest, IdentifiesReplicasByNameAcrossIncarnations) {
  const TemporaryFolder folder;
  record_incarnation(folder.in("a"), 5s, {"x", "y", "z"});
  record_incarnation(folder.in("a"), 500s, {"z", "x"});
  const auto history = read_history(record::list_files({folder.in("a")}));
  EXPECT_EQ(history.lives.size(), 2U);
  EXPECT_EQ(history.replicas, (std::vector<std::string>{"x", "y", "z"}));
  ASSERT_EQ(history.reports.size(), 16U);
  // Replica z is the first of the second incarnation, so 0 of the 9 attempts at z failed there.
  const auto& last = history.reports.back();
  ASSERT_EQ(last.replica_lines.size(), 2U);
  EXPECT_EQ(last.replica_lines[0].replica, ReplicaId{2});
  EXPECT_EQ(last.replica_lines[0].failed, 0U);
  EXPECT_EQ(last.replica_lines[1].replica, ReplicaId{0});
  EXPECT_EQ(last.demand_lines.size(), 2U);
  EXPECT_EQ(last.arrived - last.to, 8ms);
  EXPECT_GT(history.lives[1].from, history.lives[0].to - 1ns);
}

}  // namespace
}  // namespace ospreypost::replay
