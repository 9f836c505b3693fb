#include "files/render.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace ospreypost::files {
namespace {

using json = nlohmann::ordered_json;

constexpr double kWeightUnits = 1000;  // weight of the heaviest entry; both formats take whole numbers

std::uint32_t weight_units(double weight, double max_weight) {
  return static_cast<std::uint32_t>(std::max(1.0, std::round(weight / max_weight * kWeightUnits)));
}

double max_weight_of(const std::vector<Endpoint>& endpoints) {
  double max_weight = 1e-300;
  for (const auto& endpoint : endpoints) max_weight = std::max(max_weight, endpoint.weight);
  return max_weight;
}

}  // namespace

std::string render_envoy(const std::string& cluster, const std::vector<Endpoint>& endpoints,
                         const Terms& terms) {
  const double max_weight = max_weight_of(endpoints);
  // The weights of the table hold across zones, so all localities share one priority: with a second priority
  // a proxy would send nothing to other zones while its own zone is healthy, against the table.
  std::map<std::string, std::pair<std::uint32_t, json>> zones;
  for (const auto& endpoint : endpoints) {
    auto& [sum, lines] = zones[endpoint.zone];
    const auto weight = weight_units(endpoint.weight, max_weight);
    sum += weight;
    lines.push_back({{"endpoint",
                      {{"address",
                        {{"socket_address",
                          {{"address", endpoint.address.host}, {"port_value", endpoint.address.port}}}}},
                       {"hostname", endpoint.name}}},
                     {"load_balancing_weight", weight}});
  }
  json localities = json::array();
  for (auto& [zone, locality] : zones) {
    localities.push_back({{"locality", {{"zone", zone}}},
                          {"priority", 0},
                          {"load_balancing_weight", locality.first},
                          {"lb_endpoints", std::move(locality.second)}});
  }
  constexpr const char* type = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
  // The proxy itself drops the fraction of requests that the level does not admit.
  const auto dropped = static_cast<std::uint32_t>(std::lround((1 - terms.level) * 1e6));
  json policy = {{"drop_overloads", json::array()}};
  if (dropped > 0) {
    policy["drop_overloads"].push_back(
        {{"category", "level"}, {"drop_percentage", {{"numerator", dropped}, {"denominator", "MILLION"}}}});
  }
  const json response = {
      {"version_info", std::to_string(terms.version)},
      {"resources",
       json::array(
           {{{"@type", type}, {"cluster_name", cluster}, {"endpoints", localities}, {"policy", policy}}})}};
  return response.dump(1) + "\n";
}

std::string render_upstream(const std::string& name, const std::vector<Endpoint>& endpoints,
                            const Terms& terms) {
  const double max_weight = max_weight_of(endpoints);
  char level[32];
  std::snprintf(level, sizeof(level), "%.4f", terms.level);
  std::string text = "# version=" + std::to_string(terms.version) + " level=" + level +
                     " retry=" + terms.retry + "\nupstream " + name + " {\n";
  for (const auto& endpoint : endpoints) {
    text += "    server " + endpoint.address.text() +
            " weight=" + std::to_string(weight_units(endpoint.weight, max_weight)) + ";  # " + endpoint.name +
            "\n";
  }
  if (endpoints.empty()) text += "    server 127.0.0.1:1 down;  # nobody may be sent to\n";
  return text + "}\n";
}

}  // namespace ospreypost::files
