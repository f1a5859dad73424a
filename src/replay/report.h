// A comparison as pictures and as one page: SVG drawn by gnuplot, HTML that holds it and needs
// nothing else.
#pragma once

#include <string>

#include "replay/compare.h"

namespace badgergrade::replay {

// The input for gnuplot: three panels over the day (service, lines applied, lines waiting),
// troubles shaded.
std::string plot_script(const RecordedRun& recorded, const Comparison& comparison,
                        const std::string& output);
// Throws std::runtime_error where gnuplot can't be run or draws nothing.
std::string draw_svg(const RecordedRun& recorded, const Comparison& comparison);
std::string html_page(const RecordedRun& recorded, const Comparison& comparison,
                      const std::string& svg);

}  // namespace badgergrade::replay
