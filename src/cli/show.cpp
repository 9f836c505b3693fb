#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

#include "cli/commands.h"
#include "http/http.h"

namespace ospreypost::cli {
namespace {

using json = nlohmann::ordered_json;

std::string cell(const json& value) {
  if (value.is_string()) return value.get<std::string>();
  return value.dump();
}

void print_aligned(const json& rows) {
  if (rows.empty()) {
    std::cout << "nothing yet\n";
    return;
  }
  std::vector<std::vector<std::string>> lines(1);
  for (const auto& [key, value] : rows.front().items()) lines.front().push_back(key);
  for (const auto& row : rows) {
    auto& line = lines.emplace_back();
    for (const auto& [key, value] : row.items()) line.push_back(cell(value));
  }
  std::vector<std::size_t> widths(lines.front().size());
  for (const auto& line : lines) {
    for (std::size_t n = 0; n < line.size(); ++n) widths[n] = std::max(widths[n], line[n].size());
  }
  for (const auto& line : lines) {
    for (std::size_t n = 0; n < line.size(); ++n)
      std::cout << line[n] << std::string(n + 1 < line.size() ? widths[n] - line[n].size() + 2 : 0, ' ');
    std::cout << '\n';
  }
}

}  // namespace

int show(const ShowOptions& options) {
  http::Request request;
  request.target = "/" + options.what;
  const auto deadline = net::Steady::now() + std::chrono::seconds(5);
  const auto answer = http::fetch(net::Address::parse(options.at), request, http::kMaxStatusBytes, deadline);
  if (answer.status != 200)
    throw net::Error("the governor answered with status " + std::to_string(answer.status));
  if (options.json) {
    std::cout << answer.body << '\n';
  } else {
    print_aligned(json::parse(answer.body));
  }
  return 0;
}

}  // namespace ospreypost::cli
