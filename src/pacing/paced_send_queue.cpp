#include "pacing/paced_send_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace badgergrade::pacing {

namespace {
constexpr double kMicrosPerSecond = 1e6;
/// Lower limit of the pace, as a fraction of the configured rate. Keeps the rate above zero so that
/// a send time can always be computed.
constexpr double kMinPaceFraction = 1e-3;
}  // namespace

Micros PacedSendQueue::transmission_duration(double lines) const {
    const double seconds = lines / (lines_per_second_ * pace_fraction_);
    return Micros(static_cast<std::int64_t>(std::ceil(seconds * kMicrosPerSecond)));
}

void PacedSendQueue::push(Micros now, xds::ProxyMessage message) {
    if (queue_.empty()) {
        head_started_ = now;
        unsent_head_lines_ = message.lines;
    }
    queued_lines_ += message.lines;
    metrics_.max_queued_lines = std::max(metrics_.max_queued_lines, queued_lines_);
    queue_.push_back({std::move(message), false});
}

std::optional<Micros> PacedSendQueue::next_send_time() const {
    if (queue_.empty()) {
        return std::nullopt;
    }
    return head_started_ + transmission_duration(unsent_head_lines_);
}

std::optional<xds::ProxyMessage> PacedSendQueue::pop(Micros now) {
    while (!queue_.empty()) {
        const Micros send_time = *next_send_time();
        if (send_time > now) {
            return std::nullopt;
        }
        QueuedMessage head = std::move(queue_.front());
        queue_.pop_front();
        queued_lines_ = queue_.empty() ? 0 : queued_lines_ - head.message.lines;
        head_started_ = send_time;
        unsent_head_lines_ = queue_.empty() ? 0 : queue_.front().message.lines;
        if (head.discarded) {
            ++metrics_.discarded_messages;
            continue;
        }
        ++metrics_.sent_messages;
        metrics_.sent_lines += head.message.lines;
        metrics_.max_queueing_delay =
            std::max(metrics_.max_queueing_delay, now - head.message.decided_at);
        return std::move(head.message);
    }
    return std::nullopt;
}

void PacedSendQueue::discard(ProxyId proxy) {
    for (QueuedMessage& queued : queue_) {
        if (queued.message.proxy == proxy) {
            queued.discarded = true;
        }
    }
}

void PacedSendQueue::set_pace(Micros now, double pace_fraction) {
    if (!queue_.empty() && now > head_started_) {
        const double elapsed_seconds = to_seconds(now - head_started_);
        const double sent_lines = elapsed_seconds * lines_per_second_ * pace_fraction_;
        unsent_head_lines_ = std::max(0.0, unsent_head_lines_ - sent_lines);
        head_started_ = now;
    }
    pace_fraction_ = std::max(kMinPaceFraction, pace_fraction);
}

}  // namespace badgergrade::pacing
