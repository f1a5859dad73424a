/// Structured log, written through spdlog. Each line holds one event: its level, the instance that
/// reports it, the name of the event and named fields. Two formats:
///
///   text   <wall time> <seconds of the clock> <level> <instance> <event> <name>=<value> ...
///   JSON   {"time": ..., "us": <microseconds of the clock>, "level": ..., "who": <instance>,
///           "event": ..., "<name>": <value>, ...}
///
/// The wall time is written to standard error only. Lines that are handed to a callback have no
/// wall time, so that equal runs under a virtual clock give equal lines.
#pragma once

#include <spdlog/logger.h>

#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "base/clock.h"

namespace badgergrade::log {

/// Severity of a line, lowest first. `Off` as the level of a log disables it.
enum class Level { Debug, Info, Warning, Error, Off };
/// Format of the lines.
enum class Form { Text, Json };

/// Value of a field.
using Value = std::variant<std::string, std::int64_t, double, bool>;

/// One named value of a line.
struct Field {
    std::string_view name;
    Value value;

    Field(std::string_view field_name, std::string_view field_value)
        : name(field_name),
          value(std::string(field_value)) {}

    Field(std::string_view field_name, const std::string& field_value)
        : name(field_name),
          value(field_value) {}

    Field(std::string_view field_name, const char* field_value)
        : name(field_name),
          value(std::string(field_value)) {}

    Field(std::string_view field_name, bool field_value) : name(field_name), value(field_value) {}

    Field(std::string_view field_name, double field_value) : name(field_name), value(field_value) {}

    template <class Integer>
        requires std::is_integral_v<Integer>
    Field(std::string_view field_name, Integer field_value)
        : name(field_name),
          value(static_cast<std::int64_t>(field_value)) {}
};

/// Writes the lines of a process at or above one level.
class Log {
public:
    /// Writes to standard error, with the wall time.
    Log(const base::Clock& clock, Level level, Form form);
    /// Passes each line to `on_line`, without the wall time (tests, scenarios in one process).
    Log(const base::Clock& clock, Level level, Form form,
        std::function<void(const std::string&)> on_line);
    /// Writes nothing.
    explicit Log(const base::Clock& clock);

    /// Writes one line if `level` is enabled. `instance` is the process or simulated process that
    /// reports (governor/0, forwarder-3), `event` a fixed name such as endpoints.updated.
    void write(Level level, std::string_view instance, std::string_view event,
               std::initializer_list<Field> fields = {});

    /// Whether lines of this level are written.
    bool on(Level level) const { return level >= level_ && level_ != Level::Off; }

    void flush() {
        if (logger_) {
            logger_->flush();
        }
    }

private:
    std::string text(Level level, std::string_view instance, std::string_view event,
                     std::initializer_list<Field> fields) const;
    std::string json(Level level, std::string_view instance, std::string_view event,
                     std::initializer_list<Field> fields) const;

    const base::Clock& clock_;
    Level level_;
    Form form_;
    bool has_wall_time_ = false;
    std::shared_ptr<spdlog::logger> logger_;
};

/// Writes to a log under the name of one instance.
class Logger {
public:
    Logger(Log& log, std::string instance) : log_(&log), instance_(std::move(instance)) {}

    void debug(std::string_view event, std::initializer_list<Field> fields = {}) {
        log_->write(Level::Debug, instance_, event, fields);
    }

    void info(std::string_view event, std::initializer_list<Field> fields = {}) {
        log_->write(Level::Info, instance_, event, fields);
    }

    void warn(std::string_view event, std::initializer_list<Field> fields = {}) {
        log_->write(Level::Warning, instance_, event, fields);
    }

    void error(std::string_view event, std::initializer_list<Field> fields = {}) {
        log_->write(Level::Error, instance_, event, fields);
    }

private:
    Log* log_;
    std::string instance_;
};

}  // namespace badgergrade::log
