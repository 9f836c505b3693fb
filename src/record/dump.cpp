#include "record/dump.h"

#include <google/protobuf/util/json_util.h>

#include "record.pb.h"
#include "record/timed_visitor.h"

namespace ospreypost::record {
namespace {

class Dumper : public TimedVisitor {
 public:
  Dumper(const TimeWindow& window, bool json, const LineSink& write)
      : window_(window), json_(json), write_(write) {}

  void on_entry(const kept::Entry& entry) override {
    const Nanos time = time_in_record(entry);
    if (time < window_.from || time > window_.to) return;
    write_(time, text_of(entry));
  }
  void on_gap(std::uint64_t lost_entries) override {
    write_({}, "gap: " + std::to_string(lost_entries) + " entries missing");
  }

 private:
  std::string text_of(const kept::Entry& entry) const {
    if (!json_) return entry.ShortDebugString();
    std::string text;
    google::protobuf::util::MessageToJsonString(entry, &text);
    return text;
  }

  const TimeWindow& window_;
  const bool json_;
  const LineSink& write_;
};

}  // namespace

void dump(const std::vector<std::string>& files, const TimeWindow& window, bool json, const LineSink& write) {
  Dumper dumper(window, json, write);
  visit_record(files, window, dumper);
}

}  // namespace ospreypost::record
