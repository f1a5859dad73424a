/// Reloads the configuration file on SIGHUP.
///
/// The signal may arrive while the file is being replaced (half written, or missing for a moment),
/// and no second signal need follow. A read that fails is therefore retried every 50 ms for 3 s.
/// The previous configuration stays in force until a read succeeds.
#pragma once

#include <exception>
#include <functional>
#include <string>
#include <utility>

#include "base/clock.h"
#include "log/log.h"
#include "platform/config.h"

namespace badgergrade::platform_server {

/// Retries a reload until the file is valid or the time limit is reached. Not thread-safe: used on
/// the loop's thread only.
class ConfigReload {
public:
    /// Reads and validates the file. Throws a std::exception whose what() gives the reason.
    using Read = std::function<platform::NodeConfig()>;
    /// Called once per successful reload, on the loop's thread. Must not destroy this object.
    using Apply = std::function<void(const platform::NodeConfig&)>;

    ConfigReload(base::Clock& clock, base::ActorId actor, log::Logger log, Read read, Apply apply)
        : clock_(clock),
          log_(std::move(log)),
          read_(std::move(read)),
          apply_(std::move(apply)),
          retry_timer_(clock, actor) {}

    /// Handles one SIGHUP: reads the file immediately. A signal during the retries restarts their
    /// time limit.
    void begin() {
        retry_deadline_ = clock_.now() + kRetryPeriod;
        failure_logged_ = false;
        attempt();
    }

    /// Cancels the retries.
    void stop() { retry_timer_.stop(); }

private:
    /// How long a failed read is retried. Longer than the replacement of a file takes.
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
                    {"kept", "the previous configuration"},
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
