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

// For gnuplot's quotes and its page.
std::string plain(const std::string& text) {
    std::string out;
    for (const char c : text) {
        out += c == '"' || c == '\'' || c == '\\' || c == '`' || static_cast<unsigned char>(c) < 32
                   ? ' '
                   : c;
    }
    return out;
}

std::string escaped(const std::string& text) {
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

// Second by second: the time, service smoothed over five seconds, lines applied, most lines
// waiting.
void data(std::ostream& out, const char* name, const VariantResult& setting) {
    const auto& by_second = setting.first_replay.run.result["figures"]["by_second"];
    const auto& seconds = setting.first_replay.seconds;
    const auto from = static_cast<std::size_t>(setting.first_replay.from.count() / 1000000);
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

// One shade a trouble, named above the first panel; names that would overlap go to further rows.
void shades(std::ostream& out, const RecordedRun& recorded, Micros from, Micros to, bool names) {
    double row_end[4] = {-1e9, -1e9, -1e9, -1e9};
    const double width = to_seconds(to - from);
    for (const auto& trouble : recorded.faults) {
        const double begin = std::max(to_seconds(from), to_seconds(trouble.start));
        const double end =
            trouble.duration.count() > 0
                ? std::min(to_seconds(to), to_seconds(trouble.start + trouble.duration))
                : begin + width / 200;
        if (end <= begin) {
            continue;
        }
        out << "set object rectangle from first " << begin << ", graph 0 to first " << end
            << ", graph 1 behind fillcolor rgb '#d9822b' fillstyle solid 0.13 noborder\n";
        if (!names) {
            continue;
        }
        const std::string text = plain(trouble.description);
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
    data(out, "$A", comparison.a);
    data(out, "$B", comparison.b);
    out << "set multiplot\nset xrange [" << to_seconds(from) << ":" << to_seconds(to)
        << "]\nset lmargin 10\nset rmargin 3\nset grid ytics lc rgb '#dddddd'\n"
        << "set style line 1 lc rgb '#1f5fa8' lw 2\nset style line 2 lc rgb '#c0392b' lw 2 dt "
           "2\nset border 3\nset tics nomirror\n";
    const auto panel = [&](double bottom, double top, const char* label, int column,
                           const char* style, bool last) {
        out << "unset object\nunset label\n";
        shades(out, recorded, from, to, column == 2);
        out << "set bmargin at screen " << bottom << "\nset tmargin at screen " << top << "\n";
        out << "set ylabel '" << label << "'\n"
            << (column == 2 ? "set yrange [*:1.005]\n" : "set yrange [0:*]\n");
        out << (last ? "set xlabel 'seconds of the day'\nset format x '%g'\n"
                     : "unset xlabel\nset format x ''\n");
        out << (column == 2 ? "set key bottom right\n" : "unset key\n");
        out << "plot $A using 1:" << column << " with " << style
            << " ls 1 title 'A: " << plain(comparison.a.variant.name) << "', $B using 1:" << column
            << " with " << style << " ls 2 title 'B: " << plain(comparison.b.variant.name) << "'\n";
    };
    panel(0.52, 0.84, "service, over 5 s", 2, "lines", false);
    panel(0.30, 0.47, "lines applied", 3, "steps", false);
    panel(0.08, 0.25, "lines waiting", 4, "steps", true);
    out << "unset multiplot\n";
    return out.str();
}

std::string draw_svg(const RecordedRun& recorded, const Comparison& comparison) {
    std::string path = (std::filesystem::temp_directory_path() / "badgergrade-XXXXXX").string();
    const int made = mkstemp(path.data());
    if (made < 0) {
        throw std::runtime_error("no temporary file can be made for the picture");
    }
    close(made);

    struct Remove {
        const std::string& path;

        ~Remove() { std::remove(path.c_str()); }
    } remove{path};

    std::FILE* gnuplot = popen("gnuplot", "w");
    if (!gnuplot) {
        throw std::runtime_error(
            "gnuplot can't be run; it draws the pictures (package gnuplot-nox)");
    }
    const std::string script = plot_script(recorded, comparison, path);
    std::fwrite(script.data(), 1, script.size(), gnuplot);
    const int code = pclose(gnuplot);
    std::ifstream in(path, std::ios::binary);
    std::ostringstream svg;
    svg << in.rdbuf();
    if (code != 0 || svg.str().find("</svg>") == std::string::npos) {
        throw std::runtime_error(
            "gnuplot drew no picture; it must be installed (package gnuplot-nox)");
    }
    return svg.str();
}

std::string html_page(const RecordedRun& recorded, const Comparison& comparison,
                      const std::string& svg) {
    std::ostringstream out;
    out << std::fixed;
    const auto digits = [](double v, bool part) {
        std::ostringstream text;
        text.precision(part ? 4 : 0);
        text << std::fixed << v;
        return text.str();
    };
    out << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><meta "
           "name=\"viewport\" content=\"width=device-width\">\n<title>"
        << escaped(recorded.header.made_by())
        << ": two settings</title>\n<style>\n"
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
    out << "<h1>" << escaped(recorded.header.made_by()) << " under two settings</h1>\n<p>"
        << recorded.invocations << " invocations recorded, "
        << digits(to_seconds(recorded.length), false) << " s, seed " << recorded.header.seed()
        << ". Service is the billed value answered within the latency objective, "
           "by part of that asked for; a retry counts with its first try.";
    if (recorded.record_counts.contains("results")) {
        out << " As recorded: <b>"
            << digits(recorded.figures["whole_day"]["service"].get<double>(), true) << "</b>.";
    }
    for (const auto& note : recorded.header.notes()) {
        out << " (" << escaped(note) << ")";
    }
    out << " The workers, forwarders and clients of this replay are stand-ins; the governors are "
           "the program's own.</p>\n";
    const auto setting = [&](const char* which, const VariantResult& s) {
        out << "<p><span class=\"" << which << "\">" << (which[0] == 'a' ? "A" : "B")
            << "</span>: <code>" << escaped(s.variant.name) << "</code>, " << s.runs << " runs: "
            << (s.identical ? "the same to the byte" : "<b class=\"worse\">they differ</b>")
            << ".</p>\n";
    };
    setting("a", comparison.a);
    setting("b", comparison.b);
    const auto changed = changed_settings(comparison);
    if (!changed.empty()) {
        out << "<h2>What was changed</h2>\n<ul>\n";
        for (const auto& text : changed) {
            out << "<li><code>" << escaped(text) << "</code></li>\n";
        }
        out << "</ul>\n";
    }
    out << "<h2>Over the day</h2>\n"
        << svg.substr(std::min(svg.size(), svg.find("<svg")))
        << "\n<p class=\"note\">Troubles are shaded. Lines are what governors order; "
           "those that wait have not left the channel yet.</p>\n";
    out << "<h2>Difference</h2>\n<table><tr><th></th><th class=\"a\">A</th><th "
           "class=\"b\">B</th><th>B - A</th></tr>\n";
    for (const auto& one : compare_figures(comparison)) {
        if (!one.is_fraction && one.a == 0 && one.b == 0 &&
            one.name.find("rule") == std::string::npos) {
            continue;
        }
        const double by = one.b - one.a;
        const bool says = one.is_fraction ? std::abs(by) >= 0.0005
                                          : one.name.find("rule") != std::string::npos && by != 0;
        const char* mood = !says                                 ? ""
                           : (one.is_fraction ? by > 0 : by < 0) ? " class=\"better\""
                                                                 : " class=\"worse\"";
        out << "<tr><td>" << escaped(one.name) << "</td><td>" << digits(one.a, one.is_fraction)
            << "</td><td>" << digits(one.b, one.is_fraction) << "</td><td" << mood << ">"
            << (by > 0 ? "+" : "") << digits(by, one.is_fraction) << "</td></tr>\n";
    }
    out << "</table>\n<h2>Where they part</h2>\n<pre>";
    for (const auto& text : divergence_text(comparison)) {
        out << escaped(text) << "\n";
    }
    out << "</pre>\n";
    for (const auto* s : {&comparison.a, &comparison.b}) {
        for (const auto& b : s->first_replay.run.breaks) {
            out << "<p class=\"worse\">Rule <b>" << escaped(b.rule) << "</b> broken under "
                << (s == &comparison.a ? "A" : "B") << ": " << escaped(b.parties) << ": "
                << escaped(b.what) << "</p>\n";
        }
    }
    out << "</body></html>\n";
    return out.str();
}

}  // namespace badgergrade::replay
