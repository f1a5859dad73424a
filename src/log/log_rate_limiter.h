// Log lines that peers can cause are limited: so many of one event a second, the rest are counted.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "base/clock.h"

namespace badgergrade::platform_server {

class LogRateLimiter {
public:
    // Whether a line of this event may be written now; `unsaid` gets how many were not since the
    // last one. Events are fixed names: there are only so many.
    bool allows(std::string_view event, base::Micros now, std::int64_t& unsaid) {
        Event& known = events_[event];
        if (now - known.since >= std::chrono::seconds(1)) {
            known.since = now;
            known.said = 0;
        }
        if (known.said >= kLinesASecond) {
            ++known.unsaid;
            return false;
        }
        ++known.said;
        unsaid = known.unsaid;
        known.unsaid = 0;
        return true;
    }

private:
    static constexpr int kLinesASecond = 3;

    struct Event {
        base::Micros since{};
        int said = 0;
        std::int64_t unsaid = 0;
    };

    std::map<std::string_view, Event> events_;
};

}  // namespace badgergrade::platform_server
