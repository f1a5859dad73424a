// Signals that end the process in order, or ask it to read its settings again.
#pragma once

#include <asio/signal_set.hpp>
#include <functional>

#include "net/network.h"

namespace badgergrade::net {

// Made before anything else: what comes before run() waits until then, so that no signal kills a
// process that is still getting ready, or one that has just answered its first peer.
class Signals {
public:
    enum class Hangup { Ends, Reloads };
    Signals(Loop& loop, Hangup hangup);

    // Runs the loop until a signal to end comes; `on_end` ends what runs in order, then the loop
    // stops: after the pause in which what is queued for the streams leaves.
    void run(const std::function<void()>& on_end, Micros pause,
             const std::function<void()>& on_hangup = {});

private:
    Loop& loop_;
    asio::signal_set signals_;
};

}  // namespace badgergrade::net
