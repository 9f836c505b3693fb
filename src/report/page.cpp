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

void write_file(const fs::path& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  if (!file.flush()) throw net::Error("cannot write " + path.string());
}

// Runs gnuplot on the script and writes its standard output to `picture`. The script stays in the folder, so
// that a user can change the plot and draw it again.
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
    throw net::Error("gnuplot failed to draw " + script.string() +
                     " (install Debian's package gnuplot-nox if gnuplot is missing)");
}

std::string decimal_text(double value) {
  char text[40];
  std::snprintf(text, sizeof(text), "%.3f", value);
  return text;
}

std::string bounded_cells(const simulation::BoundedFigure& bounds) {
  return "<td>" + decimal_text(bounds.figure) + "</td><td>" + decimal_text(bounds.least) + " to " +
         decimal_text(bounds.most) + "</td><td>" + decimal_text(bounds.spread) + "</td>";
}

std::string broken_rules(const simulation::Evaluation& evaluation) {
  std::string broken;
  for (const auto& rule : evaluation.rules) {
    if (rule.kept < rule.days)
      broken += (broken.empty() ? "" : "<br>") + escaped(rule.name) + ": broken on " +
                std::to_string(rule.days - rule.kept) + " of " + std::to_string(rule.days) + " days, " +
                escaped(rule.worst);
  }
  return broken.empty() ? "all kept" : broken;
}

std::string record_section(const PageData& data) {
  const auto& history = data.history;
  std::string text =
      "<h2>Recorded</h2>\n<p>" + decimal_text(std::chrono::duration<double>(history.length).count()) +
      " s, " + std::to_string(history.lives.size()) + " runs of a control plane instance, " +
      std::to_string(history.reports.size()) + " reports, " + std::to_string(history.replicas.size()) +
      " replicas. According to the reports, " + decimal_text(data.error.recorded) +
      " of the requests' priority weight was answered.</p>\n";
  if (history.lost + history.damaged > 0) {
    text += "<p><b>Partial:</b> " + std::to_string(history.lost) + " events were not kept and " +
            std::to_string(history.damaged) + " regions are corrupt; the model lacks them.</p>\n";
  }
  return text;
}

std::string model_error_section(const simulation::ModelError& error) {
  return "<h2>Error of the model</h2>\n<p>On the recorded configuration, over stretches "
         "of " +
         decimal_text(std::chrono::duration<double>(error.stretch).count()) +
         " s that were left out of its fit: " + decimal_text(error.modelled) + " answered, where " +
         decimal_text(error.recorded) + " was recorded; difference " + decimal_text(error.mean) +
         " in the mean, " + decimal_text(error.root_mean_square) + " root mean square, " +
         decimal_text(error.worst) + " at worst, over " + std::to_string(error.stretches) +
         " stretches.</p>\n";
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
  std::error_code error;
  fs::create_directories(folder, error);
  if (error) throw net::Error("cannot create the folder " + folder + ": " + error.message());
  std::string html =
      "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>How other configurations "
      "would "
      "have "
      "served the traffic</title>\n<style>body{font-family:sans-serif;max-width:960px;margin:2em "
      "auto;padding:0 1em}"
      "table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.3em .6em;text-align:left}"
      "img{max-width:100%}</style></head><body>\n<h1>How other configurations would have served the "
      "traffic</h1>\n";
  html += record_section(data) + model_error_section(data.error);
  html +=
      "<h2>Modelled, not measured</h2>\n<table><tr><th>configuration</th><th>service</th><th>bounds</th>"
      "<th>spread</th><th>worst 10 "
      "s</th><th>bounds</th><th>spread</th><th>messages</th><th>rules</th></tr>\n";
  for (const auto& evaluation : data.evaluations) {
    html += "<tr><td>" + escaped(evaluation.label) + "</td>" + bounded_cells(evaluation.service) +
            bounded_cells(evaluation.worst_window) + "<td>" +
            std::to_string(static_cast<long long>(evaluation.messages)) + "</td><td>" +
            broken_rules(evaluation) + "</td></tr>\n";
  }
  html += "</table>\n";
  for (const auto& plot : make_plots(data)) {
    const auto script = fs::path(folder) / (plot.name + ".gp");
    write_file(script, plot.script);
    run_gnuplot(script, fs::path(folder) / (plot.name + ".svg"));
    html += "<h3>" + escaped(plot.caption) + "</h3>\n<p><img src=\"" + plot.name + ".svg\" alt=\"" +
            escaped(plot.caption) + "\"></p>\n";
  }
  write_file(fs::path(folder) / "index.html", html + "</body></html>\n");
}

}  // namespace ospreypost::report
