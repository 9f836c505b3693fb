// Entries as a forged record may hold them: read as a history, fitted and played, whatever they say. Taken as
// the bytes of a Block, or as its text.
#include "replay/history.h"

#include <google/protobuf/text_format.h>

#include <cstdlib>
#include <stdexcept>

#include "net/socket.h"
#include "program/support.h"
#include "record.pb.h"
#include "replay/export_scenario.h"
#include "simulation/simulated_day.h"
#include "terms/deployment.h"

namespace {

// What a fuzzer may spend on one input.
constexpr std::uint64_t kMostOperations = 3000;
constexpr ospreypost::Nanos kLongest = std::chrono::minutes(2);

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ospreypost;
  static const auto config = test::small_config();
  static const auto deployment = terms::deployment_of(config);
  static const bool quiet = (google::protobuf::SetLogHandler(nullptr), true);
  (void)quiet;
  const std::string text(reinterpret_cast<const char*>(data), size);
  kept::Block block;
  if (!block.ParseFromString(text) && !google::protobuf::TextFormat::ParseFromString(text, &block)) return 0;
  replay::HistoryReader reader;
  kept::Entry begin;
  begin.set_at(1);
  begin.mutable_begin()->set_configuration(config.text);
  reader.on_entry(begin);
  for (const auto& entry : block.entries()) reader.on_entry(entry);
  try {
    const auto history = reader.finish({});
    const auto fleet = simulation::fit(history, deployment, simulation::Assume::middle);
    for (const auto& replica : fleet.replicas) {
      if (!(replica.cores >= 1) || !(replica.slowness > 0)) std::abort();
    }
    replay::export_scenario(history, deployment, fleet, config.kinds, "made", "g.xml");
    std::uint64_t operations = 0;
    for (const auto& report : history.reports) {
      for (const auto& asked : report.asked) operations += asked.operations;
    }
    if (operations <= kMostOperations && history.length <= kLongest)
      simulation::play(history, deployment, fleet, 1);
  } catch (const std::invalid_argument&) {
  } catch (const std::out_of_range&) {
    std::abort();
  }
  return 0;
}
