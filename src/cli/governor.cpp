#include <cstdio>
#include <utility>

#include "base/real_clock.h"
#include "cli/cli.h"
#include "replay/recorder.h"
#include "xds_server/xds_server.h"

namespace badgergrade::cli {
namespace {

// A recording beside the service: kept near the present, and told of when it loses anything.
class GovernorRecording {
public:
    GovernorRecording(base::Clock& clock, log::Log& log, const config::GovernorConfig& config,
                      const std::string& settings, const std::string& path)
        : log_(log, config.id),
          writer_(recording::file_sink(path),
                  replay::header_of(config, settings, clock.now(), base::wall_time_text())),
          recorder_(writer_),
          look_(clock, base::ActorId{0}) {
        look();
    }

    void watch(xds_server::XdsServer& service) { service.watch(recorder_); }

    void finish() {
        look_.stop();
        writer_.finish();
        const auto figures = writer_.figures();
        log_.info("recording.ended",
                  {{"records", figures.records}, {"bytes", figures.bytes}, {"lost", figures.lost}});
    }

private:
    void look() {
        look_.after(std::chrono::seconds(5), [this] { look(); });
        // What was met until now is written, so that a crash loses a few seconds at most.
        writer_.flush();
        const auto figures = writer_.figures();
        if (!figures.failed.empty() && !std::exchange(failed_, true)) {
            log_.error("recording.failed", {{"why", figures.failed}});
        }
        if (figures.lost > std::exchange(lost_, figures.lost)) {
            log_.warn("recording.lost", {{"records", figures.lost}});
        }
    }

    log::Logger log_;
    recording::Writer writer_;
    replay::Recorder recorder_;
    base::Timer look_;
    std::uint64_t lost_ = 0;
    bool failed_ = false;
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
        } catch (const std::runtime_error& wrong) {
            throw Failure(kNoFile, wrong.what());
        }
    }
    std::unique_ptr<xds_server::XdsServer> service;
    try {
        service = std::make_unique<xds_server::XdsServer>(loop, base::ActorId{1}, config, log,
                                                          base::wall_time_text());
    } catch (const std::system_error& wrong) {
        if (wrong.code().value() == EMFILE || wrong.code().value() == ENFILE) {
            throw;
        }
        throw Failure(kCannotListen,
                      "can't listen on " + config.xds_address + ": " + wrong.code().message());
    }
    if (recording) {
        recording->watch(*service);
    }
    run_until_signal(loop, [&] { service->stop(); });
    service.reset();
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
