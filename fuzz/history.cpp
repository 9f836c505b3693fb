// Reads the entries of a forged record as a history, fits the model to the history and simulates the history.
// The input is a Block, as protobuf bytes or in protobuf text format.
#include "replay/history.h"

#include <google/protobuf/text_format.h>

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <stdexcept>

#include "program/support.h"
#include "record.pb.h"
#include "replay/export_scenario.h"
#include "simulation/simulated_run.h"
#include "terms/deployment.h"

namespace {

using namespace ospreypost;

// Maximum number of requests and maximum length of a history that is simulated. Limits the time per input.
constexpr std::uint64_t kMaxPlayedRequests = 3000;
constexpr Nanos kMaxPlayedLength = std::chrono::minutes(2);

std::optional<kept::Block> parse_block(const std::string& text) {
  kept::Block block;
  if (block.ParseFromString(text)) return block;
  if (google::protobuf::TextFormat::ParseFromString(text, &block)) return block;
  return std::nullopt;
}

replay::HistoryReader read_after_start(const kept::Block& block, const std::string& configuration) {
  replay::HistoryReader reader;
  kept::Entry start;
  start.set_at(1);
  start.mutable_begin()->set_configuration(configuration);
  reader.on_entry(start);
  for (const auto& entry : block.entries()) reader.on_entry(entry);
  return reader;
}

bool is_small(const simulation::History& history) {
  std::uint64_t requests = 0;
  for (const auto& report : history.reports) {
    for (const auto& demand : report.demand_lines) requests += demand.operations;
  }
  return requests <= kMaxPlayedRequests && history.length <= kMaxPlayedLength;
}

void fit_export_and_play(const simulation::History& history, const config::Config& config) {
  static const auto deployment = terms::deployment_of(config);
  const auto fleet = simulation::fit(history, deployment, simulation::Assumption::middle);
  for (const auto& replica : fleet.replicas) {
    // The comparisons are false for NaN, so that a NaN aborts too.
    const bool is_sound = replica.cores >= 1 && replica.slowness > 0;
    if (!is_sound) std::abort();
  }
  replay::export_scenario(history, deployment, fleet, config.kinds, "made", "g.xml");
  if (is_small(history)) simulation::simulate(history, deployment, fleet, 1);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const auto config = test::small_config();
  // Turns off protobuf's log: the text parser logs each input that cannot be parsed.
  static auto* const default_log_handler = google::protobuf::SetLogHandler(nullptr);
  static_cast<void>(default_log_handler);
  const auto block = parse_block(std::string(reinterpret_cast<const char*>(data), size));
  if (!block) return 0;
  // Reading must not throw for any entries.
  replay::HistoryReader reader = read_after_start(*block, config.text);
  try {
    fit_export_and_play(reader.finish({}), config);
  } catch (const std::invalid_argument&) {
    // The model throws std::invalid_argument for a history that cannot be fitted or simulated.
  } catch (const std::out_of_range&) {
    std::abort();
  }
  return 0;
}
