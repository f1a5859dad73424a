#include "replay/report.h"

#include <unistd.h>

#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace badgergrade::replay {

namespace {

// Replaces quotes, backslashes and control characters, so that the text can stand in a quoted
// string of a gnuplot script.
std::string gnuplot_text(const std::string& text) {
    std::string out;
    for (const char c : text) {
        out += c == '"' || c == '\'' || c == '\\' || c == '`' || static_cast<unsigned char>(c) < 32
                   ? ' '
                   : c;
    }
    return out;
}

// For HTML text and attributes.
std::string escape_html(const std::string& text) {
    std::string out;
    for (const char c : text) {
        if (c == '<') {
            out += "&lt;";
        } else if (c == '>') {
            out += "&gt;";
        } else if (c == '&') {
            out += "&amp;";
        } else if (c == '"') {
            out += "&quot;";
        } else {
            out += c;
        }
    }
    return out;
}

// Writes a gnuplot data block with one line per second: the time, the service smoothed over five
// seconds and weighted by invocations, the applied lines, and the most queued lines.
void write_data(std::ostream& out, const char* name, const VariantResult& result) {
    const auto& by_second = result.first_replay.run.result["figures"]["by_second"];
    const auto& seconds = result.first_replay.seconds;
    const auto from = static_cast<std::size_t>(result.first_replay.from.count() / 1000000);
    out << name << " << EOD\n";
    for (std::size_t k = 0; k < by_second.size(); ++k) {
        double sum = 0;
        double count = 0;
        for (std::size_t j = k >= 2 ? k - 2 : 0; j <= k + 2 && j < by_second.size(); ++j) {
            const std::size_t at = from + j;
            const double weight =
                at < seconds.size() ? static_cast<double>(seconds[at].invocations) : 0;
            sum += weight * by_second[j].get<double>();
            count += weight;
        }
        const std::size_t at = from + k;
        if (at >= seconds.size()) {
            break;
        }
        out << at << " ";
        if (count > 0) {
            out << sum / count;
        } else {
            out << "NaN";
        }
        out << " " << seconds[at].applied_lines << " " << seconds[at].queued_lines << "\n";
    }
    out << "EOD\n";
}

// Shades the time of each fault. With `names`, labels the faults above the panel; labels that would
// overlap go to up to four rows. A permanent fault is only marked at its start.
void write_fault_shading(std::ostream& out, const RecordedRun& recorded, Micros from, Micros to,
                         bool names) {
    double row_end[4] = {-1e9, -1e9, -1e9, -1e9};
    const double width = to_seconds(to - from);
    for (const auto& fault : recorded.faults) {
        const double begin = std::max(to_seconds(from), to_seconds(fault.start));
        const double end = fault.duration.count() > 0
                               ? std::min(to_seconds(to), to_seconds(fault.start + fault.duration))
                               : begin + width / 200;
        if (end <= begin) {
            continue;
        }
        out << "set object rectangle from first " << begin << ", graph 0 to first " << end
            << ", graph 1 behind fillcolor rgb '#d9822b' fillstyle solid 0.13 noborder\n";
        if (!names) {
            continue;
        }
        const std::string text = gnuplot_text(fault.description);
        int row = 0;
        while (row < 3 && row_end[row] > begin) {
            ++row;
        }
        row_end[row] = begin + static_cast<double>(text.size() + 2) * width / 115;
        out << "set label '" << text << "' at first " << begin << ", graph " << 1.05 + 0.085 * row
            << " font ',10' textcolor rgb '#8a4b08'\n";
    }
}

}  // namespace

