#include "config/ini.h"

#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace badgergrade::config {
namespace {

/// The INI library (inih) reads lines of up to 200 bytes.
constexpr std::size_t kMaxLineBytes = 190;
/// Keeps integers within the range of int.
constexpr double kMaxInteger = 2e9;
/// Larger integers are not exact as a double.
constexpr double kMaxTimeUs = 9e15;

std::string trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return std::string(text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1));
}

/// The state that the callbacks of inih share.
struct ParseState {
    const std::string* text = nullptr;
    std::size_t offset = 0;  ///< offset of the next line, in bytes
    int line = 0;            ///< number of the current line, counted from 1
    std::string file;
    std::vector<IniEntry>* entries = nullptr;
    std::vector<ConfigError>* errors = nullptr;
};

/// Callback of inih: copies the next line to `to`; null at the end of the text.
char* next_line(char* to, int size, void* user) {
    auto& state = *static_cast<ParseState*>(user);
    if (state.offset >= state.text->size()) {
        return nullptr;
    }
    const auto end = state.text->find('\n', state.offset);
    std::string line =
        state.text->substr(state.offset, end == std::string::npos ? end : end - state.offset);
    state.offset = end == std::string::npos ? state.text->size() : end + 1;
    ++state.line;
    // inih would silently truncate a line that is too long or contains a zero byte.
    if (line.size() > kMaxLineBytes || line.find('\0') != std::string::npos) {
        state.errors->push_back(
            {state.file, state.line, "",
             line.size() > kMaxLineBytes
                 ? "expected at most 190 bytes in a line, got " + std::to_string(line.size())
                 : "the line contains a zero byte"});
        line.clear();
    }
    // inih treats an indented line as the continuation of the previous value, which would hide a
    // missing key: indentation is removed.
    line = trimmed(line);
    line += '\n';
    const std::size_t n = std::min(line.size(), static_cast<std::size_t>(size) - 1);
    std::memcpy(to, line.data(), n);
    to[n] = '\0';
    return to;
}

/// Callback of inih: stores an entry. Returns 1 to continue.
int add_entry(void* user, const char* section, const char* key, const char* value) {
    auto& state = *static_cast<ParseState*>(user);
    if (!key || !value) {
        return 1;
    }
    state.entries->push_back({section, key, value, state.line});
    return 1;
}

/// Returns the Levenshtein distance.
std::size_t edit_distance(const std::string& a, const std::string& b) {
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) {
        row[j] = j;
    }
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= b.size(); ++j) {
            diagonal = std::exchange(
                row[j], std::min({row[j] + 1, row[j - 1] + 1, diagonal + (a[i - 1] != b[j - 1])}));
        }
    }
    return row[b.size()];
}

std::string joined(const std::vector<std::string>& words) {
    std::string out;
    for (const auto& word : words) {
        out += (out.empty() ? "" : ", ") + word;
    }
    return out;
}

std::string time_text(Micros time) {
    const auto n = time.count();
    if (n % 1000000 == 0) {
        return std::to_string(n / 1000000) + " s";
    }
    if (n % 1000 == 0) {
        return std::to_string(n / 1000) + " ms";
    }
    return std::to_string(n) + " us";
}

/// Returns the microseconds in a unit of time, or 0 for an unknown unit.
double microseconds_in(const std::string& unit) {
    if (unit == "us") {
        return 1;
    }
    if (unit == "ms") {
        return 1e3;
    }
    if (unit == "s") {
        return 1e6;
    }
    if (unit == "min") {
        return 60e6;
    }
    if (unit == "h") {
        return 3600e6;
    }
    return 0;
}

}  // namespace

std::string to_text(const ConfigError& error) {
    std::string out = error.file;
    if (error.line > 0) {
        out += ":" + std::to_string(error.line);
    }
    out += ": ";
    if (!error.key.empty()) {
        out += error.key + ": ";
    }
    return out + error.text;
}

IniFile IniFile::parse(const std::string& name, const std::string& text,
                       std::vector<ConfigError>& errors) {
    IniFile file;
    file.name_ = name;
    ParseState state;
    state.text = &text;
    state.file = name;
    state.entries = &file.entries_;
    state.errors = &errors;
    const int error_line = ini_parse_stream(next_line, &state, add_entry, &state);
    if (error_line > 0) {
        errors.push_back(
            {name, error_line, "", "expected [section], key = value or a comment (; or #)"});
    }
    std::map<std::pair<std::string, std::string>, int> first_lines;
    for (const IniEntry& entry : file.entries_) {
        const auto [it, is_first] = first_lines.try_emplace({entry.section, entry.key}, entry.line);
        if (!is_first) {
            errors.push_back({name, entry.line, "[" + entry.section + "] " + entry.key,
                              "is already set in line " + std::to_string(it->second)});
        }
    }
    return file;
}

