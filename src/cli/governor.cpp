/// @file
/// The sub-commands `governor` (runs a control plane instance) and `check-config`.
#include <cstdio>
#include <utility>

#include "base/real_clock.h"
#include "cli/cli.h"
#include "replay/recorder.h"
#include "xds_server/xds_server.h"

namespace badgergrade::cli {
namespace {

/// How often the recording is written to its file. A crash loses at most this much of it.
constexpr std::chrono::seconds kFlushInterval{5};

/// Records what the control plane received and decided, and logs when the recording loses anything.
class GovernorRecording {
public:
    GovernorRecording(base::Clock& clock, log::Log& log, const config::InstanceConfig& config,
                      const std::string& settings, const std::string& path)
        : log_(log, config.id),
          writer_(recording::open_file_sink(path),
                  replay::make_header(config, settings, clock.now(), base::wall_time_text())),
          recorder_(writer_),
          flush_timer_(clock, base::ActorId{0}) {
        flush();
    }

    void attach_to(xds_server::XdsServer& server) { server.set_observer(recorder_); }

    void finish() {
        flush_timer_.stop();
        writer_.finish();
        const auto figures = writer_.stats();
        log_.info("recording.ended", {{"records", figures.records},
                                      {"bytes", figures.bytes},
                                      {"lost", figures.lost_records}});
    }

private:
    void flush() {
        flush_timer_.after(kFlushInterval, [this] { flush(); });
        writer_.flush();
        const auto figures = writer_.stats();
        if (!figures.error.empty() && !std::exchange(has_logged_failure_, true)) {
            log_.error("recording.failed", {{"why", figures.error}});
        }
        if (figures.lost_records > std::exchange(logged_lost_records_, figures.lost_records)) {
            log_.warn("recording.lost", {{"records", figures.lost_records}});
        }
    }

    log::Logger log_;
    recording::Writer writer_;
    replay::Recorder recorder_;
    base::Timer flush_timer_;
    std::uint64_t logged_lost_records_ = 0;
    bool has_logged_failure_ = false;
};

int run_governor(const std::string& path, const std::string& record) {
    const auto config = load_governor(path);
    net::Loop loop;
    log::Log log(loop.clock(), static_cast<log::Level>(config.log_level),
                 config.log_json ? log::Form::Json : log::Form::Text);
    std::unique_ptr<GovernorRecording> recording;
    if (!record.empty()) {
        try {
            recording = std::make_unique<GovernorRecording>(loop.clock(), log, config,
                                                            read_text(path), record);
        } catch (const std::runtime_error& error) {
            throw Failure(kNoFile, error.what());
        }
    }
    std::unique_ptr<xds_server::XdsServer> server;
    try {
        server = std::make_unique<xds_server::XdsServer>(loop, base::ActorId{1}, config, log,
                                                         base::wall_time_text());
    } catch (const std::system_error& error) {
        // No descriptors left is not a fault of the address: it has an exit code of its own.
        if (error.code().value() == EMFILE || error.code().value() == ENFILE) {
            throw;
        }
        throw Failure(kCannotListen,
                      "can't listen on " + config.xds_address + ": " + error.code().message());
    }
    if (recording) {
        recording->attach_to(*server);
    }
    run_until_signal(loop, [&] { server->stop(); });
    server.reset();
    if (recording) {
        recording->finish();
    }
    log.flush();
    return kGood;
}

int check_config(const std::string& path) {
    const auto config = load_governor(path);
    std::printf("%s: good: governor %s, %d zones, %zu operations, %d forwarders\n", path.c_str(),
                config.id.c_str(), config.settings.zone_count, config.settings.operations.size(),
                config.settings.proxy_count);
    return kGood;
}

}  // namespace

void add_governor(CLI::App& app, Command& chosen) {
    auto* sub = app.add_subcommand("governor", "Run a governor until SIGTERM or SIGINT");
    const auto path = std::make_shared<std::string>();
    sub->add_option("--config", *path, "Settings (INI)")->required();
    const auto record = std::make_shared<std::string>();
    sub->add_option("--record", *record, "Write down all that it hears and decides");
    sub->callback([path, record, &chosen] {
        chosen = [path, record] {
            return run_governor(*path, *record);
        };
    });
}

void add_check_config(CLI::App& app, Command& chosen) {
    auto* sub = app.add_subcommand("check-config",
                                   "Check settings; one line a mistake, exit 2 where there is any");
    const auto path = std::make_shared<std::string>();
    sub->add_option("FILE", *path, "Settings (INI)")->required();
    sub->callback([path, &chosen] {
        chosen = [path] {
            return check_config(*path);
        };
    });
}

}  // namespace badgergrade::cli
