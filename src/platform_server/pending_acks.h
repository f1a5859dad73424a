/// Tracks the configuration versions that were sent on one connection and that its proxy has not
/// acknowledged yet.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "policy/ids.h"

namespace badgergrade::platform_server {

/// A bounded queue of unacknowledged versions in the order in which they were sent. Version numbers
/// wrap around, so that the smallest number is not always the oldest version.
class PendingAcks {
public:
    enum class Answer {
        Awaited,  ///< The version was pending and has been removed.
        Late,     ///< Not pending, but possibly one that was dropped from the full queue.
        Unknown,  ///< Never sent on this connection, or acknowledged already.
    };

    /// Records that `version` was sent. Drops the oldest pending version if there are too many, so
    /// that a proxy that never acknowledges uses bounded memory.
    void on_sent(ConfigVersion version) {
        pending_.push_back(version);
        if (pending_.size() > kMaxPending) {
            pending_.pop_front();
            dropped_any_ = true;
        }
    }

    /// Matches an acknowledgement with a pending version. Each version can be acknowledged once.
    Answer on_acknowledged(ConfigVersion version) {
        const auto it = std::find(pending_.begin(), pending_.end(), version);
        if (it == pending_.end()) {
            return dropped_any_ ? Answer::Late : Answer::Unknown;
        }
        pending_.erase(it);
        return Answer::Awaited;
    }

    /// Number of versions that were sent and not acknowledged.
    std::size_t size() const { return pending_.size(); }

private:
    /// Limit of pending versions per connection: far more than a working proxy leaves
    /// unacknowledged.
    static constexpr std::size_t kMaxPending = 256;

    std::deque<ConfigVersion> pending_;
    bool dropped_any_ = false;  // a version was dropped from the full queue
};

}  // namespace badgergrade::platform_server
