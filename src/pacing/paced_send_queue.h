// The channel of a governor: what it orders leaves message by message, so many lines a second, in
// order. Counted as the settings say (a head for each message, its lines, its mark). No I/O: the
// owner asks when the next message is due and takes it then.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "policy/ids.h"
#include "xds/snapshot_cache.h"

namespace badgergrade::pacing {

struct SendQueueMetrics {
    std::int64_t messages = 0, dropped = 0;
    double lines = 0, waiting_most = 0;
    Micros longest_wait{};
};

class PacedSendQueue {
public:
    explicit PacedSendQueue(double lines_per_second) : rate_(lines_per_second) {}

    void put(Micros now, xds::Message message);
    // When the first message has left; nothing where none waits.
    std::optional<Micros> due() const;
    // The message that has left by `now`, if any.
    std::optional<xds::Message> take(Micros now);
    // Messages to a proxy that went away are lost.
    void drop(ProxyId proxy);

    // Lines that wait, heads included.
    double waiting() const { return waiting_; }

    // The pace as a part of the told one (1 is usual), for trials of a slow channel.
    void set_pace(Micros now, double part);

    const SendQueueMetrics& figures() const { return figures_; }

private:
    struct Waiting {
        xds::Message message;
        bool lost = false;
    };

    Micros time_for(double lines) const;

    double rate_, pace_ = 1;
    std::deque<Waiting> queue_;
    double waiting_ = 0,
           left_lines_ = 0;  // lines of the first message that have not left yet, at since_
    Micros since_{};
    SendQueueMetrics figures_;
};

}  // namespace badgergrade::pacing
