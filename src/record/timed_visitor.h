/// A visitor that computes the time of each entry since the beginning of the record.
#pragma once

#include <optional>

#include "record/reader.h"

namespace ospreypost::record {

/// Base class of visitors that select entries by a `TimeWindow`. A derived class that overrides `on_file`
/// must first call `TimedVisitor::on_file`.
class TimedVisitor : public RecordVisitor {
 public:
  void on_file(const FileHeader& header) override;

 protected:
  /// Returns the time of an entry of the current file, counted from the first entry of the first file.
  Nanos time_in_record(const kept::Entry& entry) const;

 private:
  FileHeader file_header_;
  std::optional<Nanos> record_begin_;  // wall time of the first entry of the first file, since 1970
};

}  // namespace ospreypost::record
