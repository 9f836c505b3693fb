#include "report/plots.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace ospreypost::report {
namespace {

constexpr std::size_t kMostReplicas = 12;  // in one plot: more lines than that cannot be told apart

double seconds(Nanos time) { return std::chrono::duration<double>(time).count(); }

std::string number(double value) {
  char text[40];
  std::snprintf(text, sizeof(text), "%.4f", value);
  return text;
}

std::string head(int height, const std::string& y) {
  return "set terminal svg noenhanced size 900," + std::to_string(height) +
         " font 'sans,12' background '#ffffff'\nset encoding utf8\nset key outside right\nset grid\n"
         "set xlabel 'seconds since the record began'\nset ylabel '" +
         y + "'\n";
}

// A plot of lines, each of its own data.
struct Line {
  std::string title, rows, with;
};
std::string draw(const std::vector<Line>& lines) {
  std::string script, plot;
  for (std::size_t n = 0; n < lines.size(); ++n) {
    const auto name = "$data" + std::to_string(n);
    script += name + " << END_OF_DATA\n" + lines[n].rows + "END_OF_DATA\n";
    plot += (plot.empty() ? "plot " : ", ") + name + " using 1:2 with " + lines[n].with + " title " +
            quoted(lines[n].title);
  }
  return script + plot + "\n";
}

std::string row(double x, double y) { return number(x) + " " + number(y) + "\n"; }

// Means of five seconds: single ones jump with chance.
Plot service(const PageData& data) {
  constexpr std::size_t together = 5;
  std::vector<Line> lines;
  for (const auto& evaluation : data.evaluations) {
    std::string rows;
    const auto& by_second = evaluation.run.service;
    for (std::size_t n = 0; n + together <= by_second.size(); ++n) {
      const auto from = by_second.begin() + static_cast<std::ptrdiff_t>(n);
      rows += row(static_cast<double>(n) + together / 2.0,
                  std::accumulate(from, from + together, 0.0) / together);
    }
    if (!rows.empty()) lines.push_back({evaluation.label, rows, "lines linewidth 2"});
  }
  return {"service", "Service over five seconds, modelled: the worth answered in time, of that asked for.",
          head(360, "share of the worth") + "set yrange [0:1.02]\n" + draw(lines)};
}

Plot bounds(const PageData& data) {
  std::string rows;
  for (std::size_t n = 0; n < data.evaluations.size(); ++n) {
    const auto& evaluation = data.evaluations[n];
    rows += std::to_string(n) + " " + number(evaluation.service.figure) + " " +
            number(evaluation.service.least) + " " + number(evaluation.service.most) + " " +
            quoted(evaluation.label) + "\n";
  }
  return {
      "bounds",
      "Service of the whole day with its bounds, modelled: what the record cannot tell went well, or ill.",
      head(320, "service") +
          "unset xlabel\nunset key\nset xrange [-0.5:" + std::to_string(data.evaluations.size()) +
          "-0.5]\nset yrange [0:1.02]\n$data << END_OF_DATA\n" + rows +
          "END_OF_DATA\nplot $data using 1:2:3:4:xticlabels(5) with yerrorbars pointtype 7 linewidth 2\n"};
}

Plot weights(const PageData& data, std::size_t which) {
  const auto& day = data.evaluations[which].run;
  const auto count = data.history.replicas.size();
  std::vector<double> sums(count);
  for (const auto& shares : day.shares) {
    for (std::size_t n = 0; n < count; ++n) sums[n] += shares.by_replica[n];
  }
  std::vector<std::size_t> order(count);
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) { return sums[a] > sums[b]; });
  order.resize(std::min(count, kMostReplicas));
  std::vector<Line> lines;
  for (const auto n : order) {
    std::string rows;
    for (const auto& shares : day.shares) rows += row(seconds(shares.at), shares.by_replica[n]);
    if (!rows.empty()) lines.push_back({data.history.replicas[n], rows, "steps linewidth 1.5"});
  }
  return {"weights-" + std::to_string(which),
          "What may be picked, by replica (the " + std::to_string(order.size()) +
              " with most), modelled: " + data.evaluations[which].label + ".",
          head(320, "share of all tables") + draw(lines)};
}

Plot withdrawals(const PageData& data) {
  std::vector<Line> lines;
  for (std::size_t k = 0; k < data.evaluations.size(); ++k) {
    std::string rows;
    for (const auto& of : data.evaluations[k].run.withdrawals) {
      if (of.out)
        rows += row(seconds(of.at), static_cast<double>(of.replica) + 0.12 * static_cast<double>(k));
    }
    if (!rows.empty()) lines.push_back({data.evaluations[k].label, rows, "points pointtype 7 pointsize 0.6"});
  }
  const auto length = number(seconds(data.history.length));
  std::string tics;
  for (std::size_t n = 0; n < data.history.replicas.size() && n < 40; ++n)
    tics += (n > 0 ? ", " : "") + quoted(data.history.replicas[n]) + " " + std::to_string(n);
  if (lines.empty()) lines.push_back({"none", row(0, -1), "points"});
  return {"withdrawals", "Replicas withdrawn from every table, modelled.",
          head(360, "") + "set xrange [0:" + length + "]\nset yrange [-0.5:" +
              std::to_string(data.history.replicas.size()) + "]\nset ytics (" + tics + ")\n" + draw(lines)};
}

Plot delays(const PageData& data) {
  std::string rows;
  for (const auto& report : data.history.reports)
    rows += row(seconds(report.arrived), seconds(report.arrived - report.to) * 1e3);
  if (rows.empty()) rows = row(0, 0);
  return {"delays", "How much later than the shortest way of its proxy each report came, recorded.",
          head(280, "ms") + "unset key\n" + draw({{"reports", rows, "points pointtype 7 pointsize 0.4"}})};
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
  std::vector<Plot> plots = {bounds(data), service(data)};
  for (std::size_t n = 0; n < data.evaluations.size(); ++n) plots.push_back(weights(data, n));
  plots.push_back(withdrawals(data));
  plots.push_back(delays(data));
  return plots;
}

}  // namespace ospreypost::report
