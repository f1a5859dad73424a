/// Process signals: SIGINT and SIGTERM shut the process down in an orderly way, SIGHUP can reload
/// its settings.
#pragma once

#include <asio/signal_set.hpp>
#include <functional>

#include "net/network.h"

namespace badgergrade::net {

/// Handles the signals on the loop. Constructed before everything else: signals that arrive before
/// run() are pending until then, so that none kills a process that is still starting or has just
/// answered its first peer.
class Signals {
public:
    /// Effect of SIGHUP: it ends the process (the default action of the system), or reloads the
    /// settings.
    enum class Hangup { Ends, Reloads };
    Signals(Loop& loop, Hangup hangup);

    /// Runs the loop until SIGINT or SIGTERM arrives. Then calls `on_end`, which shuts down, and
    /// stops the loop after `pause`, in which the bytes that are queued for the streams are sent.
    /// `on_hangup` is called for each SIGHUP.
    void run(const std::function<void()>& on_end, Micros pause,
             const std::function<void()>& on_hangup = {});

private:
    Loop& loop_;
    asio::signal_set signals_;
};

}  // namespace badgergrade::net
