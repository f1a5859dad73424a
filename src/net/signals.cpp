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
    base::Timer end(loop_.clock(), base::ActorId{0});
    const std::function<void()> wait = [&] {
        signals_.async_wait([&](const asio::error_code& wrong, int signal) {
            if (wrong) {
                return;
            }
            if (signal == SIGHUP) {
                on_hangup();
                return wait();
            }
            on_end();
            end.after(pause, [this] { loop_.stop(); });
        });
    };
    wait();
    loop_.run();
}

}  // namespace badgergrade::net
