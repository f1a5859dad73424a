/// @file
/// Parses INI files and reads typed values from them.
///
/// Every value keeps its line, so that each error names file, line, key, the value found and a
/// valid one. Parsing and reading continue after an error: one run reports all of them.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace badgergrade::config {

using Micros = std::chrono::microseconds;

/// One error in a configuration file.
struct ConfigError {
    std::string file;
    int line = 0;     ///< counted from 1; 0: the file as a whole
    std::string key;  ///< "[section] key" or "[section]"; empty for errors of syntax
    std::string text;
};

/// Formats an error, for example "file:12: [channel] lines_per_second: ...".
std::string to_text(const ConfigError& error);

/// One `key = value` line.
struct IniEntry {
    std::string section;
    std::string key;
    std::string value;
    int line = 0;  ///< counted from 1; 0: set by the program
};

/// The entries of an INI file, in their order.
class IniFile {
public:
    /// Parses INI text and appends syntax errors and duplicate keys to `errors`. `name` is the file
    /// name in them.
    static IniFile parse(const std::string& name, const std::string& text,
                         std::vector<ConfigError>& errors);
    /// Reads and parses the file at `path`. Throws std::runtime_error if it cannot be read.
    static IniFile load(const std::string& path, std::vector<ConfigError>& errors);

    const std::string& name() const { return name_; }

    const std::vector<IniEntry>& entries() const { return entries_; }

    /// Replaces or adds a value, for example one from the command line.
    void set(const std::string& section, const std::string& key, const std::string& value);
    /// Formats the entries as INI text, grouped by section.
    std::string to_text() const;

private:
    std::string name_;
    std::vector<IniEntry> entries_;
};

/// Reads typed values from an IniFile. Each function returns `default_value` if the key is missing,
/// and also, after adding an error, if its value is not valid. Every key that is read counts as
/// known; report_unknown_keys() adds an error for the others.
class IniReader {
public:
    /// `file` and `errors` must outlive the reader.
    IniReader(const IniFile& file, std::vector<ConfigError>& errors);

    /// The valid range of a number, both ends included.
    struct Bounds {
        double minimum = 0;
        double maximum = 1e18;
    };

    /// Returns whether the key is present. Does not make it known.
    bool has(const std::string& section, const std::string& key) const;
    /// Returns the sections whose name begins with `prefix`, in the order of the file.
    std::vector<std::string> sections_with_prefix(const std::string& prefix) const;

    /// Reads the value as it is in the file.
    std::string text(const std::string& section, const std::string& key,
                     const std::string& default_value);
    /// Reads a finite number within `bounds`.
    double number(const std::string& section, const std::string& key, double default_value,
                  Bounds bounds);
    /// Reads an integer within `bounds`.
    int integer(const std::string& section, const std::string& key, int default_value,
                Bounds bounds);
    /// Reads "yes" or "no".
    bool boolean(const std::string& section, const std::string& key, bool default_value);
    /// Reads a time with its unit, for example "800 ms", "2s", "250us" or "1.5 min". A number
    /// without a unit is an error.
    Micros time(const std::string& section, const std::string& key, Micros default_value,
                Micros minimum, Micros maximum);
    /// Reads comma-separated words, each at most once.
    std::vector<std::string> list(const std::string& section, const std::string& key,
                                  const std::vector<std::string>& default_value);
    /// Reads one of `words` and returns its index.
    int choice(const std::string& section, const std::string& key, int default_value,
               const std::vector<std::string>& words);

    /// Adds an error, with `example` as a valid value, if the key is missing.
    void require(const std::string& section, const std::string& key, const std::string& example);
    /// Adds an error at the line of this key. An empty key stands for the section.
    void add_error(const std::string& section, const std::string& key, const std::string& text);
    /// Adds an error for each key of the file that was not read, and sorts all errors by line.
    void report_unknown_keys();

private:
    /// Returns the entry, or null, and makes the key known.
    const IniEntry* find(const std::string& section, const std::string& key);

    const IniFile& file_;
    std::vector<ConfigError>& errors_;
    std::map<std::pair<std::string, std::string>, const IniEntry*> entry_by_key_;
    std::set<std::pair<std::string, std::string>> known_keys_;
};

/// Parses a time with its unit (us, ms, s, min, h). If it is not valid, returns nothing and sets
/// `error` to the reason.
std::optional<Micros> parse_time(std::string_view text, std::string& error);
/// Returns the known word with the smallest edit distance to a mistyped one, or an empty string if
/// none is close enough to be suggested.
std::string closest_word(const std::string& word, const std::vector<std::string>& known);

}  // namespace badgergrade::config
