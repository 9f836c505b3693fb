// Tests the HTML page with its plots. Names with quotes, markup or gnuplot commands must not be executed by
// gnuplot or rendered as HTML.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "report/page.h"

namespace ospreypost::report {
namespace {

using namespace std::chrono_literals;

TEST(Page, IsWrittenSafelyForArbitraryNames) {
  simulation::History history;
  history.length = 10s;
  history.lives = {{0s, 10s}};
  history.replicas = {"a\"; system \"touch pwned", "<b>&"};
  history.reports.push_back({ProxyId{0}, 1s, 2s, 2s + 30ms, {}, {}});
  simulation::ModelError error;
  simulation::Evaluation evaluation;
  evaluation.label = "x' END_OF_DATA <script>";
  evaluation.service = {0.5, 0.75, 1, 0.01};
  evaluation.rules = {{"no proxy bare", 1, 2, "longest 9 s"}};
  for (int n = 0; n < 10; ++n) {
    evaluation.run.service.push_back(0.9);
    evaluation.run.shares.push_back({n * 1s, {0.25, 0.75}});
  }
  evaluation.run.withdrawals.push_back({3s, ReplicaId{1}, true});
  auto pattern = (std::filesystem::temp_directory_path() / "ospreypost-page-XXXXXX").string();
  const std::filesystem::path folder = ::mkdtemp(pattern.data());
  write_page(folder.string(), {history, error, {evaluation}});
  std::ostringstream html;
  html << std::ifstream(folder / "index.html").rdbuf();
  EXPECT_EQ(html.str().find("<script"), std::string::npos);
  EXPECT_NE(html.str().find("broken on 1 of 2 days"), std::string::npos);
  for (const char* plot : {"bounds", "service", "weights-0", "withdrawals", "delays"}) {
    std::ostringstream svg;
    svg << std::ifstream(folder / (std::string(plot) + ".svg")).rdbuf();
    EXPECT_NE(svg.str().find("</svg>"), std::string::npos) << plot;
  }
  EXPECT_FALSE(std::filesystem::exists("pwned"));
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace ospreypost::report
