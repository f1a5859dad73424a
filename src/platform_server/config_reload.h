/// Reads the configuration file again on SIGHUP.
///
/// Failure guarded against: the file may be in the middle of its replacement (half written, or
/// missing for a moment), and no second signal need follow. A file that can't be read is therefore
/// read again for a while; the previous configuration stays in force until a read succeeds.
#pragma once

#include <exception>
#include <functional>
#include <string>
#include <utility>

#include "base/clock.h"
#include "log/log.h"
#include "platform/config.h"

namespace badgergrade::platform_server {

/// Retries a reload until the file can be read or the time is up. Used on the loop's thread only.
class ConfigReload {
public:
    /// Reads and checks the file; throws a std::exception whose text says why it can't.
    using Read = std::function<platform::NodeConfig()>;
    /// Called once per successful reload, on the loop's thread. Must not destroy this object.
    using Apply = std::function<void(const platform::NodeConfig&)>;

    ConfigReload(base::Clock& clock, base::ActorId actor, log::Logger log, Read read, Apply apply)
        : clock_(clock),
          log_(std::move(log)),
          read_(std::move(read)),
          apply_(std::move(apply)),
          retry_timer_(clock, actor) {}

    /// Handles one SIGHUP: reads the file at once. A signal during the retries starts their time
    /// limit anew.
    void begin() {
        retry_deadline_ = clock_.now() + kRetryPeriod;
        failure_logged_ = false;
        attempt();
    }

    /// Ends the retries.
    void stop() { retry_timer_.stop(); }

private:
    /// How long an unreadable file is read again: longer than any replacement of a file takes.
    static constexpr base::Micros kRetryPeriod = std::chrono::seconds(3);
    /// Pause between two reads.
    static constexpr base::Micros kRetryInterval = std::chrono::milliseconds(50);

    void attempt() {
        retry_timer_.stop();
        platform::NodeConfig config;
        try {
            config = read_();
        } catch (const std::exception& error) {
            log_failure_once(error);
            if (clock_.now() < retry_deadline_) {
                retry_timer_.after(kRetryInterval, [this] { attempt(); });
            }
            return;
        }
        apply_(config);
    }

    void log_failure_once(const std::exception& error) {
        if (std::exchange(failure_logged_, true)) {
            return;
        }
        log_.error("config.refused",
                   {{"why", error.what()},
                    {"kept", "the one before"},
                    {"again_for_ms", kRetryPeriod / std::chrono::milliseconds(1)}});
    }

    base::Clock& clock_;
    log::Logger log_;
    Read read_;
    Apply apply_;
    base::Timer retry_timer_;
    base::Micros retry_deadline_{};
    bool failure_logged_ = false;
};

}  // namespace badgergrade::platform_server
