/// @file
/// Encodes and decodes the simulator's text protocol: one message per line, which consists of a
/// word and tab-separated `name=value` fields. The simulator's words are mapped to the terms of the
/// policy here and nowhere else.
///
/// Times are decimal milliseconds on the wire and whole microseconds in the program.
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

/// A line that does not follow the protocol. what() names the field, what was expected and what was
/// found.
struct InvalidLine : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// One line split into its word and its fields. Fields may be in any order; if a name occurs twice,
/// its first value is used. Holds views into the line, which must outlive this object.
///
/// The functions that read a field throw InvalidLine if it is missing, malformed or out of range.
/// Those with a `default_value` return it if the field is missing.
class WireFields {
public:
    /// Throws InvalidLine if a field does not have the form name=value.
    explicit WireFields(std::string_view line);

    std::string_view word() const { return word_; }

    bool has(std::string_view name) const { return find(name) != nullptr; }

    /// Reads a field's text unchanged.
    std::string_view text(std::string_view name) const;
    /// Reads a finite decimal number.
    double number(std::string_view name) const;
    double number(std::string_view name, double default_value) const;
    /// Reads an integer from `minimum` to `maximum`, both included.
    std::int64_t integer(std::string_view name, std::int64_t minimum, std::int64_t maximum) const;
    std::int64_t integer(std::string_view name, std::int64_t minimum, std::int64_t maximum,
                         std::int64_t default_value) const;
    /// Reads an unsigned 64-bit integer.
    std::uint64_t seed(std::string_view name) const;
    /// Reads `1` or `true`, `0` or `false`.
    bool boolean(std::string_view name) const;
    bool boolean(std::string_view name, bool default_value) const;
    /// Reads decimal milliseconds, rounded to whole microseconds.
    Micros time(std::string_view name) const;
    Micros time(std::string_view name, Micros default_value) const;
    /// Reads comma-separated words; an empty list if the field is missing.
    std::vector<std::string> words(std::string_view name) const;
    /// Reads comma-separated numbers; an empty list if the field is missing.
    std::vector<double> numbers(std::string_view name) const;

private:
    const std::string_view* find(std::string_view name) const;

    std::string_view word_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
    /// Values by name; filled only for lines with many fields.
    std::map<std::string_view, std::string_view> index_;
};

/// The largest reference number of an endpoint list.
constexpr std::int64_t kMaxListNumber = 15;

/// The endpoint lists (`inventory`) received so far, by their reference number on the wire.
using EndpointLists = std::map<int, std::vector<Endpoint>>;

/// Decodes the settings of a new instance (`up`). Throws InvalidLine.
Settings read_settings(const WireFields& fields);
/// Decodes one entry of an endpoint list (`row`). Throws InvalidLine.
Endpoint read_endpoint(const WireFields& fields);
/// Decodes an event of the policy into `event`. Returns false if the word is not that of an event;
/// callers ignore such lines. Throws InvalidLine.
bool read_event(const WireFields& fields, const EndpointLists& lists, Event& event);
/// Appends the line for a command of the control plane instance `instance_id` to `out`.
void write_command(std::string& out, std::string_view instance_id, const Command& command);

/// Encodes bytes as base64 with padding; no bytes are encoded as `-`.
std::string to_base64(std::string_view bytes);
/// Decodes the output of to_base64(). Throws InvalidLine.
std::string from_base64(std::string_view text);

}  // namespace badgergrade::wire
