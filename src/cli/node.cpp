/// The sub-command `node`: one control plane instance on the platform, until a signal ends it.
#include <cstdlib>
#include <memory>

#include "base/real_clock.h"
#include "cli/cli.h"
#include "net/signals.h"
#include "platform_server/config_reload.h"
#include "platform_server/platform_server.h"

namespace badgergrade::cli {
namespace {

/// Largest configuration file, in bytes: one of this size names more servers than a list may.
constexpr std::size_t kMaxConfigBytes = 16 * 1024 * 1024;

/// The value of an environment variable; empty where it is not set.
std::string environment_variable(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

platform::NodeConfig load_config(const std::string& path) {
    return platform::read_config(read_text(path, kMaxConfigBytes));
}

/// The environment describes this very start: it overrides the file.
void apply_environment(platform::NodeConfig& config) {
    if (const auto name = environment_variable("NODE_NAME"); !name.empty()) {
        config.name = name;
    }
    if (const auto listen = environment_variable("NODE_LISTEN"); !listen.empty()) {
        config.listen = net::parse_address(listen);
    }
    if (const auto discovery = environment_variable("NODE_DISCOVERY"); !discovery.empty()) {
        config.discovery = net::parse_address(discovery);
    }
}

/// The configuration to start with. Throws Failure (exit code 2) where it can't be used.
platform::NodeConfig load_start_config(const std::string& path) {
    if (path.empty()) {
        throw Failure(kBadSettings, "NODE_CONFIG is not set: it names the configuration (JSON)");
    }
    try {
        platform::NodeConfig config = load_config(path);
        apply_environment(config);
        return config;
    } catch (const std::runtime_error& error) {
        throw Failure(kBadSettings, path + ": " + error.what());
    } catch (const std::invalid_argument& error) {
        throw Failure(kBadSettings, std::string("NODE_LISTEN or NODE_DISCOVERY: ") + error.what());
    }
}

/// Serves until SIGTERM or SIGINT; SIGHUP reloads. Gives the exit code.
int run_node() {
    net::Loop loop;
    // Signals are held from here on: one that arrives during the start is handled by the loop.
    net::Signals signals(loop, net::Signals::Hangup::Reloads);
    const std::string path = environment_variable("NODE_CONFIG");
    const platform::NodeConfig config = load_start_config(path);
    log::Log log(loop.clock(), log_level(environment_variable("NODE_LOG")), log::Form::Text);
    const Micros wall_ahead = base::wall_now() - loop.clock().now();
    try {
        platform_server::PlatformServer server(loop, base::ActorId{1}, config, log, wall_ahead);
        platform_server::ConfigReload reload(
            loop.clock(), base::ActorId{1}, log::Logger(log, config.name),
            [&] { return load_config(path); },
            [&](const platform::NodeConfig& new_config) { server.reload(new_config); });
        const auto end = [&] {
            reload.stop();
            server.stop();
        };
        // No pause before the exit: proxies connect elsewhere from SIGTERM on, so that what is
        // still queued for them is of no use.
        signals.run(end, Micros{0}, [&] { reload.begin(); });
    } catch (const platform_server::ListenError& error) {
        throw Failure(kCannotListen, error.what());
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