IniFile IniFile::load(const std::string& path, std::vector<ConfigError>& errors) {
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        throw std::runtime_error(path + ": cannot open the file: " + std::strerror(errno));
    }
    std::ostringstream text;
    text << in.rdbuf();
    if (in.bad() || text.fail()) {
        throw std::runtime_error(path + ": input error while reading the file");
    }
    return parse(path, text.str(), errors);
}

void IniFile::set(const std::string& section, const std::string& key, const std::string& value) {
    for (IniEntry& entry : entries_) {
        if (entry.section == section && entry.key == key) {
            entry.value = value;
            return;
        }
    }
    entries_.push_back({section, key, value, 0});
}

std::string IniFile::to_text() const {
    std::vector<std::string> sections;
    for (const IniEntry& entry : entries_) {
        if (std::find(sections.begin(), sections.end(), entry.section) == sections.end()) {
            sections.push_back(entry.section);
        }
    }
    std::string out;
    for (const auto& section : sections) {
        out += (out.empty() ? "[" : "\n[") + section + "]\n";
        for (const IniEntry& entry : entries_) {
            if (entry.section == section) {
                out += entry.key + " = " + entry.value + "\n";
            }
        }
    }
    return out;
}

IniReader::IniReader(const IniFile& file, std::vector<ConfigError>& errors)
    : file_(file),
      errors_(errors) {
    for (const IniEntry& entry : file.entries()) {
        entry_by_key_.try_emplace({entry.section, entry.key}, &entry);
    }
}

const IniEntry* IniReader::find(const std::string& section, const std::string& key) {
    known_keys_.insert({section, key});
    const auto it = entry_by_key_.find({section, key});
    return it == entry_by_key_.end() ? nullptr : it->second;
}

bool IniReader::has(const std::string& section, const std::string& key) const {
    return entry_by_key_.contains({section, key});
}

std::vector<std::string> IniReader::sections_with_prefix(const std::string& prefix) const {
    std::vector<std::string> out;
    for (const IniEntry& entry : file_.entries()) {
        if (entry.section.rfind(prefix, 0) == 0 &&
            std::find(out.begin(), out.end(), entry.section) == out.end()) {
            out.push_back(entry.section);
        }
    }
    return out;
}

void IniReader::add_error(const std::string& section, const std::string& key,
                          const std::string& text) {
    const auto it = entry_by_key_.find({section, key});
    errors_.push_back({file_.name(), it == entry_by_key_.end() ? 0 : it->second->line,
                       "[" + section + "]" + (key.empty() ? "" : " " + key), text});
}

void IniReader::require(const std::string& section, const std::string& key,
                        const std::string& example) {
    if (!find(section, key)) {
        add_error(section, key, "is missing; for example: " + key + " = " + example);
    }
}

std::string IniReader::text(const std::string& section, const std::string& key,
                            const std::string& default_value) {
    const IniEntry* entry = find(section, key);
    return entry ? entry->value : default_value;
}

double IniReader::number(const std::string& section, const std::string& key, double default_value,
                         Bounds bounds) {
    const IniEntry* entry = find(section, key);
    if (!entry) {
        return default_value;
    }
    double parsed = 0;
    const std::string& value = entry->value;
    const auto [end, status] = std::from_chars(value.data(), value.data() + value.size(), parsed);
    if (status != std::errc{} || end != value.data() + value.size() || !std::isfinite(parsed)) {
        add_error(section, key, "expected a number, got '" + value + "'");
        return default_value;
    }
    if (parsed < bounds.minimum || parsed > bounds.maximum) {
        std::ostringstream message;
        message << "expected " << bounds.minimum << " to " << bounds.maximum << ", got " << value;
        add_error(section, key, message.str());
        return default_value;
    }
    return parsed;
}

int IniReader::integer(const std::string& section, const std::string& key, int default_value,
                       Bounds bounds) {
    const double parsed = number(section, key, default_value,
                                 {bounds.minimum, std::min(bounds.maximum, kMaxInteger)});
    if (parsed == std::floor(parsed)) {
        return static_cast<int>(parsed);
    }
    add_error(section, key, "expected an integer, got " + std::to_string(parsed));
    return default_value;
}

bool IniReader::boolean(const std::string& section, const std::string& key, bool default_value) {
    const IniEntry* entry = find(section, key);
    if (!entry) {
        return default_value;
    }
    if (entry->value == "yes") {
        return true;
    }
    if (entry->value == "no") {
        return false;
    }
    add_error(section, key, "expected yes or no, got '" + entry->value + "'");
    return default_value;
}

