#include <csignal>
#include <iostream>

#include "cli/commands.h"
#include "cli/logging.h"
#include "config/config.h"
#include "control_plane/control_plane_server.h"

namespace ospreypost::cli {

int serve(const std::string& config_path) {
  const auto config = config::read_config(config_path);
  // Blocks the signals before any thread starts, so that only sigwait() below receives them.
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  // Ignores SIGXFSZ, so that a write beyond the file size limit fails with an error instead of ending the
  // process.
  std::signal(SIGXFSZ, SIG_IGN);

  const auto log = make_logger(config.logging, config.name);
  control_plane::ControlPlaneServer service(config, log);
  std::cout << "ready dns " << service.dns_address().text() << " reports " << service.http_address().text()
            << std::endl;
  int signal = 0;
  sigwait(&stop_signals, &signal);
  service.stop();
  return 0;
}

int check_config(const std::string& config_path) {
  const auto config = config::read_config(config_path);
  std::cout << config_path << ": good; governor " << config.name << ", " << config.zones.size() << " zones, "
            << config.classes.size() << " classes, " << config.proxies.known.size() << " proxies\n";
  return 0;
}

}  // namespace ospreypost::cli
