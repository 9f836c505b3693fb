// Structured logging with spdlog: text or JSON lines, each with the name of the control plane instance.
#pragma once

#include <memory>
#include <string>

#include "config/config.h"

namespace spdlog {
class logger;
}

namespace ospreypost::cli {

// Throws spdlog::spdlog_ex if the log file cannot be opened.
std::shared_ptr<spdlog::logger> make_logger(const config::Logging& settings, const std::string& governor);

}  // namespace ospreypost::cli
