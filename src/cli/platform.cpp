#include <malloc.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdlib>

#include "cli/commands.h"
#include "cli/logging.h"
#include "config/xml.h"
#include "platform/platform_server.h"

namespace ospreypost::cli {

int platform() {
  // Before any thread starts, so that none of them takes the signals, and none comes before there is an ear.
  sigset_t heeded;
  sigemptyset(&heeded);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&heeded, signal);
  pthread_sigmask(SIG_BLOCK, &heeded, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  // An arena for each thread would hold memory that the others lack; the limits are small.
  ::mallopt(M_ARENA_MAX, 1);

  const char* const path = std::getenv("ROUTER_CONFIG");
  if (!path) throw config::ConfigError("ROUTER_CONFIG is not set: it names the platform's configuration");
  const auto environment = ospreypost::platform::read_platform_config(path);
  const auto log = make_logger(config::Logging{}, environment.name);
  ospreypost::platform::PlatformServer service(environment, log);
  log->info("serving at {}", service.address().text());
  for (;;) {
    int signal = 0;
    sigwait(&heeded, &signal);
    if (signal != SIGHUP) break;
    try {
      service.reload(ospreypost::platform::read_platform_config(path));
    } catch (const std::exception& error) {
      log->error("the new configuration changes nothing: {}", error.what());
    }
  }
  service.stop();
  return 0;
}

}  // namespace ospreypost::cli
