// Plots as gnuplot scripts with their data in them. Pure text; who draws them is elsewhere.
#pragma once

#include <string>
#include <vector>

#include "simulation/evaluation.h"

namespace ospreypost::report {

// What a page is made of: recorded and modelled apart.
struct PageData {
  const simulation::History& history;
  const simulation::ModelError& error;
  const std::vector<simulation::Evaluation>& evaluations;
};

struct Plot {
  std::string name;     // of its file, without its ending
  std::string caption;  // for the page
  std::string script;   // draws it to standard output as SVG
};

std::vector<Plot> make_plots(const PageData& data);

// For a title within double quotes: what gnuplot would read as more than text is replaced.
std::string quoted(const std::string& text);

}  // namespace ospreypost::report
