/// @file
/// A first-in, first-out queue of configuration messages that leaves at a limited rate.
///
/// Algorithm: the queue behaves like a link with a fixed rate of `lines_per_second`. A message of
/// n lines occupies the link for n / rate seconds and is released whole when its last line has
/// been sent. The head of the queue starts at `head_started_`, which is the moment its predecessor
/// was finished, or the moment it was pushed onto an empty queue. Idle time is not saved up: there
/// is no burst after a pause.
///
/// Invariants:
/// - messages are released in the order in which they were pushed;
/// - `queued_lines()` is the sum of the lines of all queued messages, including discarded ones,
///   and exactly 0 while the queue is empty (so that rounding errors do not add up);
/// - a discarded message still occupies the link for its lines, but is never returned;
/// - no message is released before `next_send_time()`.
///
/// There is no I/O and no timer here: the owner asks for `next_send_time()`, sets a timer and calls
/// `pop()` until it returns nothing. All calls come from one thread.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "policy/ids.h"
#include "xds/snapshot_cache.h"

namespace badgergrade::pacing {

/// Totals since the start of one control plane instance.
struct SendQueueMetrics {
    /// Messages released to their stream.
    std::int64_t sent_messages = 0;
    /// Messages that were queued for a proxy that disconnected.
    std::int64_t discarded_messages = 0;
    /// Lines of the released messages.
    double sent_lines = 0;
    /// The most lines that were queued at one moment.
    double max_queued_lines = 0;
    /// The longest time between the decision and the release of one message.
    Micros max_queueing_delay{};
};

class PacedSendQueue {
public:
    /// `lines_per_second` must be above 0.
    explicit PacedSendQueue(double lines_per_second) : lines_per_second_(lines_per_second) {}

    /// Appends a message; its `lines` say how long it occupies the link.
    void push(Micros now, xds::ProxyMessage message);

    /// When the head of the queue has been sent completely; nothing while the queue is empty.
    std::optional<Micros> next_send_time() const;

    /// Removes and returns the first message that has been sent completely by `now`, if any.
    /// Discarded messages on the way are removed and counted.
    std::optional<xds::ProxyMessage> pop(Micros now);

    /// Discards all queued messages to a proxy that disconnected; they are not sent when it comes
    /// back. They keep their place, because the lines in front of a message must not change after
    /// it was queued. Messages that are pushed later are not affected.
    void discard(ProxyId proxy);

    /// Lines of all queued messages, including message heads and acknowledgement requests.
    double queued_lines() const { return queued_lines_; }

    /// For tests of a slow link: changes the rate to this fraction of the configured one (1 is
    /// normal). Lines of the head that were sent before `now` count as sent at the old rate.
    void set_pace(Micros now, double pace_fraction);

    /// Totals since construction.
    const SendQueueMetrics& metrics() const { return metrics_; }

private:
    struct QueuedMessage {
        xds::ProxyMessage message;
        bool discarded = false;
    };

    Micros time_to_send(double lines) const;

    double lines_per_second_;
    double pace_fraction_ = 1;
    std::deque<QueuedMessage> queue_;
    double queued_lines_ = 0;
    /// Lines of the head of the queue that were not sent yet at `head_started_`.
    double unsent_head_lines_ = 0;
    Micros head_started_{};
    SendQueueMetrics metrics_;
};

}  // namespace badgergrade::pacing