std::optional<Micros> parse_time(std::string_view text, std::string& error) {
    const std::string trimmed_text = trimmed(text);
    double value = 0;
    const auto [end, status] =
        std::from_chars(trimmed_text.data(), trimmed_text.data() + trimmed_text.size(), value);
    if (status != std::errc{} || !std::isfinite(value)) {
        error = "expected a time, for example 800 ms, got '" + trimmed_text + "'";
        return std::nullopt;
    }
    const auto number_size = static_cast<std::size_t>(end - trimmed_text.data());
    const std::string number = trimmed(std::string_view(trimmed_text).substr(0, number_size));
    const std::string unit = trimmed(std::string_view(trimmed_text).substr(number_size));
    const double factor = microseconds_in(unit);
    if (factor == 0) {
        error = unit.empty() ? "'" + trimmed_text + "' has no unit; write " + number + " ms or " +
                                   number + " s"
                             : "expected a unit of time (us, ms, s, min, h), got '" + unit + "'";
        return std::nullopt;
    }
    const double us = value * factor;
    if (us != std::floor(us) || std::abs(us) > kMaxTimeUs) {
        error =
            "expected a whole number of microseconds of at most 9e15, got '" + trimmed_text + "'";
        return std::nullopt;
    }
    return Micros(static_cast<std::int64_t>(us));
}

Micros IniReader::time(const std::string& section, const std::string& key, Micros default_value,
                       Micros minimum, Micros maximum) {
    const IniEntry* entry = find(section, key);
    if (!entry) {
        return default_value;
    }
    std::string error;
    const auto out = parse_time(entry->value, error);
    if (!out) {
        add_error(section, key, error);
        return default_value;
    }
    if (*out < minimum || *out > maximum) {
        add_error(section, key,
                  "expected " + time_text(minimum) + " to " + time_text(maximum) + ", got " +
                      entry->value);
        return default_value;
    }
    return *out;
}

std::vector<std::string> IniReader::list(const std::string& section, const std::string& key,
                                         const std::vector<std::string>& default_value) {
    const IniEntry* entry = find(section, key);
    if (!entry) {
        return default_value;
    }
    std::vector<std::string> out;
    std::istringstream parts(entry->value);
    for (std::string part; std::getline(parts, part, ',');) {
        const std::string word = trimmed(part);
        if (word.empty()) {
            add_error(section, key, "expected a word between commas, got none");
        } else if (std::find(out.begin(), out.end(), word) != out.end()) {
            add_error(section, key, "'" + word + "' is listed twice");
        } else {
            out.push_back(word);
        }
    }
    return out;
}

int IniReader::choice(const std::string& section, const std::string& key, int default_value,
                      const std::vector<std::string>& words) {
    const IniEntry* entry = find(section, key);
    if (!entry) {
        return default_value;
    }
    const auto it = std::find(words.begin(), words.end(), entry->value);
    if (it != words.end()) {
        return static_cast<int>(it - words.begin());
    }
    const std::string near = closest_word(entry->value, words);
    add_error(section, key,
              "'" + entry->value + "' is not one of: " + joined(words) +
                  (near.empty() ? "" : "; did you mean " + near + "?"));
    return default_value;
}

void IniReader::report_unknown_keys() {
    for (const IniEntry& entry : file_.entries()) {
        if (known_keys_.contains({entry.section, entry.key})) {
            continue;
        }
        std::vector<std::string> keys_of_section;
        std::vector<std::string> sections;
        for (const auto& [section, key] : known_keys_) {
            if (section == entry.section) {
                keys_of_section.push_back(key);
            }
            if (sections.empty() || sections.back() != section) {
                sections.push_back(section);
            }
        }
        const std::string near = closest_word(keys_of_section.empty() ? entry.section : entry.key,
                                              keys_of_section.empty() ? sections : keys_of_section);
        errors_.push_back({file_.name(), entry.line, "[" + entry.section + "] " + entry.key,
                           std::string(keys_of_section.empty() ? "unknown section"
                                                               : "unknown key in this section") +
                               (near.empty() ? "" : "; did you mean " + near + "?")});
    }
    std::stable_sort(errors_.begin(), errors_.end(),
                     [](const ConfigError& a, const ConfigError& b) { return a.line < b.line; });
}

std::string closest_word(const std::string& word, const std::vector<std::string>& known) {
    std::string best;
    std::size_t best_distance = std::max<std::size_t>(2, word.size() / 3) + 1;
    for (const auto& candidate : known) {
        if (const std::size_t d = edit_distance(word, candidate); d < best_distance) {
            best_distance = d;
            best = candidate;
        }
    }
    return best;
}

}  // namespace badgergrade::config
