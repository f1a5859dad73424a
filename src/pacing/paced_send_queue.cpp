#include "pacing/paced_send_queue.h"

#include <algorithm>
#include <cmath>

namespace badgergrade::pacing {

Micros PacedSendQueue::time_for(double lines) const {
    return Micros(static_cast<std::int64_t>(std::ceil(lines / (rate_ * pace_) * 1e6)));
}

void PacedSendQueue::put(Micros now, xds::Message message) {
    if (queue_.empty()) {
        since_ = now;
        left_lines_ = message.lines;
    }
    waiting_ += message.lines;
    figures_.waiting_most = std::max(figures_.waiting_most, waiting_);
    queue_.push_back({std::move(message), false});
}

std::optional<Micros> PacedSendQueue::due() const {
    if (queue_.empty()) {
        return std::nullopt;
    }
    return since_ + time_for(left_lines_);
}

std::optional<xds::Message> PacedSendQueue::take(Micros now) {
    while (!queue_.empty()) {
        const auto when = due();
        if (*when > now) {
            return std::nullopt;
        }
        Waiting first = std::move(queue_.front());
        queue_.pop_front();
        waiting_ = queue_.empty() ? 0 : waiting_ - first.message.lines;
        since_ = *when;
        left_lines_ = queue_.empty() ? 0 : queue_.front().message.lines;
        if (first.lost) {
            ++figures_.dropped;
            continue;
        }
        ++figures_.messages;
        figures_.lines += first.message.lines;
        figures_.longest_wait = std::max(figures_.longest_wait, now - first.message.ordered);
        return std::move(first.message);
    }
    return std::nullopt;
}

void PacedSendQueue::drop(ProxyId proxy) {
    for (Waiting& waiting : queue_) {
        if (waiting.message.proxy == proxy) {
            waiting.lost = true;
        }
    }
}

void PacedSendQueue::set_pace(Micros now, double part) {
    if (!queue_.empty() && now > since_) {
        left_lines_ = std::max(
            0.0, left_lines_ - static_cast<double>((now - since_).count()) / 1e6 * rate_ * pace_);
        since_ = now;
    }
    pace_ = std::max(1e-3, part);
}

}  // namespace badgergrade::pacing
