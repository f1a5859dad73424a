/// The configuration versions that were sent on one stream and that its proxy has not acknowledged.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "policy/ids.h"

namespace badgergrade::platform_server {

/// A bounded queue of unacknowledged versions, in the order in which they were sent. Version
/// numbers wrap, so that the smallest number need not be the oldest one.
class PendingAcks {
public:
    enum class Answer {
        Awaited,  ///< The version was pending; it no longer is.
        Late,     ///< Not pending, but it may be one that was dropped from the full queue.
        Unknown,  ///< Never sent on this stream, or acknowledged already.
    };

    /// Records that `version` was sent. The oldest pending version is dropped where there are too
    /// many: a proxy that never acknowledges must not make memory grow.
    void on_sent(ConfigVersion version) {
        pending_.push_back(version);
        if (pending_.size() > kMaxPending) {
            pending_.pop_front();
            dropped_any_ = true;
        }
    }

    /// Matches an acknowledgement. Each version is acknowledged once.
    Answer on_acknowledged(ConfigVersion version) {
        const auto it = std::find(pending_.begin(), pending_.end(), version);
        if (it == pending_.end()) {
            return dropped_any_ ? Answer::Late : Answer::Unknown;
        }
        pending_.erase(it);
        return Answer::Awaited;
    }

    /// Versions sent and not acknowledged.
    std::size_t size() const { return pending_.size(); }

private:
    /// Versions remembered per stream: far more than a proxy that works leaves open.
    static constexpr std::size_t kMaxPending = 256;

    std::deque<ConfigVersion> pending_;
    bool dropped_any_ = false;
};

}  // namespace badgergrade::platform_server
