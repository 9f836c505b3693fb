#include <csignal>
#include <iostream>

#include "cli/commands.h"
#include "cli/logging.h"
#include "config/config.h"
#include "control_plane/control_plane_server.h"

namespace ospreypost::cli {

int serve(const std::string& config_path) {
  const auto config = config::read_config(config_path);
  // Before any thread starts, so that none of them takes the signal.
  sigset_t stopping;
  sigemptyset(&stopping);
  sigaddset(&stopping, SIGTERM);
  sigaddset(&stopping, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stopping, nullptr);
  // A file system at its limit is an error like any other; serving goes on.
  std::signal(SIGXFSZ, SIG_IGN);

  const auto log = make_logger(config.logging, config.name);
  control_plane::ControlPlaneServer service(config, log);
  std::cout << "ready dns " << service.dns_address().text() << " reports " << service.http_address().text()
            << std::endl;
  int signal = 0;
  sigwait(&stopping, &signal);
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
