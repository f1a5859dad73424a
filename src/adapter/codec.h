/// @file
/// The simulator's text wire: one message a line, a word and then tab-separated `name=value`
/// fields. Here, and nowhere else, the simulator's words are mapped to the terms of the policy.
/// Times on the wire are decimal milliseconds; in the program they are whole microseconds.
#pragma once

#include <cstdint>
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

/// A line that breaks the rules of the wire. what() names the field and its value.
struct InvalidLine : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// One line split into its word and its fields, which may stand in any order; where a name stands
/// twice, the first one counts. Holds views into the line, which must outlive it.
///
/// The readers throw InvalidLine where the field is missing, unreadable or out of range; those that
/// take a `default_value` return it where the field is missing.
class WireFields {
public:
    /// Throws InvalidLine where a field is not of the form name=value.
    explicit WireFields(std::string_view line);

    std::string_view word() const { return word_; }

    bool has(std::string_view name) const { return find(name) != nullptr; }

    std::string_view text(std::string_view name) const;
    /// A finite decimal number.
    double number(std::string_view name) const;
    double number(std::string_view name, double default_value) const;
    /// A whole number from `minimum` to `maximum`, both included.
    std::int64_t integer(std::string_view name, std::int64_t minimum, std::int64_t maximum) const;
    std::int64_t integer(std::string_view name, std::int64_t minimum, std::int64_t maximum,
                         std::int64_t default_value) const;
    std::uint64_t seed(std::string_view name) const;
    /// `1` or `true`, `0` or `false`.
    bool boolean(std::string_view name) const;
    bool boolean(std::string_view name, bool default_value) const;
    /// Decimal milliseconds, rounded to whole microseconds.
    Micros time(std::string_view name) const;
    Micros time(std::string_view name, Micros default_value) const;
    /// Words between commas; none where the field is missing.
    std::vector<std::string> words(std::string_view name) const;
    std::vector<double> numbers(std::string_view name) const;

private:
    const std::string_view* find(std::string_view name) const;

    std::string_view word_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
    /// Filled for lines with many fields only.
    std::map<std::string_view, std::string_view> index_;
};

/// The highest reference number of an endpoint list.
constexpr std::int64_t kMaxListNumber = 15;

/// The endpoint lists that a frame has announced, by their reference number on the wire.
using EndpointLists = std::map<int, std::vector<Endpoint>>;

/// The settings of a new instance (`up`). Throws InvalidLine.
Settings read_settings(const WireFields& fields);
/// One entry of an endpoint list (`row`). Throws InvalidLine.
Endpoint read_endpoint(const WireFields& fields);
/// Reads an event of the policy into `event`. Returns false where the word is not one of an event;
/// such lines are skipped. Throws InvalidLine.
bool read_event(const WireFields& fields, const EndpointLists& lists, Event& event);
/// Appends the line of a command of the instance `instance_id` to `out`.
void write_command(std::string& out, std::string_view instance_id, const Command& command);

/// Base64 with padding; `-` stands for no bytes.
std::string to_base64(std::string_view bytes);
/// Throws InvalidLine.
std::string from_base64(std::string_view text);

}  // namespace badgergrade::wire
