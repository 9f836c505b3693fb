// Plots as gnuplot scripts with their data in them. Pure text; who draws them is elsewhere.
#pragma once

#include <string>
#include <vector>

#include "simulation/answer.h"

namespace ospreypost::report {

// What a page is made of: recorded and modelled apart.
struct Material {
  const simulation::History& history;
  const simulation::ModelError& error;
  const std::vector<simulation::Answer>& answers;
};

struct Plot {
  std::string name;     // of its file, without its ending
  std::string caption;  // for the page
  std::string script;   // draws it to standard output as SVG
};

std::vector<Plot> plots_of(const Material& material);

// For a title within double quotes: what gnuplot would read as more than text is replaced.
std::string quoted(const std::string& text);

}  // namespace ospreypost::report
