/// @file
/// Renders a comparison of two variants as a plot (SVG, drawn by gnuplot) and as a self-contained
/// HTML page that includes the plot.
#pragma once

#include <string>

#include "replay/compare.h"

namespace badgergrade::replay {

/// The input for gnuplot, which writes to the file `output`: three panels over the time of the
/// scenario (service, applied lines, queued lines) with the faults shaded.
std::string plot_script(const RecordedRun& recorded, const Comparison& comparison,
                        const std::string& output);
/// Runs gnuplot and returns the SVG. Throws std::runtime_error if gnuplot cannot be run or fails.
std::string draw_svg(const RecordedRun& recorded, const Comparison& comparison);
/// `svg` is inserted as it is, without its XML header.
std::string html_page(const RecordedRun& recorded, const Comparison& comparison,
                      const std::string& svg);

}  // namespace badgergrade::replay
