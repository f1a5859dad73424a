/// Rate limiting of log lines that peers can cause, so that a broken or hostile peer can't fill the
/// disk. Each event may be written a fixed number of times per second of the clock; the number of
/// suppressed lines is reported with the next line of the event.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

#include "base/clock.h"
#include "log/log.h"

namespace badgergrade::log {

/// Allows a fixed number of lines per event and second, and counts the suppressed ones.
class LogRateLimiter {
public:
    /// Whether a line of `event` may be written at `now`: the number of lines of this event that
    /// were suppressed since the last allowed one, or nothing where this one is to be suppressed.
    /// `event` must be a string constant: the limiter keeps a reference and never forgets one.
    std::optional<std::int64_t> allow(std::string_view event, base::Micros now) {
        EventState& state = events_[event];
        if (now - state.window_start >= kWindow) {
            state.window_start = now;
            state.lines_in_window = 0;
        }
        if (state.lines_in_window >= kMaxLinesPerWindow) {
            ++state.suppressed_lines;
            return std::nullopt;
        }
        ++state.lines_in_window;
        return std::exchange(state.suppressed_lines, 0);
    }

private:
    /// Length of a counting window.
    static constexpr base::Micros kWindow = std::chrono::seconds(1);
    /// Lines of one event in a window: enough to see the cause.
    static constexpr int kMaxLinesPerWindow = 3;

    struct EventState {
        base::Micros window_start{};
        int lines_in_window = 0;
        std::int64_t suppressed_lines = 0;
    };

    std::map<std::string_view, EventState> events_;
};

/// A logger whose warnings are rate limited per event.
class RateLimitedLogger {
public:
    RateLimitedLogger(const base::Clock& clock, Logger logger)
        : clock_(clock),
          logger_(std::move(logger)) {}

    /// Writes a warning unless too many of this event were written in this second. The first line
    /// after suppressed ones is followed by `log.suppressed` with their number.
    void warn(std::string_view event, std::initializer_list<Field> fields) {
        const std::optional<std::int64_t> suppressed = limiter_.allow(event, clock_.now());
        if (!suppressed) {
            return;
        }
        logger_.warn(event, fields);
        if (*suppressed > 0) {
            logger_.warn("log.suppressed", {{"event", event}, {"lines", *suppressed}});
        }
    }

private:
    const base::Clock& clock_;
    Logger logger_;
    LogRateLimiter limiter_;
};

}  // namespace badgergrade::log
