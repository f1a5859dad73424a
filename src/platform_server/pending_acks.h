// The marks that were written on a stream and are not answered yet: so many, the ones written first
// are forgotten first. Numbers come round again, so that the smallest need not be the oldest.
#pragma once

#include <algorithm>
#include <deque>

#include "policy/ids.h"

namespace badgergrade::platform_server {

class PendingAcks {
public:
    enum class Answer { Awaited, Late, Unknown };

    void written(ConfigVersion mark) {
        open_.push_back(mark);
        if (open_.size() > kMost) {
            open_.pop_front();
            forgot_ = true;
        }
    }

    // A mark is answered once. Where some were forgotten, an answer to none that is known may be a
    // late one.
    Answer answered(ConfigVersion mark) {
        const auto it = std::find(open_.begin(), open_.end(), mark);
        if (it == open_.end()) {
            return forgot_ ? Answer::Late : Answer::Unknown;
        }
        open_.erase(it);
        return Answer::Awaited;
    }

    std::size_t size() const { return open_.size(); }

private:
    static constexpr std::size_t kMost = 256;
    std::deque<ConfigVersion> open_;
    bool forgot_ = false;
};

}  // namespace badgergrade::platform_server
