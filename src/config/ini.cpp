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

constexpr std::size_t kLongestLine = 190;  // inih reads lines of 200 bytes

std::string trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return std::string(text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1));
}

struct Reading {
    const std::string* text = nullptr;
    std::size_t at = 0;
    int line = 0;
    std::string file;
    std::vector<IniEntry>* entries = nullptr;
    std::vector<Mistake>* mistakes = nullptr;
};

char* next_line(char* to, int size, void* from) {
    auto& reading = *static_cast<Reading*>(from);
    if (reading.at >= reading.text->size()) {
        return nullptr;
    }
    const auto end = reading.text->find('\n', reading.at);
    std::string line =
        reading.text->substr(reading.at, end == std::string::npos ? end : end - reading.at);
    reading.at = end == std::string::npos ? reading.text->size() : end + 1;
    ++reading.line;
    // A line that is too long or holds a zero byte would be cut off silently by the reader below.
    if (line.size() > kLongestLine || line.find('\0') != std::string::npos) {
        reading.mistakes->push_back({reading.file, reading.line, "",
                                     line.size() > kLongestLine
                                         ? "the line is longer than 190 characters"
                                         : "the line holds a zero byte"});
        line.clear();
    }
    // Continuation by indentation would hide a forgotten key, so indentation means nothing.
    line = trimmed(line);
    line += '\n';
    const std::size_t n = std::min(line.size(), static_cast<std::size_t>(size) - 1);
    std::memcpy(to, line.data(), n);
    to[n] = '\0';
    return to;
}

int take(void* user, const char* section, const char* key, const char* value) {
    auto& reading = *static_cast<Reading*>(user);
    if (!key || !value) {
        return 1;
    }
    reading.entries->push_back({section, key, value, reading.line});
    return 1;
}

std::size_t distance(const std::string& a, const std::string& b) {
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) {
        row[j] = j;
    }
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t before = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= b.size(); ++j) {
            before = std::exchange(
                row[j], std::min({row[j] + 1, row[j - 1] + 1, before + (a[i - 1] != b[j - 1])}));
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

std::string in_words(Micros t) {
    const auto n = t.count();
    if (n % 1000000 == 0) {
        return std::to_string(n / 1000000) + " s";
    }
    if (n % 1000 == 0) {
        return std::to_string(n / 1000) + " ms";
    }
    return std::to_string(n) + " us";
}

}  // namespace

std::string to_text(const Mistake& mistake) {
    std::string out = mistake.file;
    if (mistake.line > 0) {
        out += ":" + std::to_string(mistake.line);
    }
    out += ": ";
    if (!mistake.key.empty()) {
        out += mistake.key + ": ";
    }
    return out + mistake.text;
}

IniFile IniFile::parse(const std::string& name, const std::string& text,
                       std::vector<Mistake>& mistakes) {
    IniFile file;
    file.name_ = name;
    Reading reading;
    reading.text = &text;
    reading.file = name;
    reading.entries = &file.entries_;
    reading.mistakes = &mistakes;
    const int bad = ini_parse_stream(next_line, &reading, take, &reading);
    if (bad > 0) {
        mistakes.push_back(
            {name, bad, "", "neither a [section], nor key = value, nor a comment (; or #)"});
    }
    std::map<std::pair<std::string, std::string>, int> seen;
    for (const IniEntry& entry : file.entries_) {
        const auto [it, fresh] = seen.try_emplace({entry.section, entry.key}, entry.line);
        if (!fresh) {
            mistakes.push_back({name, entry.line, "[" + entry.section + "] " + entry.key,
                                "stands already in line " + std::to_string(it->second)});
        }
    }
    return file;
}

