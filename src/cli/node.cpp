#include <cstdlib>
#include <memory>

#include "base/real_clock.h"
#include "cli/cli.h"
#include "net/signals.h"
#include "platform_server/config_reload.h"
#include "platform_server/platform_server.h"

namespace badgergrade::cli {
namespace {

// A configuration of this size names more servers than a list may.
constexpr std::size_t kConfigMost = 16 * 1024 * 1024;

std::string variable(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

platform::NodeConfig load(const std::string& path) {
    return platform::read_config(read_text(path, kConfigMost));
}

// What the environment says of this start stands above the file.
platform::NodeConfig at_start(const std::string& path) {
    if (path.empty()) {
        throw Failure(kBadSettings, "NODE_CONFIG is not set: it names the configuration (JSON)");
    }
    try {
        platform::NodeConfig config = load(path);
        if (const auto name = variable("NODE_NAME"); !name.empty()) {
            config.name = name;
        }
        if (const auto listen = variable("NODE_LISTEN"); !listen.empty()) {
            config.listen = net::parse_address(listen);
        }
        if (const auto discovery = variable("NODE_DISCOVERY"); !discovery.empty()) {
            config.discovery = net::parse_address(discovery);
        }
        return config;
    } catch (const std::runtime_error& wrong) {
        throw Failure(kBadSettings, path + ": " + wrong.what());
    } catch (const std::invalid_argument& wrong) {
        throw Failure(kBadSettings, std::string("NODE_LISTEN or NODE_DISCOVERY: ") + wrong.what());
    }
}

int run_node() {
    net::Loop loop;
    net::Signals signals(loop, net::Signals::Hangup::Reloads);
    const std::string path = variable("NODE_CONFIG");
    const platform::NodeConfig config = at_start(path);
    log::Log log(loop.clock(), log_level(variable("NODE_LOG")), log::Form::Text);
    const Micros wall_ahead = base::wall_now() - loop.clock().now();
    try {
        platform_server::PlatformServer service(loop, base::ActorId{1}, config, log, wall_ahead);
        platform_server::ConfigReload reload(
            loop.clock(), base::ActorId{1}, log::Logger(log, config.name),
            [&] { return load(path); },
            [&](const platform::NodeConfig& fresh) { service.reload(fresh); });
        // Proxies go elsewhere from SIGTERM on: nothing that is queued for them is worth a pause.
        signals.run(
            [&] {
                reload.stop();
                service.stop();
            },
            Micros{0}, [&] { reload.begin(); });
    } catch (const platform_server::CannotListen& wrong) {
        throw Failure(kCannotListen, wrong.what());
    }
    log.flush();
    return kGood;
}

}  // namespace

void add_node(CLI::App& app, Command& chosen) {
    auto* sub = app.add_subcommand(
        "node",
        "Run a governor on the platform: NODE_CONFIG, NODE_NAME, NODE_LISTEN, NODE_DISCOVERY");
    sub->callback([&chosen] { chosen = run_node; });
}

}  // namespace badgergrade::cli
