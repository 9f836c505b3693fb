// A page of figures and plots in a folder, for people.
#pragma once

#include <string>

#include "report/plots.h"

namespace ospreypost::report {

// FOLDER/index.html with its plots beside it. Throws net::Error if the folder cannot be written or gnuplot
// cannot be run.
void write_page(const std::string& folder, const PageData& data);

// Text for a page: nothing of it is read as a tag.
std::string escaped(const std::string& text);

}  // namespace ospreypost::report