IniFile IniFile::load(const std::string& path, std::vector<Mistake>& mistakes) {
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        throw std::runtime_error(path + ": can't be read: " + std::strerror(errno));
    }
    std::ostringstream text;
    text << in.rdbuf();
    if (in.bad() || text.fail()) {
        throw std::runtime_error(path + ": can't be read");
    }
    return parse(path, text.str(), mistakes);
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
    std::vector<std::string> order;
    for (const IniEntry& entry : entries_) {
        if (std::find(order.begin(), order.end(), entry.section) == order.end()) {
            order.push_back(entry.section);
        }
    }
    std::string out;
    for (const auto& section : order) {
        out += (out.empty() ? "[" : "\n[") + section + "]\n";
        for (const IniEntry& entry : entries_) {
            if (entry.section == section) {
                out += entry.key + " = " + entry.value + "\n";
            }
        }
    }
    return out;
}

IniReader::IniReader(const IniFile& file, std::vector<Mistake>& mistakes)
    : file_(file),
      mistakes_(mistakes) {
    for (const IniEntry& entry : file.entries()) {
        by_key_.try_emplace({entry.section, entry.key}, &entry);
    }
}

const IniEntry* IniReader::find(const std::string& section, const std::string& key) {
    asked_.insert({section, key});
    const auto it = by_key_.find({section, key});
    return it == by_key_.end() ? nullptr : it->second;
}

bool IniReader::has(const std::string& section, const std::string& key) const {
    return by_key_.contains({section, key});
}

std::vector<std::string> IniReader::sections_like(const std::string& prefix) const {
    std::vector<std::string> out;
    for (const IniEntry& entry : file_.entries()) {
        if (entry.section.rfind(prefix, 0) == 0 &&
            std::find(out.begin(), out.end(), entry.section) == out.end()) {
            out.push_back(entry.section);
        }
    }
    return out;
}

void IniReader::wrong(const std::string& section, const std::string& key, const std::string& text) {
    const auto it = by_key_.find({section, key});
    mistakes_.push_back({file_.name(), it == by_key_.end() ? 0 : it->second->line,
                         "[" + section + "]" + (key.empty() ? "" : " " + key), text});
}

void IniReader::need(const std::string& section, const std::string& key,
                     const std::string& example) {
    if (!find(section, key)) {
        wrong(section, key, "is missing; for example: " + key + " = " + example);
    }
}

std::string IniReader::text(const std::string& section, const std::string& key,
                            const std::string& usual) {
    const IniEntry* entry = find(section, key);
    return entry ? entry->value : usual;
}

double IniReader::number(const std::string& section, const std::string& key, double usual,
                         Bounds bounds) {
    const IniEntry* entry = find(section, key);
    if (!entry) {
        return usual;
    }
    double out = 0;
    const std::string& v = entry->value;
    const auto [end, bad] = std::from_chars(v.data(), v.data() + v.size(), out);
    if (bad != std::errc{} || end != v.data() + v.size() || !std::isfinite(out)) {
        wrong(section, key, "'" + v + "' is no number");
        return usual;
    }
    if (out < bounds.least || out > bounds.most) {
        std::ostringstream says;
        says << v << " is out of range: " << bounds.least << " to " << bounds.most;
        wrong(section, key, says.str());
        return usual;
    }
    return out;
}

int IniReader::whole(const std::string& section, const std::string& key, int usual, Bounds bounds) {
    const double out = number(section, key, usual, {bounds.least, std::min(bounds.most, 2e9)});
    if (out == std::floor(out)) {
        return static_cast<int>(out);
    }
    wrong(section, key, "must be a whole number");
    return usual;
}

bool IniReader::yes(const std::string& section, const std::string& key, bool usual) {
    const IniEntry* entry = find(section, key);
    if (!entry) {
        return usual;
    }
    if (entry->value == "yes") {
        return true;
    }
    if (entry->value == "no") {
        return false;
    }
    wrong(section, key, "'" + entry->value + "' is neither yes nor no");
    return usual;
}

