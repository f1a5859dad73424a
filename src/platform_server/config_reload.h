// Reads the configuration again on SIGHUP. The file may be in the middle of its replacement (half
// of it, or none for a moment) and no second signal need follow: what can't be read is tried again
// for a while, and the one before stays.
#pragma once

#include <exception>
#include <functional>
#include <string>
#include <utility>

#include "base/clock.h"
#include "log/log.h"
#include "platform/config.h"

namespace badgergrade::platform_server {

class ConfigReload {
public:
    using Read = std::function<platform::NodeConfig()>;  // throws what says why it can't be read
    using Apply = std::function<void(const platform::NodeConfig&)>;

    ConfigReload(base::Clock& clock, base::ActorId actor, log::Logger log, Read read, Apply apply)
        : clock_(clock),
          log_(std::move(log)),
          read_(std::move(read)),
          apply_(std::move(apply)),
          again_(clock, actor) {}

    // A signal: the file is read now; one that comes while it is tried again begins the while anew.
    void begin() {
        until_ = clock_.now() + kTryFor;
        told_ = false;
        attempt();
    }

    void stop() { again_.stop(); }

private:
    static constexpr base::Micros kTryFor = std::chrono::seconds(3),
                                  kTryAgain = std::chrono::milliseconds(50);

    void attempt() {
        again_.stop();
        platform::NodeConfig config;
        try {
            config = read_();
        } catch (const std::exception& wrong) {
            if (!std::exchange(told_, true)) {
                log_.error("config.refused",
                           {{"why", wrong.what()},
                            {"kept", "the one before"},
                            {"again_for_ms", kTryFor / std::chrono::milliseconds(1)}});
            }
            if (clock_.now() < until_) {
                again_.after(kTryAgain, [this] { attempt(); });
            }
            return;
        }
        apply_(config);
    }

    base::Clock& clock_;
    log::Logger log_;
    Read read_;
    Apply apply_;
    base::Timer again_;
    base::Micros until_{};
    bool told_ = false;
};

}  // namespace badgergrade::platform_server
