#include "cli/logging.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

namespace ospreypost::cli {
namespace {

// Writes the message as a JSON string, so that no character of the message breaks the JSON line.
class Quoted : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message, const std::tm&, spdlog::memory_buf_t& to) override {
    const auto text = nlohmann::json(std::string(message.payload.begin(), message.payload.end()))
                          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    to.append(text.data(), text.data() + text.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override { return std::make_unique<Quoted>(); }
};

}  // namespace

std::shared_ptr<spdlog::logger> make_logger(const config::Logging& settings, const std::string& governor) {
  spdlog::sink_ptr sink;
  if (settings.path.empty()) {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  } else {
    sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(settings.path);
  }
  auto log = std::make_shared<spdlog::logger>(governor, sink);
  log->set_level(spdlog::level::from_str(settings.level));
  auto formatter = std::make_unique<spdlog::pattern_formatter>();
  if (settings.json) {
    formatter->add_flag<Quoted>('*').set_pattern(
        R"({"at":"%Y-%m-%dT%H:%M:%S.%f%z","level":"%l","governor":"%n","message":%*})");
  } else {
    formatter->set_pattern("%Y-%m-%d %H:%M:%S.%e %n %l %v");
  }
  log->set_formatter(std::move(formatter));
  log->flush_on(spdlog::level::info);
  return log;
}

}  // namespace ospreypost::cli
