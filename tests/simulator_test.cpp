#include <gtest/gtest.h>
#include <unistd.h>

#include <cstring>
#include <limits>
#include <string>

#include "simulator/adapter.h"
#include "simulator/settings.h"

namespace ospreypost::test {
namespace {

const std::string kSettings =
    "classes.count=1\nclasses.0.effect=idempotent\nclasses.0.on-time-s=1.5\nclasses.0.deadline-s=5\n"
    "classes.0.worth=2\nclasses.0.only-zones=1\nazs=a,b\nzone=1\nmembership-mode=automatic\n"
    "allowed.may-probe=true\nreport.via=pull\nreport.columns=util\nfamily-info.admit=share\n"
    "family-info.selects-by=two\nfamily-info.ranges=0\nfamily-info.exclusive=false\n"
    "family-info.report-every-s=1\nfamily-info.transit-max-s=0.5\ncontract.ask-within-s=10\n"
    "contract.stop-sending-within-s=2\nfamily-info.bare-s=5\nfamily-info.channel-rate=1000\n"
    "family-info.most-waiting=2000\nfamily-info.head=6\nfamily-info.pushes-allowed=12\n"
    "family-info.counted-over-s=10\ncontract.cold-from=0.2\ncontract.cold-s=10\ncontract.tip-multiple=3\n"
    "contract.fall-s=2\nn-instances=1\nfamily-info.proxy-count=3\nsome.new-key=whatever\n";

// Builds a byte string from consecutive values.
struct Bytes {
  std::string text;
  template <typename T>
  Bytes& put(T value) {
    text.append(reinterpret_cast<const char*>(&value), sizeof(T));
    return *this;
  }
  Bytes& append(const std::string& bytes) {
    text += bytes;
    return *this;
  }
};

std::string record(std::uint16_t code, const Bytes& fields) {
  return Bytes{}.put(code).put(static_cast<std::uint32_t>(fields.text.size())).append(fields.text).text;
}

std::string batch(const std::string& records, double clock = 100) {
  return Bytes{}.put(static_cast<std::uint32_t>(12 + records.size())).put(clock).append(records).text;
}

std::string launch(const std::string& settings = kSettings) {
  Bytes fields;
  fields.put(std::uint64_t{9}).put(static_cast<std::uint32_t>(settings.size())).append(settings);
  return record(270, Bytes{}.put(std::uint32_t{3})) + record(266, fields);
}

std::string list(std::uint32_t count, std::uint8_t phase = 2, float weight = 1) {
  Bytes fields;
  fields.put(std::uint64_t{1}).put(std::uint8_t{2}).put(count);
  fields.put(std::uint32_t{77}).put(std::uint16_t{1}).put(std::uint16_t{0}).put(std::uint16_t{0});
  fields.put(phase).put(weight).put(double{0});
  return record(260, fields);
}

std::string answer(Adapter& adapter, const std::string& frame) {
  const auto reply = adapter.answer(std::as_bytes(std::span(frame)));
  return {reinterpret_cast<const char*>(reply.data()), reply.size()};
}

// Returns the message of the error that the frame causes; empty if it causes none.
std::string error_message(const std::string& frame) {
  Adapter adapter;
  try {
    answer(adapter, frame);
  } catch (const simulator::ProtocolError& error) {
    return error.what();
  }
  return "";
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST(Frames, AnEmptyBatchGetsAnEmptyReply) {
  Adapter adapter;
  EXPECT_EQ(answer(adapter, batch("")), Bytes{}.put(std::uint32_t{0}).put(std::uint32_t{8}).text);
}

TEST(Frames, ARestartWithinOneBatchStartsAFreshInstance) {
  Adapter adapter;
  const auto first = answer(adapter, batch(launch() + list(1)));
  const auto again = answer(
      adapter, batch(record(270, Bytes{}.put(std::uint32_t{3})) + record(265, {}) + launch() + list(1)));
  EXPECT_EQ(first, again);
  EXPECT_TRUE(contains(first, record(332, Bytes{}.put(std::uint32_t{3}))));
}

TEST(Frames, AnUnknownEventIsSkippedByItsLength) {
  Adapter adapter;
  const auto unknown_records = record(999, Bytes{}.append("anything")) + record(12, {});
  EXPECT_EQ(answer(adapter, batch(unknown_records + launch() + list(1))).size(),
            answer(adapter, batch(launch() + list(1))).size());
}

TEST(InvalidInput, IsRejectedWithAMessageThatNamesTheFault) {
  EXPECT_TRUE(contains(error_message(batch(launch() + list(2))), "list entries"));
  EXPECT_TRUE(contains(error_message(batch(launch() + list(1, 9))), "phase"));
  const float nan = std::numeric_limits<float>::quiet_NaN();
  EXPECT_TRUE(contains(error_message(batch(launch() + list(1, 2, nan))), "finite"));
  EXPECT_TRUE(contains(error_message(batch("", std::numeric_limits<double>::infinity())), "clock"));
  EXPECT_TRUE(contains(error_message(batch(list(1))), "no instance"));
  EXPECT_TRUE(contains(error_message(batch(launch("classes.count=x\n"))), "classes.count"));
  EXPECT_TRUE(contains(error_message(batch(launch("classes.count=1\n"))), "is missing"));
  const auto whole = batch(launch() + list(1));
  for (std::size_t cut = 12; cut < whole.size(); ++cut) {
    auto frame = whole.substr(0, cut);
    const auto size = static_cast<std::uint32_t>(frame.size());
    std::memcpy(frame.data(), &size, 4);
    const auto text = error_message(frame);
    const bool at_record_end = cut == 12 || cut == 22 || cut == 12 + launch().size();
    EXPECT_EQ(text.empty(), at_record_end) << cut << ": " << text;
  }
}

TEST(InvalidInput, EndWithinAFrameIsAnError) {
  const auto whole = batch(launch() + list(1));
  for (const std::size_t cut : {std::size_t{5}, whole.size() - 3}) {
    int in[2], out[2];
    ASSERT_TRUE(pipe(in) == 0 && pipe(out) == 0);
    ASSERT_EQ(write(in[1], whole.data(), cut), static_cast<ssize_t>(cut));
    close(in[1]);
    EXPECT_THROW(serve(in[0], out[1]), simulator::ProtocolError);
    for (const int fd : {in[0], out[0], out[1]}) close(fd);
  }
}

TEST(Settings, AreReadAndUnknownKeysIgnored) {
  const auto settings = simulator::parse_settings(kSettings);
  ASSERT_EQ(settings.classes.size(), 1u);
  EXPECT_EQ(settings.classes[0].latency_objective, std::chrono::milliseconds(1500));
  EXPECT_EQ(settings.classes[0].allowed_zones, std::vector<ZoneId>{ZoneId{1}});
  EXPECT_EQ(settings.picking, PickingPolicy::two);
  EXPECT_EQ(settings.zones, 2u);
}

}  // namespace
}  // namespace ospreypost::test
