#include "report/plots.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace ospreypost::report {
namespace {

constexpr std::size_t kMaxReplicas = 12;  // per plot; the lines of more replicas are not distinguishable

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }

std::string decimal_text(double value) {
  char text[40];
  std::snprintf(text, sizeof(text), "%.4f", value);
  return text;
}

std::string plot_header(int height, const std::string& y_label) {
  return "set terminal svg noenhanced size 900," + std::to_string(height) +
         " font 'sans,12' background '#ffffff'\nset encoding utf8\nset key outside right\nset grid\n"
         "set xlabel 'seconds since the record began'\nset ylabel '" +
         y_label + "'\n";
}

// One line of a plot: its title, its data rows and its gnuplot style.
struct Line {
  std::string title, rows, style;
};
// Returns the gnuplot commands that draw the lines, with their data.
std::string draw_commands(const std::vector<Line>& lines) {
  std::string data_blocks, plot_command;
  for (std::size_t n = 0; n < lines.size(); ++n) {
    const auto name = "$data" + std::to_string(n);
    data_blocks += name + " << END_OF_DATA\n" + lines[n].rows + "END_OF_DATA\n";
    plot_command += (plot_command.empty() ? "plot " : ", ") + name + " using 1:2 with " + lines[n].style +
                    " title " + quoted(lines[n].title);
  }
  return data_blocks + plot_command + "\n";
}

std::string row(double x, double y) { return decimal_text(x) + " " + decimal_text(y) + "\n"; }

// Service over time, as means over five seconds. The figures of single seconds vary randomly.
Plot service_plot(const PageData& data) {
  constexpr std::size_t window_seconds = 5;
  std::vector<Line> lines;
  for (const auto& evaluation : data.evaluations) {
    std::string rows;
    const auto& by_second = evaluation.run.service;
    for (std::size_t n = 0; n + window_seconds <= by_second.size(); ++n) {
      const auto begin = by_second.begin() + static_cast<std::ptrdiff_t>(n);
      rows += row(static_cast<double>(n) + window_seconds / 2.0,
                  std::accumulate(begin, begin + window_seconds, 0.0) / window_seconds);
    }
    if (!rows.empty()) lines.push_back({evaluation.label, rows, "lines linewidth 2"});
  }
  return {"service",
          "Service, mean over five seconds, modelled: share of the requests' priority weight that was "
          "answered in time.",
          plot_header(360, "share of the priority weight") + "set yrange [0:1.02]\n" + draw_commands(lines)};
}

Plot bounds_plot(const PageData& data) {
  std::string rows;
  for (std::size_t n = 0; n < data.evaluations.size(); ++n) {
    const auto& evaluation = data.evaluations[n];
    rows += std::to_string(n) + " " + decimal_text(evaluation.service.figure) + " " +
            decimal_text(evaluation.service.least) + " " + decimal_text(evaluation.service.most) + " " +
            quoted(evaluation.label) + "\n";
  }
  return {
      "bounds",
      "Service over the whole run with its bounds, modelled: optimistic and pessimistic assumptions where "
      "the record leaves something open.",
      plot_header(320, "service") +
          "unset xlabel\nunset key\nset xrange [-0.5:" + std::to_string(data.evaluations.size()) +
          "-0.5]\nset yrange [0:1.02]\n$data << END_OF_DATA\n" + rows +
          "END_OF_DATA\nplot $data using 1:2:3:4:xticlabels(5) with yerrorbars pointtype 7 linewidth 2\n"};
}

Plot weights_plot(const PageData& data, std::size_t evaluation_index) {
  const auto& run = data.evaluations[evaluation_index].run;
  const auto count = data.history.replicas.size();
  std::vector<double> sums(count);
  for (const auto& shares : run.shares) {
    for (std::size_t n = 0; n < count; ++n) sums[n] += shares.by_replica[n];
  }
  std::vector<std::size_t> order(count);
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) { return sums[a] > sums[b]; });
  order.resize(std::min(count, kMaxReplicas));
  std::vector<Line> lines;
  for (const auto n : order) {
    std::string rows;
    for (const auto& shares : run.shares) rows += row(seconds(shares.at), shares.by_replica[n]);
    if (!rows.empty()) lines.push_back({data.history.replicas[n], rows, "steps linewidth 1.5"});
  }
  return {"weights-" + std::to_string(evaluation_index),
          "Share of the routing tables by replica (the " + std::to_string(order.size()) +
              " with the largest share), modelled: " + data.evaluations[evaluation_index].label + ".",
          plot_header(320, "share of all tables") + draw_commands(lines)};
}

Plot withdrawals_plot(const PageData& data) {
  std::vector<Line> lines;
  for (std::size_t k = 0; k < data.evaluations.size(); ++k) {
    std::string rows;
    for (const auto& withdrawal : data.evaluations[k].run.withdrawals) {
      if (withdrawal.out)
        rows += row(seconds(withdrawal.at),
                    static_cast<double>(withdrawal.replica) + 0.12 * static_cast<double>(k));
    }
    if (!rows.empty()) lines.push_back({data.evaluations[k].label, rows, "points pointtype 7 pointsize 0.6"});
  }
  const auto length = decimal_text(seconds(data.history.length));
  std::string tics;
  for (std::size_t n = 0; n < data.history.replicas.size() && n < 40; ++n)
    tics += (n > 0 ? ", " : "") + quoted(data.history.replicas[n]) + " " + std::to_string(n);
  if (lines.empty()) lines.push_back({"none", row(0, -1), "points"});
  return {"withdrawals", "Ejections of replicas from all routing tables, modelled.",
          plot_header(360, "") + "set xrange [0:" + length +
              "]\nset yrange [-0.5:" + std::to_string(data.history.replicas.size()) + "]\nset ytics (" +
              tics + ")\n" + draw_commands(lines)};
}

Plot delays_plot(const PageData& data) {
  std::string rows;
  for (const auto& report : data.history.reports)
    rows += row(seconds(report.arrived), seconds(report.arrived - report.to) * 1e3);
  if (rows.empty()) rows = row(0, 0);
  return {"delays", "Delay of each report beyond the shortest transit time of its proxy, recorded.",
          plot_header(280, "ms") + "unset key\n" +
              draw_commands({{"reports", rows, "points pointtype 7 pointsize 0.4"}})};
}

}  // namespace

std::string quoted(const std::string& text) {
  std::string safe = "\"";
  for (const char c : text) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       c == '-' || c == '.' || c == ' ' || c == '/';
    safe += plain ? c : '?';
  }
  return safe + "\"";
}

std::vector<Plot> make_plots(const PageData& data) {
  std::vector<Plot> plots = {bounds_plot(data), service_plot(data)};
  for (std::size_t n = 0; n < data.evaluations.size(); ++n) plots.push_back(weights_plot(data, n));
  plots.push_back(withdrawals_plot(data));
  plots.push_back(delays_plot(data));
  return plots;
}

}  // namespace ospreypost::report