std::string plot_script(const RecordedRun& recorded, const Comparison& comparison,
                        const std::string& output) {
    const Micros from = comparison.a.first_replay.from;
    const Micros to = comparison.a.first_replay.to;
    std::ostringstream out;
    out << "set terminal svg size 1000,760 dynamic noenhanced font 'sans-serif,12' background rgb "
           "'white'\n";
    out << "set output '" << output << "'\n";
    write_data(out, "$A", comparison.a);
    write_data(out, "$B", comparison.b);
    out << "set multiplot\nset xrange [" << to_seconds(from) << ":" << to_seconds(to)
        << "]\nset lmargin 10\nset rmargin 3\nset grid ytics lc rgb '#dddddd'\n"
        << "set style line 1 lc rgb '#1f5fa8' lw 2\nset style line 2 lc rgb '#c0392b' lw 2 dt "
           "2\nset border 3\nset tics nomirror\n";
    const auto panel = [&](double bottom, double top, const char* label, int column,
                           const char* style, bool last) {
        out << "unset object\nunset label\n";
        write_fault_shading(out, recorded, from, to, column == 2);
        out << "set bmargin at screen " << bottom << "\nset tmargin at screen " << top << "\n";
        out << "set ylabel '" << label << "'\n"
            << (column == 2 ? "set yrange [*:1.005]\n" : "set yrange [0:*]\n");
        out << (last ? "set xlabel 'time, s'\nset format x '%g'\n"
                     : "unset xlabel\nset format x ''\n");
        out << (column == 2 ? "set key bottom right\n" : "unset key\n");
        out << "plot $A using 1:" << column << " with " << style
            << " ls 1 title 'A: " << gnuplot_text(comparison.a.variant.name)
            << "', $B using 1:" << column << " with " << style
            << " ls 2 title 'B: " << gnuplot_text(comparison.b.variant.name) << "'\n";
    };
    panel(0.52, 0.84, "service, over 5 s", 2, "lines", false);
    panel(0.30, 0.47, "applied lines", 3, "steps", false);
    panel(0.08, 0.25, "queued lines", 4, "steps", true);
    out << "unset multiplot\n";
    return out.str();
}

std::string draw_svg(const RecordedRun& recorded, const Comparison& comparison) {
    std::string path = (std::filesystem::temp_directory_path() / "badgergrade-XXXXXX").string();
    const int file = mkstemp(path.data());
    if (file < 0) {
        throw std::runtime_error("cannot create a temporary file for the plot");
    }
    close(file);

    struct Remove {
        const std::string& path;

        ~Remove() { std::remove(path.c_str()); }
    } remove{path};

    std::FILE* gnuplot = popen("gnuplot", "w");
    if (!gnuplot) {
        throw std::runtime_error("cannot run gnuplot, which draws the plot (package gnuplot-nox)");
    }
    const std::string script = plot_script(recorded, comparison, path);
    std::fwrite(script.data(), 1, script.size(), gnuplot);
    const int exit_status = pclose(gnuplot);
    std::ifstream in(path, std::ios::binary);
    std::ostringstream svg;
    svg << in.rdbuf();
    if (exit_status != 0 || svg.str().find("</svg>") == std::string::npos) {
        throw std::runtime_error(
            "gnuplot failed: expected an SVG file; is it installed (package gnuplot-nox)?");
    }
    return svg.str();
}

