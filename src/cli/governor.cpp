#include <cstdio>

#include "base/real_clock.h"
#include "cli/cli.h"
#include "governor/service.h"

namespace badgergrade::cli {
namespace {

int run_governor(const std::string& path) {
    const auto config = load_governor(path);
    net::Loop loop;
    log::Log log(loop.clock(), static_cast<log::Level>(config.log_level), config.log_json ? log::Form::Json : log::Form::Text);
    std::unique_ptr<governor::Service> service;
    try {
        service = std::make_unique<governor::Service>(loop, base::ActorId{1}, config, log, base::wall_time_text());
    } catch (const std::system_error& wrong) {
        if (wrong.code().value() == EMFILE || wrong.code().value() == ENFILE) throw;
        throw Failure(kCannotListen, "can't listen on " + config.xds_address + ": " + wrong.code().message());
    }
    run_until_signal(loop, [&] { service->stop(); });
    log.flush();
    return kGood;
}

int check_config(const std::string& path) {
    const auto config = load_governor(path);
    std::printf("%s: good: governor %s, %d zones, %zu operations, %d forwarders\n", path.c_str(), config.id.c_str(),
                config.told.zones, config.told.operations.size(), config.told.proxies);
    return kGood;
}

}  // namespace

void add_governor(CLI::App& app, Command& chosen) {
    auto* sub = app.add_subcommand("governor", "Run a governor until SIGTERM or SIGINT");
    const auto path = std::make_shared<std::string>();
    sub->add_option("--config", *path, "Settings (INI)")->required();
    sub->callback([path, &chosen] { chosen = [path] { return run_governor(*path); }; });
}

void add_check_config(CLI::App& app, Command& chosen) {
    auto* sub = app.add_subcommand("check-config", "Check settings; one line a mistake, exit 2 where there is any");
    const auto path = std::make_shared<std::string>();
    sub->add_option("FILE", *path, "Settings (INI)")->required();
    sub->callback([path, &chosen] { chosen = [path] { return check_config(*path); }; });
}

}  // namespace badgergrade::cli
