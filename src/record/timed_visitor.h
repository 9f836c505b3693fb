/// A visitor that knows the time of each entry since the record's beginning.
#pragma once

#include <optional>

#include "record/reader.h"

namespace ospreypost::record {

/// Base of visitors that select entries by a `TimeWindow`. One that overrides `on_file` calls this one's
/// first.
class TimedVisitor : public RecordVisitor {
 public:
  void on_file(const FileHeader& header) override;

 protected:
  /// The time of an entry of the present file since the first entry of the record's first file.
  Nanos time_in_record(const kept::Entry& entry) const;

 private:
  FileHeader file_header_;
  std::optional<Nanos> record_began_;  // since 1970
};

}  // namespace ospreypost::record
