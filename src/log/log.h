// Structured log lines: one event a line with named fields, as text or as JSON, through spdlog.
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

enum class Level { Debug, Info, Warning, Error, Off };
enum class Form { Text, Json };

using Value = std::variant<std::string, std::int64_t, double, bool>;

struct Field {
    std::string_view name;
    Value value;

    Field(std::string_view n, std::string_view v) : name(n), value(std::string(v)) {}

    Field(std::string_view n, const std::string& v) : name(n), value(v) {}

    Field(std::string_view n, const char* v) : name(n), value(std::string(v)) {}

    Field(std::string_view n, bool v) : name(n), value(v) {}

    Field(std::string_view n, double v) : name(n), value(v) {}

    template <class Whole>
        requires std::is_integral_v<Whole>
    Field(std::string_view n, Whole v) : name(n),
                                         value(static_cast<std::int64_t>(v)) {}
};

class Log {
public:
    // Writes to standard error.
    Log(const base::Clock& clock, Level level, Form form);
    // Hands each line over (tests, days).
    Log(const base::Clock& clock, Level level, Form form,
        std::function<void(const std::string&)> to);
    // Nothing at all.
    explicit Log(const base::Clock& clock);

    // `who` is the instance (governor/0, forwarder-3); `event` a fixed name such as
    // endpoints.updated.
    void write(Level level, std::string_view who, std::string_view event,
               std::initializer_list<Field> fields = {});

    bool on(Level level) const { return level >= level_ && level_ != Level::Off; }

    void flush() {
        if (logger_) {
            logger_->flush();
        }
    }

private:
    std::string text(Level level, std::string_view who, std::string_view event,
                     std::initializer_list<Field> fields) const;
    std::string json(Level level, std::string_view who, std::string_view event,
                     std::initializer_list<Field> fields) const;

    const base::Clock& clock_;
    Level level_;
    Form form_;
    bool wall_ = false;
    std::shared_ptr<spdlog::logger> logger_;
};

// One writer with its name on it.
class Logger {
public:
    Logger(Log& log, std::string who) : log_(&log), who_(std::move(who)) {}

    void debug(std::string_view event, std::initializer_list<Field> f = {}) {
        log_->write(Level::Debug, who_, event, f);
    }

    void info(std::string_view event, std::initializer_list<Field> f = {}) {
        log_->write(Level::Info, who_, event, f);
    }

    void warn(std::string_view event, std::initializer_list<Field> f = {}) {
        log_->write(Level::Warning, who_, event, f);
    }

    void error(std::string_view event, std::initializer_list<Field> f = {}) {
        log_->write(Level::Error, who_, event, f);
    }

private:
    Log* log_;
    std::string who_;
};

}  // namespace badgergrade::log
