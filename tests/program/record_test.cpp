// Records: what a death, a flipped byte or a slow disk leaves of them, and that they are played back exactly.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <atomic>
#include <fstream>
#include <random>
#include <thread>

#include "record.pb.h"
#include "record/reader.h"
#include "record/recording_controller.h"
#include "record/writer.h"
#include "replay/replay.h"
#include "support.h"

namespace ospreypost::record {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

using test::RegisteredEndpoint;

// Three blocks of one entry each.
std::string three_blocks() {
  auto text = encode_file_header();
  for (std::int64_t n = 1; n <= 3; ++n)
    text += encode_block({1, 0, Nanos(n), Nanos(n)}, std::string(200, static_cast<char>('a' + n)));
  return text;
}

std::vector<std::int64_t> found_in(const std::string& text, std::size_t& damaged) {
  BlockReader blocks(text);
  std::vector<std::int64_t> found;
  while (const auto block = blocks.next()) found.push_back(block->header.first.count());
  damaged = blocks.corrupt_stretches();
  return found;
}

// Cut anywhere: all whole blocks are there, and no other.
TEST(BlockReaderTest, AreReadUpToTheLastGoodOneOfATornFile) {
  const auto whole = three_blocks();
  const auto block = (whole.size() - encode_file_header().size()) / 3;
  for (std::size_t size = encode_file_header().size(); size <= whole.size(); ++size) {
    std::size_t damaged = 0;
    const auto found = found_in(whole.substr(0, size), damaged);
    EXPECT_EQ(found.size(), (size - encode_file_header().size()) / block);
    EXPECT_EQ(damaged, (size - encode_file_header().size()) % block == 0 ? 0U : 1U);
  }
}

// Flipped anywhere: that block is skipped, told, and the others are there.
TEST(BlockReaderTest, SkipWhatIsDamagedInTheMiddle) {
  const auto whole = three_blocks();
  const auto block = (whole.size() - encode_file_header().size()) / 3;
  for (std::size_t at = encode_file_header().size(); at < whole.size(); ++at) {
    auto flipped = whole;
    flipped[at] = static_cast<char>(flipped[at] ^ 0x10);
    std::size_t damaged = 0;
    auto expected = std::vector<std::int64_t>{1, 2, 3};
    expected.erase(expected.begin() +
                   static_cast<std::ptrdiff_t>((at - encode_file_header().size()) / block));
    EXPECT_EQ(found_in(flipped, damaged), expected) << at;
    EXPECT_EQ(damaged, 1U);
  }
}

TEST(BlockReaderTest, OfANewerSchemaAreRefusedPlainly) {
  auto text = three_blocks();
  text[6] = static_cast<char>(kSchemaVersion + 1);
  try {
    BlockReader blocks(text);
    FAIL();
  } catch (const net::Error& error) {
    EXPECT_STREQ(error.what(), "the record is of schema 3; this program reads up to 2");
  }
  EXPECT_THROW(BlockReader("<governor/>"), net::Error);
  std::size_t damaged = 0;
  EXPECT_TRUE(found_in("", damaged).empty());
  EXPECT_EQ(damaged, 1U);
}

TEST(Writer, NeverWaitsForTheDiskAndSaysWhatIsLost) {
  RegisteredEndpoint place;
  std::atomic<bool> stuck = true;
  const std::string entry(8000, 'x');
  constexpr std::uint64_t handed = 2000;
  std::uint64_t told = 0;
  {
    Writer writer({place.path.string()}, [&] {
      while (stuck) std::this_thread::sleep_for(1ms);
    });
    for (std::uint64_t n = 0; n < handed; ++n) writer.append(Nanos(n), entry);
    EXPECT_GT(writer.counts().lost, 0U);
    stuck = false;
    writer.stop();
    told = writer.counts().lost;
  }
  std::uint64_t kept = 0, lost = 0;
  for (const auto& file : record::list_files({place.path.string()})) {
    const auto text = read_file(file);
    BlockReader blocks(text);
    while (const auto block = blocks.next()) kept += block->header.entries, lost += block->header.lost;
  }
  EXPECT_GT(kept, 0U);
  EXPECT_EQ(kept + told, handed);
  // What was lost at the very end has no block after it.
  EXPECT_LE(lost, told);
}

TEST(Writer, KeepsNoMoreThanItMay) {
  RegisteredEndpoint place;
  std::mt19937 chance(7);
  {
    Writer writer({place.path.string(), 400'000, 100'000, 1h});
    for (int n = 0; n < 4000; ++n) {
      std::string entry(500, ' ');
      for (auto& c : entry) c = static_cast<char>(chance());
      writer.append(Nanos(n), entry);
      if (n % 100 == 0) std::this_thread::sleep_for(1ms);
    }
  }
  std::uint64_t bytes = 0;
  for (const auto& entry : fs::directory_iterator(place.path)) bytes += entry.file_size();
  EXPECT_LE(bytes, 400'000U);
  EXPECT_GT(bytes, 200'000U);
}

// --- Replay

class Nobody : public test::IgnoringHandler {
 public:
  using ActionHandler::handle;
  void handle(const StartTimer& action) override { armed.push_back(action.timer); }
  std::vector<TimerId> armed;
};

Settings settings() { return config::module_settings(test::small_config()); }

replay::Options exact() {
  replay::Options options;
  options.settings_of = [](const std::string&) { return std::pair(settings(), std::uint64_t{5}); };
  return options;
}

// Lists, sums, joins and timers in any order, late ones too; then the same again from the record.
RC_GTEST_PROP(Replay, OrdersTheSame, ()) {
  RegisteredEndpoint place;
  {
    Writer writer({place.path.string()});
    Nobody host;
    Nanos now = 1s;
    RecordingController tap(settings(), 5, now, host, &writer, "x");
    std::set<std::uint16_t> joined;
    for (int n = *rc::gen::inRange(1, 80); n > 0; --n) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
      const ReplicaId replica{*rc::gen::inRange<std::uint32_t>(0, 6)};
      const auto proxy = *rc::gen::inRange<std::uint16_t>(0, 3);
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          tap.on_endpoint_list(
              now, EndpointListKind::changes,
              {{replica,
                ZoneId{static_cast<std::uint16_t>(proxy % 2)},
                {},
                {},
                *rc::gen::element(EndpointPhase::ready, EndpointPhase::draining, EndpointPhase::gone),
                1,
                now}});
          break;
        case 1:
          if (joined.insert(proxy).second) {
            tap.on_proxy_joined(now, ProxyId{proxy}, ZoneId{static_cast<std::uint16_t>(proxy % 2)}, 10, true);
          } else {
            joined.erase(proxy);
            tap.on_proxy_left(now, ProxyId{proxy});
          }
          break;
        case 2:
          tap.on_replica_load_report(
              now, {ZoneId{0}, replica, 10, *rc::gen::inRange<std::uint32_t>(0, 10), 200ms, 1s, {}},
              {ProxyId{proxy}, 0ns});
          break;
        case 3:
          tap.on_demand_report(now, {ClassId{0}, 20, 2, 1s}, {ProxyId{proxy}, 0ns});
          break;
        default:
          if (host.armed.empty()) break;
          tap.on_timer(now, host.armed.back());
          host.armed.pop_back();
      }
    }
  }
  const auto files = record::list_files({place.path.string()});
  const auto outcome = replay::replay(files, exact());
  RC_ASSERT(outcome.is_identical());
  RC_ASSERT(outcome.incarnations == 1U);
  RC_ASSERT(outcome.skipped_events == 0U);
  RC_ASSERT(replay::replay(files, exact()).digest == outcome.digest);
}

// A record in which an order was another: the replay names it.
TEST(Replay, NamesTheFirstDifferenceAndStopsAtAGap) {
  RegisteredEndpoint place;
  const auto file = (place.path / "a.rec").string();
  kept::Block block;
  auto& begin = *block.add_entries();
  begin.set_at(1);
  begin.mutable_begin()->set_configuration("x");
  {
    Nobody host;
    Writer writer({(place.path / "w").string()});
    RecordingController tap(settings(), 5, Nanos(1), host, &writer, "x");
  }
  const auto recorded = read_file(record::list_files({(place.path / "w").string()}).front());
  BlockReader blocks(recorded);
  kept::Block whole;
  ASSERT_TRUE(whole.ParseFromString(blocks.next()->payload));
  whole.mutable_entries(0)->add_orders()->set_probe(77);
  const auto framed = [&](std::uint64_t lost) {
    return encode_block({1, lost, Nanos(1), Nanos(1)}, whole.SerializeAsString());
  };
  kept::Block after;
  after.add_entries()->set_at(2);
  after.mutable_entries(0)->set_list_failed(true);
  std::ofstream(file, std::ios::binary)
      << encode_file_header() << framed(0)
      << encode_block({1, 9, Nanos(2), Nanos(2)}, after.SerializeAsString());
  const auto outcome = replay::replay({file}, exact());
  EXPECT_EQ(outcome.differing_actions, 1U);
  ASSERT_TRUE(outcome.first_difference);
  EXPECT_EQ(outcome.first_difference->recorded, "probe: 77");
  EXPECT_EQ(outcome.first_difference->replayed, "");
  EXPECT_EQ(outcome.lost_entries, 9U);
  EXPECT_EQ(outcome.skipped_events, 1U);
}

}  // namespace
}  // namespace ospreypost::record