std::optional<Micros> parse_time(std::string_view text, std::string& why) {
    const std::string all = trimmed(text);
    double value = 0;
    const auto [end, bad] = std::from_chars(all.data(), all.data() + all.size(), value);
    if (bad != std::errc{} || !std::isfinite(value)) {
        why = "'" + all + "' is no time; write for example 800 ms";
        return std::nullopt;
    }
    const std::string unit =
        trimmed(std::string_view(end, static_cast<std::size_t>(all.data() + all.size() - end)));
    const std::string bare =
        trimmed(std::string_view(all.data(), static_cast<std::size_t>(end - all.data())));
    double factor = 0;
    if (unit == "us") {
        factor = 1;
    } else if (unit == "ms") {
        factor = 1e3;
    } else if (unit == "s") {
        factor = 1e6;
    } else if (unit == "min") {
        factor = 60e6;
    } else if (unit == "h") {
        factor = 3600e6;
    }
    if (factor == 0) {
        why = unit.empty() ? "'" + all + "' has no unit; write " + bare + " ms or " + bare + " s"
                           : "'" + unit + "' is no unit of time (us, ms, s, min, h)";
        return std::nullopt;
    }
    const double us = value * factor;
    if (us != std::floor(us) || std::abs(us) > 9e15) {
        why = "'" + all + "' is no whole number of microseconds within range";
        return std::nullopt;
    }
    return Micros(static_cast<std::int64_t>(us));
}

Micros IniReader::time(const std::string& section, const std::string& key, Micros usual,
                       Micros least, Micros most) {
    const IniEntry* entry = find(section, key);
    if (!entry) {
        return usual;
    }
    std::string why;
    const auto out = parse_time(entry->value, why);
    if (!out) {
        wrong(section, key, why);
        return usual;
    }
    if (*out < least || *out > most) {
        wrong(section, key,
              entry->value + " is out of range: " + in_words(least) + " to " + in_words(most));
        return usual;
    }
    return *out;
}

std::vector<std::string> IniReader::list(const std::string& section, const std::string& key,
                                         const std::vector<std::string>& usual) {
    const IniEntry* entry = find(section, key);
    if (!entry) {
        return usual;
    }
    std::vector<std::string> out;
    std::istringstream parts(entry->value);
    for (std::string part; std::getline(parts, part, ',');) {
        const std::string word = trimmed(part);
        if (word.empty()) {
            wrong(section, key, "an empty item between commas");
        } else if (std::find(out.begin(), out.end(), word) != out.end()) {
            wrong(section, key, "'" + word + "' stands twice");
        } else {
            out.push_back(word);
        }
    }
    return out;
}

int IniReader::choice(const std::string& section, const std::string& key, int usual,
                      const std::vector<std::string>& words) {
    const IniEntry* entry = find(section, key);
    if (!entry) {
        return usual;
    }
    const auto it = std::find(words.begin(), words.end(), entry->value);
    if (it != words.end()) {
        return static_cast<int>(it - words.begin());
    }
    const std::string near = nearest(entry->value, words);
    wrong(section, key,
          "'" + entry->value + "' is not one of: " + joined(words) +
              (near.empty() ? "" : "; did you mean " + near + "?"));
    return usual;
}

void IniReader::finish() {
    for (const IniEntry& entry : file_.entries()) {
        if (asked_.contains({entry.section, entry.key})) {
            continue;
        }
        std::vector<std::string> here;
        std::vector<std::string> sections;
        for (const auto& [section, key] : asked_) {
            if (section == entry.section) {
                here.push_back(key);
            }
            if (sections.empty() || sections.back() != section) {
                sections.push_back(section);
            }
        }
        const std::string near =
            nearest(here.empty() ? entry.section : entry.key, here.empty() ? sections : here);
        mistakes_.push_back({file_.name(), entry.line, "[" + entry.section + "] " + entry.key,
                             std::string(here.empty() ? "no such section" : "no such key here") +
                                 (near.empty() ? "" : "; did you mean " + near + "?")});
    }
    std::stable_sort(mistakes_.begin(), mistakes_.end(),
                     [](const Mistake& a, const Mistake& b) { return a.line < b.line; });
}

std::string nearest(const std::string& word, const std::vector<std::string>& known) {
    std::string best;
    std::size_t least = std::max<std::size_t>(2, word.size() / 3) + 1;
    for (const auto& candidate : known) {
        if (const std::size_t d = distance(word, candidate); d < least) {
            least = d;
            best = candidate;
        }
    }
    return best;
}

}  // namespace badgergrade::config
