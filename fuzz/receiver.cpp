// Sends arbitrary requests to a receiver on loopback. The receiver must answer each request, keep serving,
// and write nothing outside its folder.
#include "files/receiver.h"

#include <cstdlib>
#include <filesystem>

namespace {

namespace fs = std::filesystem;
using namespace ospreypost;

struct TemporaryFolder {
  TemporaryFolder() {
    auto pattern = (fs::temp_directory_path() / "ospreypost-fuzz-XXXXXX").string();
    path = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { fs::remove_all(path); }
  fs::path path;
};

// Returns the text of a generation with a valid checksum and otherwise arbitrary content.
std::string make_generation(const std::string& bytes) {
  files::Generation generation;
  const auto part = [&](std::size_t n) { return bytes.substr(std::min(bytes.size(), n * 8), 8); };
  for (std::size_t n = 0; n < 8 && n < bytes.size(); ++n)
    generation.stamp.version += static_cast<unsigned char>(bytes[n]);
  generation.stamp.epoch = 1 + part(0).size() % 3;
  generation.owner = part(1);
  generation.names = {part(2)};
  generation.excluded = {part(3)};
  generation.files[part(4) + ".json"] = part(5);
  generation.files[part(6) + ".conf"] = bytes;
  return files::write_generation(generation);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const TemporaryFolder base_folder;
  static files::Receiver receiver({{"127.0.0.1", 0}, (base_folder.path / "tables").string(), 3, false, {}});
  if (size == 0) return 0;
  const std::string body(reinterpret_cast<const char*>(data) + 1, size - 1);
  http::Request request;
  std::string printable;
  for (const char c : body) printable += c > ' ' && c < 127 ? c : '.';
  switch (data[0] % 5) {
    case 0:
      request = {"PUT", "/generation", "", "", body, true};
      break;
    case 1:
      try {
        request = {"PUT", data[0] % 2 ? "/generation" : "/generation?recall", "", "", make_generation(body),
                   true};
      } catch (const std::exception&) {
        return 0;  // a generation can't be written if the bytes are not UTF-8
      }
      break;
    case 2:
      request.target = "/state" + printable;
      break;
    case 3:
      request = {"POST", "/rollback" + printable, "", "", "", true};
      break;
    default:
      request = {"POST", "/rollback?version=" + std::to_string(printable.size()), "", "", body, true};
  }
  const auto status = http::fetch(receiver.address(), request, http::kMaxStatusBytes,
                                  net::Steady::now() + std::chrono::seconds(5))
                          .status;
  if (status == 507) std::abort();
  for (const auto& entry : fs::directory_iterator(base_folder.path)) {
    if (entry.path().filename() != "tables") std::abort();
  }
  return 0;
}
