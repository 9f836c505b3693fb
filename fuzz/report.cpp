// Parses arbitrary bytes as the body of an OTLP load report and processes the report. Invalid values must not
// reach the listener.
#include <cstdlib>

#include "load_reports/load_report_processor.h"
#include "net/socket.h"
#include "program/support.h"

namespace {

using namespace ospreypost;

struct CheckingListener : load_reports::LoadReportListener {
  std::optional<ReplicaId> find_replica(std::string_view) const override { return ReplicaId{1}; }
  void on_replica_load_report(const ReplicaLoadReport& report, const record::Origin& origin) override {
    if (origin.late < Nanos{}) std::abort();
    if (report.failed > report.attempts || report.span <= Nanos{} || report.mean_latency < Nanos{})
      std::abort();
  }
  void on_demand_report(const DemandReport& demand, const record::Origin&) override {
    if (demand.span <= Nanos{}) std::abort();
  }
  void on_report(ProxyId) override {}
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const auto config = test::small_config();
  CheckingListener listener;
  load_reports::LoadReportProcessor processor(config, listener);
  try {
    processor.process(std::chrono::seconds(1000),
                      load_reports::parse_metrics({reinterpret_cast<const char*>(data), size}));
  } catch (const net::Error&) {
  }
  return 0;
}
