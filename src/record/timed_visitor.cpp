#include "record/timed_visitor.h"

#include "record.pb.h"

namespace ospreypost::record {

void TimedVisitor::on_file(const FileHeader& header) {
  if (!record_begin_) record_begin_ = header.wall_time;
  file_header_ = header;
}

Nanos TimedVisitor::time_in_record(const kept::Entry& entry) const {
  return Nanos(entry.at()) - file_header_.clock_time + file_header_.wall_time - *record_begin_;
}

}  // namespace ospreypost::record
