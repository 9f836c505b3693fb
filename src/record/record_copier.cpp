#include "record/record_copier.h"

#include <filesystem>
#include <utility>

#include "record.pb.h"
#include "record/file_name.h"
#include "record/output_folder.h"

namespace ospreypost::record {

RecordCopier::RecordCopier(std::string folder) : folder_(std::move(folder)) { create_output_folder(folder_); }

void RecordCopier::begin_file(const FileHeader& header) {
  close();
  file_header_ = header;
  file_header_.schema = kSchemaVersion;
}

void RecordCopier::append(const kept::Entry& entry) {
  const Nanos time(entry.at());
  if (block_header_.entries == 0) begin_block(time);
  // Lost entries are stated in a block header, so the entry after a gap begins a new block.
  if (lost_entries_ > 0) {
    close_block();
    begin_block(time);
  }
  kept::Block single;
  *single.add_entries() = entry;
  single.AppendToString(&block_payload_);
  ++block_header_.entries;
  block_header_.last = time;
  if (block_payload_.size() >= kTargetPayloadBytes) close_block();
}

void RecordCopier::begin_block(Nanos first) {
  block_header_ = {0, std::exchange(lost_entries_, 0), first, {}};
}

void RecordCopier::close_block() {
  if (block_header_.entries == 0) return;
  file_text_ += encode_block(block_header_, block_payload_);
  block_payload_.clear();
  block_header_ = {};
}

void RecordCopier::close() {
  close_block();
  if (file_text_.empty()) return;
  const std::string name = encode_file_name(file_header_.wall_time, file_header_.number);
  write_file(std::filesystem::path(folder_) / name,
             encode_file_header(file_header_) + std::exchange(file_text_, {}));
}

}  // namespace ospreypost::record
