#include "net/signals.h"

#include <csignal>

namespace badgergrade::net {

Signals::Signals(net::Loop& loop, Hangup hangup)
    : loop_(loop),
      signals_(loop.io(), SIGINT, SIGTERM) {
    if (hangup == Hangup::Reloads) {
        signals_.add(SIGHUP);
    }
}

void Signals::run(const std::function<void()>& on_end, Micros pause,
                  const std::function<void()>& on_hangup) {
    base::Timer stop_timer(loop_.clock(), base::ActorId{0});
    const std::function<void()> wait_for_signal = [&] {
        signals_.async_wait([&](const asio::error_code& error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                on_hangup();
                return wait_for_signal();
            }
            on_end();
            stop_timer.after(pause, [this] { loop_.stop(); });
        });
    };
    wait_for_signal();
    loop_.run();
}

}  // namespace badgergrade::net
