#include "terms/deployment.h"

#include "terms/limits.h"

namespace ospreypost::terms {

simulation::Deployment deployment_of(const config::Config& config) {
  simulation::Deployment deployment;
  deployment.settings = config::module_settings(config);
  deployment.seed = config.seed;
  deployment.classes = config.classes;
  deployment.zones = config.zones;
  for (const auto& proxy : config.proxies.known) {
    deployment.proxies.push_back(proxy.name);
    deployment.pushed.push_back(proxy.is_pushed_to());
  }
  deployment.lifetimes = config::client_limits(config);
  deployment.limits = limits_of(config);
  return deployment;
}

}  // namespace ospreypost::terms
