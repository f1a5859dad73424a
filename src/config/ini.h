// INI text with the place of every value, and typed readers that collect each mistake with file,
// line, key and what would be right. Reading goes on after a mistake, so that one run tells them
// all.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace badgergrade::config {

using Micros = std::chrono::microseconds;

struct Mistake {
    std::string file;
    int line = 0;  // 0: the file as a whole
    std::string key, text;
};

// "file:12: [channel] lines_per_second: ..."
std::string to_text(const Mistake& mistake);

struct IniEntry {
    std::string section, key, value;
    int line = 0;
};

class IniFile {
public:
    // Reads INI text (inih); mistakes of form go to `mistakes`.
    static IniFile parse(const std::string& name, const std::string& text,
                         std::vector<Mistake>& mistakes);
    // Throws std::runtime_error when the file can't be read.
    static IniFile load(const std::string& path, std::vector<Mistake>& mistakes);

    const std::string& name() const { return name_; }

    const std::vector<IniEntry>& entries() const { return entries_; }

    // Replaces or adds a value, as from a command line.
    void set(const std::string& section, const std::string& key, const std::string& value);
    std::string to_text() const;

private:
    std::string name_;
    std::vector<IniEntry> entries_;
};

// Reads typed values out of a file. Every key that is asked for counts as known; finish() calls all
// others unknown.
class IniReader {
public:
    IniReader(const IniFile& file, std::vector<Mistake>& mistakes);

    struct Bounds {
        double least = 0, most = 1e18;
    };

    bool has(const std::string& section, const std::string& key) const;
    std::vector<std::string> sections_like(const std::string& prefix) const;

    std::string text(const std::string& section, const std::string& key, const std::string& usual);
    double number(const std::string& section, const std::string& key, double usual, Bounds bounds);
    int whole(const std::string& section, const std::string& key, int usual, Bounds bounds);
    bool yes(const std::string& section, const std::string& key, bool usual);
    // "800 ms", "2s", "250us", "1.5 min"; a bare number is refused, since nobody knows its unit.
    Micros time(const std::string& section, const std::string& key, Micros usual, Micros least,
                Micros most);
    std::vector<std::string> list(const std::string& section, const std::string& key,
                                  const std::vector<std::string>& usual);
    // One of the words given; the index of it.
    int choice(const std::string& section, const std::string& key, int usual,
               const std::vector<std::string>& words);
    // The key must be there.
    void need(const std::string& section, const std::string& key, const std::string& example);

    void wrong(const std::string& section, const std::string& key, const std::string& text);
    void finish();

private:
    const IniEntry* find(const std::string& section, const std::string& key);

    const IniFile& file_;
    std::vector<Mistake>& mistakes_;
    std::map<std::pair<std::string, std::string>, const IniEntry*> by_key_;
    std::set<std::pair<std::string, std::string>> asked_;
};

std::optional<Micros> parse_time(std::string_view text, std::string& why);
// The known word nearest to a mistyped one; empty where none is near.
std::string nearest(const std::string& word, const std::vector<std::string>& known);

}  // namespace badgergrade::config
