// Builds gnuplot scripts that contain their data. The scripts are only text here; report/page.h draws them.
#pragma once

#include <string>
#include <vector>

#include "simulation/evaluation.h"

namespace ospreypost::report {

// The content of a page. Recorded figures and modelled figures are kept apart.
struct PageData {
  const simulation::History& history;
  const simulation::ModelError& error;
  const std::vector<simulation::Evaluation>& evaluations;
};

struct Plot {
  std::string name;     // file name without extension
  std::string caption;  // text above the plot on the page
  std::string script;   // gnuplot commands that write the plot to standard output as SVG
};

std::vector<Plot> make_plots(const PageData& data);

// Returns the text in double quotes for a gnuplot title. Characters that gnuplot may interpret are replaced
// by '?'.
std::string quoted(const std::string& text);

}  // namespace ospreypost::report
