// Writes an HTML page with the figures and plots of an evaluation.
#pragma once

#include <string>

#include "report/plots.h"

namespace ospreypost::report {

// Writes `folder`/index.html, and the plots as SVG files in the same folder. Throws net::Error if a file
// cannot be written or gnuplot cannot be run.
void write_page(const std::string& folder, const PageData& data);

// Returns the text with the characters &, <, > and " escaped for HTML.
std::string escaped(const std::string& text);

}  // namespace ospreypost::report
