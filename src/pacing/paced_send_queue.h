/// @file
/// A first-in, first-out send queue with rate limiting for the configuration messages to all
/// proxies.
///
/// Algorithm: the queue behaves like a link with a fixed rate of `lines_per_second`. A message of n
/// lines occupies the link for n / rate seconds and is released as a whole when its last line has
/// been sent. The transmission of the head of the queue starts when its predecessor is finished, or
/// when it is pushed onto an empty queue. Idle time is not accumulated: there is no burst after a
/// pause.
///
/// Invariants:
/// - messages are released in the order in which they were pushed;
/// - `queued_lines()` is the sum of the lines of all queued messages, including discarded ones,
///   and exactly 0 while the queue is empty, so that rounding errors do not accumulate;
/// - a discarded message still occupies the link for its lines, but is never returned;
/// - no message is released before `next_send_time()`.
///
/// No I/O and no timer: the owner calls `next_send_time()`, sets a timer, and then calls `pop()`
/// until it returns nothing. Not thread-safe.
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
    /// Messages that were not sent because their proxy had disconnected.
    std::int64_t discarded_messages = 0;
    /// Lines of the released messages.
    double sent_lines = 0;
    /// Largest number of lines that were queued at the same time.
    double max_queued_lines = 0;
    /// Longest time between the decision and the release of a message.
    Micros max_queueing_delay{};
};

/// The queue; see the file comment for its algorithm and invariants.
class PacedSendQueue {
public:
    /// `lines_per_second` must be above 0.
    explicit PacedSendQueue(double lines_per_second) : lines_per_second_(lines_per_second) {}

    /// Appends a message. Its `lines` determine how long it occupies the link.
    void push(Micros now, xds::ProxyMessage message);

    /// Returns when the head of the queue will have been sent completely; nothing if the queue is
    /// empty.
    std::optional<Micros> next_send_time() const;

    /// Removes and returns the first message that has been sent completely by `now`, if any.
    /// Discarded messages in front of it are removed and counted.
    std::optional<xds::ProxyMessage> pop(Micros now);

    /// Discards all queued messages to a proxy that disconnected: they are not sent when it
    /// reconnects. They keep their place, because the lines in front of a message must not change
    /// after it was queued. Messages that are pushed later are not affected.
    void discard(ProxyId proxy);

    /// Lines of all queued messages, including message headers and acknowledgement requests.
    double queued_lines() const { return queued_lines_; }

    /// For tests of a slow link: changes the rate to this fraction of the configured one (1 is the
    /// configured rate). Lines of the head that were sent before `now` count at the old rate.
    void set_pace(Micros now, double pace_fraction);

    /// Totals since construction.
    const SendQueueMetrics& metrics() const { return metrics_; }

private:
    struct QueuedMessage {
        xds::ProxyMessage message;
        bool discarded = false;  ///< occupies the link, but is not returned
    };

    Micros transmission_duration(double lines) const;

    double lines_per_second_;
    double pace_fraction_ = 1;  ///< current rate / lines_per_second_
    std::deque<QueuedMessage> queue_;
    double queued_lines_ = 0;
    /// Lines of the head of the queue that had not been sent at `head_started_`.
    double unsent_head_lines_ = 0;
    /// Start of the transmission of the head, or the last change of the rate during it.
    Micros head_started_{};
    SendQueueMetrics metrics_;
};

}  // namespace badgergrade::pacing
