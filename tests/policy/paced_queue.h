// The queue of a configuration channel for tests: messages leave it in their order, at a limited
// pace, and arrive after the network delay.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "policy/ids.h"

namespace badgergrade::policy {

/// What the channel really carries.
struct ChannelPace {
    double lines_per_second = 0;
    /// What each message takes beside its lines.
    Micros time_per_message{};
    Micros network_delay{};
};

/// `Message` has a member `double lines`.
template <class Message>
class PacedQueue {
public:
    explicit PacedQueue(const ChannelPace& pace) : pace_(pace) {}

    PacedQueue(double lines_per_second, Micros network_delay)
        : PacedQueue(ChannelPace{lines_per_second, Micros{0}, network_delay}) {}

    void push(Micros now, Message message) {
        if (queue_.empty()) {
            sending_since_ = now;
        }
        queued_lines_ += message.lines;
        max_queued_lines_ = std::max(max_queued_lines_, queued_lines_);
        queue_.push_back(std::move(message));
    }

    /// Removes and returns the messages that have arrived by now.
    std::vector<Message> take_arrived(Micros now) {
        while (!queue_.empty() && sending_since_ + sending_time(queue_.front()) <= now) {
            sending_since_ += sending_time(queue_.front());
            queued_lines_ -= queue_.front().lines;
            in_transit_.emplace_back(sending_since_ + pace_.network_delay,
                                     std::move(queue_.front()));
            queue_.pop_front();
        }
        std::vector<Message> arrived;
        while (!in_transit_.empty() && in_transit_.front().first <= now) {
            arrived.push_back(std::move(in_transit_.front().second));
            in_transit_.pop_front();
        }
        return arrived;
    }

    double queued_lines() const { return queued_lines_; }

    double max_queued_lines() const { return max_queued_lines_; }

private:
    Micros sending_time(const Message& message) const {
        return pace_.time_per_message +
               Micros{static_cast<std::int64_t>(message.lines / pace_.lines_per_second * 1e6)};
    }

    ChannelPace pace_;
    std::deque<Message> queue_;
    std::deque<std::pair<Micros, Message>> in_transit_;
    Micros sending_since_{};
    double queued_lines_ = 0;
    double max_queued_lines_ = 0;
};

}  // namespace badgergrade::policy
