#include <asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

#include "base/real_clock.h"
#include "cli/cli.h"
#include "node/service.h"

namespace badgergrade::cli {
namespace {

// A configuration of this size names more servers than a list may.
constexpr std::size_t kConfigMost = 16 * 1024 * 1024;

std::string variable(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

// In pieces: a buffer of the largest size, taken at once, was most of the memory that a small governor may have.
std::string text_of(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw platform::Unreadable("can't be opened");
    std::string text, piece(64 * 1024, '\0');
    while (in.read(piece.data(), static_cast<std::streamsize>(piece.size())), in.gcount() > 0) {
        text.append(piece, 0, static_cast<std::size_t>(in.gcount()));
        if (text.size() > kConfigMost) throw platform::Unreadable("is larger than 16 MiB");
    }
    return text;
}

platform::NodeConfig load(const std::string& path) { return platform::read_config(text_of(path)); }

// What the environment says of this start stands above the file.
platform::NodeConfig at_start(const std::string& path) {
    if (path.empty()) throw Failure(kBadSettings, "NODE_CONFIG is not set: it names the configuration (JSON)");
    try {
        platform::NodeConfig config = load(path);
        if (const auto name = variable("NODE_NAME"); !name.empty()) config.name = name;
        if (const auto listen = variable("NODE_LISTEN"); !listen.empty()) config.listen = net::parse_address(listen);
        if (const auto discovery = variable("NODE_DISCOVERY"); !discovery.empty()) config.discovery = net::parse_address(discovery);
        return config;
    } catch (const platform::Unreadable& wrong) {
        throw Failure(kBadSettings, path + ": " + wrong.what());
    } catch (const std::invalid_argument& wrong) {
        throw Failure(kBadSettings, std::string("NODE_LISTEN or NODE_DISCOVERY: ") + wrong.what());
    }
}

// SIGHUP reads the configuration again, SIGTERM and SIGINT end.
class Signals {
public:
    Signals(net::Loop& loop, node::Service& service, log::Voice log, std::string path)
        : loop_(loop), service_(service), log_(std::move(log)), path_(std::move(path)), signals_(loop.io(), SIGINT, SIGTERM, SIGHUP) {
        wait();
    }

private:
    void wait() {
        signals_.async_wait([this](const asio::error_code& wrong, int signal) {
            if (wrong) return;
            if (signal != SIGHUP) {
                service_.stop();
                return loop_.stop();
            }
            reload();
            wait();
        });
    }
    void reload() {
        try {
            service_.reload(load(path_));
        } catch (const platform::Unreadable& wrong) {
            log_.error("config.refused", {{"file", path_}, {"why", wrong.what()}, {"kept", "the one before"}});
        }
    }

    net::Loop& loop_;
    node::Service& service_;
    log::Voice log_;
    std::string path_;
    asio::signal_set signals_;
};

// A level that is not known is no reason not to serve.
log::Level level_of(const std::string& name) {
    const std::pair<const char*, log::Level> levels[] = {{"debug", log::Level::Debug}, {"warning", log::Level::Warning}, {"error", log::Level::Error}};
    for (const auto& [known, level] : levels)
        if (name == known) return level;
    return log::Level::Info;
}

int run_node() {
    const std::string path = variable("NODE_CONFIG");
    const platform::NodeConfig config = at_start(path);
    net::Loop loop;
    log::Log log(loop.clock(), level_of(variable("NODE_LOG")), log::Form::Text);
    const Micros wall_ahead = base::wall_now() - loop.clock().now();
    std::unique_ptr<node::Service> service;
    try {
        service = std::make_unique<node::Service>(loop, base::ActorId{1}, config, log, wall_ahead);
    } catch (const std::system_error& wrong) {
        throw Failure(kCannotListen, "can't listen on " + net::to_text(config.listen) + ": " + wrong.code().message());
    }
    Signals signals(loop, *service, log::Voice(log, config.name), path);
    loop.run();
    log.flush();
    return kGood;
}

}  // namespace

void add_node(CLI::App& app, Command& chosen) {
    auto* sub = app.add_subcommand("node", "Run a governor on the platform: NODE_CONFIG, NODE_NAME, NODE_LISTEN, NODE_DISCOVERY");
    sub->callback([&chosen] { chosen = run_node; });
}

}  // namespace badgergrade::cli
