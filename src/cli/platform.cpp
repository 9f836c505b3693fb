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
  // Blocks the signals before any thread starts, so that only sigwait() below receives them. A signal
  // that arrives before sigwait() stays pending.
  sigset_t handled_signals;
  sigemptyset(&handled_signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&handled_signals, signal);
  pthread_sigmask(SIG_BLOCK, &handled_signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  // Uses one malloc arena: with an arena for each thread, free memory of one could not serve the others, and
  // the memory limit of the platform is small.
  ::mallopt(M_ARENA_MAX, 1);

  const char* const path = std::getenv("ROUTER_CONFIG");
  if (!path) throw config::ConfigError("ROUTER_CONFIG is not set: it names the platform's configuration");
  const auto environment = ospreypost::platform::read_platform_config(path);
  const auto log = make_logger(config::Logging{}, environment.name);
  ospreypost::platform::PlatformServer service(environment, log);
  log->info("serving at {}", service.address().text());
  for (;;) {
    int signal = 0;
    sigwait(&handled_signals, &signal);
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
