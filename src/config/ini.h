/// @file
/// INI files with the place of every value, and typed readers that collect every error with file,
/// line, key and what would be right. Reading goes on after an error, so that one run shows them
/// all.
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
    int line = 0;     ///< from 1; 0: the file as a whole
    std::string key;  ///< with its section; empty where the error concerns none
    std::string text;
};

/// "file:12: [channel] lines_per_second: ..."
std::string to_text(const ConfigError& error);

struct IniEntry {
    std::string section;
    std::string key;
    std::string value;
    int line = 0;  ///< from 1; 0: set by the program
};

class IniFile {
public:
    /// Reads INI text; syntax errors go to `errors`. `name` is the file name in them.
    static IniFile parse(const std::string& name, const std::string& text,
                         std::vector<ConfigError>& errors);
    /// Throws std::runtime_error where the file can't be read.
    static IniFile load(const std::string& path, std::vector<ConfigError>& errors);

    const std::string& name() const { return name_; }

    const std::vector<IniEntry>& entries() const { return entries_; }

    /// Replaces or adds a value, as from a command line.
    void set(const std::string& section, const std::string& key, const std::string& value);
    std::string to_text() const;

private:
    std::string name_;
    std::vector<IniEntry> entries_;
};

/// Reads typed values from a file. Each reader returns `default_value` where the key is missing,
/// and also, after adding an error, where its value is not valid. Every key that is read counts as
/// known; finish() reports all others.
class IniReader {
public:
    /// Both must outlive the reader.
    IniReader(const IniFile& file, std::vector<ConfigError>& errors);

    /// The range of a number, both ends included.
    struct Bounds {
        double minimum = 0;
        double maximum = 1e18;
    };

    bool has(const std::string& section, const std::string& key) const;
    /// The sections whose name begins with `prefix`, in the order of the file.
    std::vector<std::string> sections_with_prefix(const std::string& prefix) const;

    std::string text(const std::string& section, const std::string& key,
                     const std::string& default_value);
    double number(const std::string& section, const std::string& key, double default_value,
                  Bounds bounds);
    int integer(const std::string& section, const std::string& key, int default_value,
                Bounds bounds);
    /// "yes" or "no".
    bool boolean(const std::string& section, const std::string& key, bool default_value);
    /// "800 ms", "2s", "250us", "1.5 min". A number without a unit is an error.
    Micros time(const std::string& section, const std::string& key, Micros default_value,
                Micros minimum, Micros maximum);
    /// Different words between commas.
    std::vector<std::string> list(const std::string& section, const std::string& key,
                                  const std::vector<std::string>& default_value);
    /// The index of the value in `words`.
    int choice(const std::string& section, const std::string& key, int default_value,
               const std::vector<std::string>& words);

    /// Adds an error, with `example` as a valid value, where the key is missing.
    void require(const std::string& section, const std::string& key, const std::string& example);
    /// Adds an error at the line of this key. An empty key means the section.
    void add_error(const std::string& section, const std::string& key, const std::string& text);
    /// Adds an error for each key that nobody read, and sorts all errors by line.
    void finish();

private:
    const IniEntry* find(const std::string& section, const std::string& key);

    const IniFile& file_;
    std::vector<ConfigError>& errors_;
    std::map<std::pair<std::string, std::string>, const IniEntry*> entry_by_key_;
    std::set<std::pair<std::string, std::string>> known_keys_;
};

/// A time with its unit (us, ms, s, min, h); without a value, `error` says why.
std::optional<Micros> parse_time(std::string_view text, std::string& error);
/// The known word nearest to a mistyped one by edit distance; empty where none is near.
std::string closest_word(const std::string& word, const std::vector<std::string>& known);

}  // namespace badgergrade::config
