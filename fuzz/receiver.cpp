// A receiver on loopback, sent any request: it answers each, goes on, and leaves nothing outside its folder.
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

// Fits its checksum, whatever else is wrong with it.
std::string made_generation(const std::string& from) {
  files::Generation made;
  const auto part = [&](std::size_t n) { return from.substr(std::min(from.size(), n * 8), 8); };
  for (std::size_t n = 0; n < 8 && n < from.size(); ++n)
    made.stamp.version += static_cast<unsigned char>(from[n]);
  made.stamp.epoch = 1 + part(0).size() % 3;
  made.owner = part(1);
  made.names = {part(2)};
  made.excluded = {part(3)};
  made.files[part(4) + ".json"] = part(5);
  made.files[part(6) + ".conf"] = from;
  return files::write_generation(made);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const TemporaryFolder place;
  static files::Receiver receiver({{"127.0.0.1", 0}, (place.path / "tables").string(), 3, false, {}});
  if (size == 0) return 0;
  const std::string rest(reinterpret_cast<const char*>(data) + 1, size - 1);
  http::Request request;
  std::string plain;
  for (const char c : rest) plain += c > ' ' && c < 127 ? c : '.';
  switch (data[0] % 5) {
    case 0:
      request = {"PUT", "/generation", "", "", rest, true};
      break;
    case 1:
      try {
        request = {"PUT", data[0] % 2 ? "/generation" : "/generation?recall", "", "", made_generation(rest),
                   true};
      } catch (const std::exception&) {
        return 0;  // no UTF-8: it cannot be written
      }
      break;
    case 2:
      request.target = "/state" + plain;
      break;
    case 3:
      request = {"POST", "/rollback" + plain, "", "", "", true};
      break;
    default:
      request = {"POST", "/rollback?version=" + std::to_string(plain.size()), "", "", rest, true};
  }
  const auto status =
      http::fetch(receiver.address(), request, net::Steady::now() + std::chrono::seconds(5)).status;
  if (status == 507) std::abort();
  for (const auto& entry : fs::directory_iterator(place.path)) {
    if (entry.path().filename() != "tables") std::abort();
  }
  return 0;
}