std::string html_page(const RecordedRun& recorded, const Comparison& comparison,
                      const std::string& svg) {
    std::ostringstream out;
    out << std::fixed;
    const auto format = [](double v, bool is_fraction) {
        std::ostringstream text;
        text.precision(is_fraction ? 4 : 0);
        text << std::fixed << v;
        return text.str();
    };
    out << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><meta "
           "name=\"viewport\" content=\"width=device-width\">\n<title>"
        << escape_html(recorded.header.made_by())
        << ": two variants</title>\n<style>\n"
           "body{font:16px/1.5 system-ui,sans-serif;color:#222;max-width:64rem;margin:2rem "
           "auto;padding:0 1rem}\n"
           "h1{font-size:1.5rem}h2{font-size:1.15rem;margin-top:2rem}\n"
           "table{border-collapse:collapse;width:100%}td,th{padding:.25rem "
           ".6rem;text-align:right;border-bottom:1px solid #e4e4e4}\n"
           "td:first-child,th:first-child{text-align:left}.better{color:#1a7f37}.worse{color:#"
           "b42318}\n"
           ".a{color:#1f5fa8;font-weight:600}.b{color:#c0392b;font-weight:600}.note{color:#555}\n"
           "svg{width:100%;height:auto}code{background:#f4f4f4;padding:0 "
           ".25rem}pre{background:#f7f7f7;padding:.8rem;white-space:pre-wrap}\n"
           "</style></head><body>\n";
    out << "<h1>" << escape_html(recorded.header.made_by()) << " in two variants</h1>\n<p>"
        << recorded.invocations << " invocations recorded, "
        << format(to_seconds(recorded.length), false) << " s, seed " << recorded.header.seed()
        << ". Service is the fraction of the billed value that was answered within the "
           "latency objective; an invocation counts once, from the client's first attempt.";
    if (recorded.record_counts.contains("results")) {
        out << " As recorded: <b>"
            << format(recorded.figures["whole_day"]["service"].get<double>(), true) << "</b>.";
    }
    for (const auto& note : recorded.header.notes()) {
        out << " (" << escape_html(note) << ")";
    }
    out << " The servers, proxies and clients of this replay are fakes; the control plane "
           "instances are the program itself.</p>\n";
    const auto add_variant = [&](const char* css_class, const VariantResult& s) {
        out << "<p><span class=\"" << css_class << "\">" << (css_class[0] == 'a' ? "A" : "B")
            << "</span>: <code>" << escape_html(s.variant.name) << "</code>, " << s.runs
            << " runs: "
            << (s.identical ? "the same to the byte" : "<b class=\"worse\">they differ</b>")
            << ".</p>\n";
    };
    add_variant("a", comparison.a);
    add_variant("b", comparison.b);
    const auto changed = changed_settings(comparison);
    if (!changed.empty()) {
        out << "<h2>Changed settings</h2>\n<ul>\n";
        for (const auto& text : changed) {
            out << "<li><code>" << escape_html(text) << "</code></li>\n";
        }
        out << "</ul>\n";
    }
    out << "<h2>Over time</h2>\n"
        << svg.substr(std::min(svg.size(), svg.find("<svg")))
        << "\n<p class=\"note\">Faults are shaded. Lines are entries of configuration messages; "
           "queued lines have not been sent to a proxy yet.</p>\n";
    out << "<h2>Figures</h2>\n<table><tr><th></th><th class=\"a\">A</th><th "
           "class=\"b\">B</th><th>B - A</th></tr>\n";
    for (const auto& figure : compare_figures(comparison)) {
        if (!figure.is_fraction && figure.a == 0 && figure.b == 0 &&
            figure.name.find("rule") == std::string::npos) {
            continue;
        }
        const double difference = figure.b - figure.a;
        const bool significant =
            figure.is_fraction ? std::abs(difference) >= 0.0005
                               : figure.name.find("rule") != std::string::npos && difference != 0;
        const char* css_class = !significant ? ""
                                : (figure.is_fraction ? difference > 0 : difference < 0)
                                    ? " class=\"better\""
                                    : " class=\"worse\"";
        out << "<tr><td>" << escape_html(figure.name) << "</td><td>"
            << format(figure.a, figure.is_fraction) << "</td><td>"
            << format(figure.b, figure.is_fraction) << "</td><td" << css_class << ">"
            << (difference > 0 ? "+" : "") << format(difference, figure.is_fraction)
            << "</td></tr>\n";
    }
    out << "</table>\n<h2>First differences</h2>\n<pre>";
    for (const auto& text : divergence_text(comparison)) {
        out << escape_html(text) << "\n";
    }
    out << "</pre>\n";
    for (const auto* s : {&comparison.a, &comparison.b}) {
        for (const auto& b : s->first_replay.run.violations) {
            out << "<p class=\"worse\">Rule <b>" << escape_html(b.rule) << "</b> violated under "
                << (s == &comparison.a ? "A" : "B") << ": " << escape_html(b.parties) << ": "
                << escape_html(b.description) << "</p>\n";
        }
    }
    out << "</body></html>\n";
    return out.str();
}

}  // namespace badgergrade::replay
