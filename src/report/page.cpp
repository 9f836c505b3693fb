#include "report/page.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

#include "net/socket.h"

extern char** environ;

namespace ospreypost::report {
namespace {

namespace fs = std::filesystem;

void put(const fs::path& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  if (!file.flush()) throw net::Error("cannot write " + path.string());
}

// gnuplot reads the script and writes the picture; both stay in the folder, for whoever wants to draw it
// anew.
void run_gnuplot(const fs::path& script, const fs::path& picture) {
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, picture.c_str(), O_WRONLY | O_CREAT | O_TRUNC,
                                     0644);
  auto path = script.string();
  char name[] = "gnuplot";
  char* arguments[] = {name, path.data(), nullptr};
  pid_t child = 0;
  const int failed = ::posix_spawnp(&child, name, &actions, nullptr, arguments, environ);
  ::posix_spawn_file_actions_destroy(&actions);
  int status = 0;
  if (failed != 0 || ::waitpid(child, &status, 0) != child || status != 0)
    throw net::Error("gnuplot could not draw " + script.string() + " (Debian's gnuplot-nox has it)");
}

std::string figure(double value) {
  char text[40];
  std::snprintf(text, sizeof(text), "%.3f", value);
  return text;
}

std::string bounded(const simulation::BoundedFigure& of) {
  return "<td>" + figure(of.figure) + "</td><td>" + figure(of.least) + " to " + figure(of.most) +
         "</td><td>" + figure(of.spread) + "</td>";
}

std::string rules(const simulation::Evaluation& evaluation) {
  std::string broken;
  for (const auto& rule : evaluation.rules) {
    if (rule.kept < rule.days)
      broken += (broken.empty() ? "" : "<br>") + escaped(rule.name) + ": broken on " +
                std::to_string(rule.days - rule.kept) + " of " + std::to_string(rule.days) + " days, " +
                escaped(rule.worst);
  }
  return broken.empty() ? "all kept" : broken;
}

std::string recorded(const PageData& data) {
  const auto& history = data.history;
  std::string text = "<h2>Recorded</h2>\n<p>" +
                     figure(std::chrono::duration<double>(history.length).count()) + " s, " +
                     std::to_string(history.lives.size()) + " lives of a governor, " +
                     std::to_string(history.reports.size()) + " reports, " +
                     std::to_string(history.replicas.size()) + " replicas. As the reports count, " +
                     figure(data.error.recorded) + " of the worth asked for was answered.</p>\n";
  if (history.lost + history.damaged > 0) {
    text += "<p><b>Partial:</b> " + std::to_string(history.lost) + " calls were not kept and " +
            std::to_string(history.damaged) + " stretches are damaged; the model lacks them.</p>\n";
  }
  return text;
}

std::string error(const simulation::ModelError& error) {
  return "<h2>How far the model is to be believed</h2>\n<p>On the recorded setting, asked about stretches "
         "of " +
         figure(std::chrono::duration<double>(error.stretch).count()) +
         " s that taught it nothing: " + figure(error.modelled) + " answered, where " +
         figure(error.recorded) + " was recorded; off by " + figure(error.mean) + " in the mean, " +
         figure(error.root_mean_square) + " root mean square, " + figure(error.worst) + " at worst, over " +
         std::to_string(error.stretches) + " stretches.</p>\n";
}

}  // namespace

std::string escaped(const std::string& text) {
  std::string safe;
  for (const char c : text) {
    if (c == '&')
      safe += "&amp;";
    else if (c == '<')
      safe += "&lt;";
    else if (c == '>')
      safe += "&gt;";
    else if (c == '"')
      safe += "&quot;";
    else
      safe += c;
  }
  return safe;
}

void write_page(const std::string& folder, const PageData& data) {
  std::error_code failed;
  fs::create_directories(folder, failed);
  if (failed) throw net::Error("the folder " + folder + ": " + failed.message());
  std::string html =
      "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>What other settings would "
      "have "
      "done</title>\n<style>body{font-family:sans-serif;max-width:960px;margin:2em auto;padding:0 1em}"
      "table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.3em .6em;text-align:left}"
      "img{max-width:100%}</style></head><body>\n<h1>What other settings would have done</h1>\n";
  html += recorded(data) + error(data.error);
  html +=
      "<h2>Modelled, not measured</h2>\n<table><tr><th>setting</th><th>service</th><th>bounds</th>"
      "<th>spread</th><th>worst 10 "
      "s</th><th>bounds</th><th>spread</th><th>messages</th><th>rules</th></tr>\n";
  for (const auto& evaluation : data.evaluations) {
    html += "<tr><td>" + escaped(evaluation.label) + "</td>" + bounded(evaluation.service) +
            bounded(evaluation.worst_window) + "<td>" +
            std::to_string(static_cast<long long>(evaluation.messages)) + "</td><td>" + rules(evaluation) +
            "</td></tr>\n";
  }
  html += "</table>\n";
  for (const auto& plot : make_plots(data)) {
    const auto script = fs::path(folder) / (plot.name + ".gp");
    put(script, plot.script);
    run_gnuplot(script, fs::path(folder) / (plot.name + ".svg"));
    html += "<h3>" + escaped(plot.caption) + "</h3>\n<p><img src=\"" + plot.name + ".svg\" alt=\"" +
            escaped(plot.caption) + "\"></p>\n";
  }
  put(fs::path(folder) / "index.html", html + "</body></html>\n");
}

}  // namespace ospreypost::report
