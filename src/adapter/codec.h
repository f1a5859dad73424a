// The simulator's text wire: lines of tab-separated name=value parts, to and from the module's
// types.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "policy/command.h"
#include "policy/event.h"
#include "policy/ids.h"
#include "policy/settings.h"

namespace badgergrade::wire {

// What was wrong with a line, in plain words.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// One line taken apart: its word and its parts in any order.
class Parts {
public:
    explicit Parts(std::string_view line);

    std::string_view word() const { return word_; }

    bool has(std::string_view name) const { return find(name) != nullptr; }

    std::string_view text(std::string_view name) const;
    double number(std::string_view name) const;
    double number(std::string_view name, double absent) const;
    std::int64_t whole(std::string_view name, std::int64_t least, std::int64_t most) const;
    std::int64_t whole(std::string_view name, std::int64_t least, std::int64_t most,
                       std::int64_t absent) const;
    std::uint64_t seed(std::string_view name) const;
    bool truth(std::string_view name) const;
    bool truth(std::string_view name, bool absent) const;
    Micros time(std::string_view name) const;
    Micros time(std::string_view name, Micros absent) const;
    std::vector<std::string> words(std::string_view name) const;
    std::vector<double> numbers(std::string_view name) const;

private:
    const std::string_view* find(std::string_view name) const;

    std::string_view word_;
    std::vector<std::pair<std::string_view, std::string_view>> parts_;
    std::map<std::string_view, std::string_view> index_;
};

using Inventories = std::map<int, std::vector<Endpoint>>;

Settings read_settings(const Parts& parts);
Endpoint read_row(const Parts& parts);
// False where the word is no event of the wire; such lines are skipped.
bool read_event(const Parts& parts, const Inventories& lists, Event& out);
void write_action(std::string& out, std::string_view governor, const Command& action);
std::string to_base64(std::string_view bytes);
std::string from_base64(std::string_view text);

}  // namespace badgergrade::wire
