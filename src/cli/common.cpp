#include <asio/signal_set.hpp>
#include <csignal>
#include <cstdio>

#include "cli/cli.h"

namespace badgergrade::cli {

config::GovernorConfig load_governor(const std::string& path) {
    std::vector<config::Mistake> mistakes;
    config::IniFile file;
    try {
        file = config::IniFile::load(path, mistakes);
    } catch (const std::runtime_error& wrong) {
        throw Failure(kNoFile, wrong.what());
    }
    auto config = config::read_governor(file, mistakes);
    if (mistakes.empty()) return config;
    for (const auto& mistake : mistakes) std::fprintf(stderr, "%s\n", config::to_text(mistake).c_str());
    throw Failure(kBadSettings, path + ": " + std::to_string(mistakes.size()) +
                                    (mistakes.size() == 1 ? " mistake" : " mistakes"));
}

void run_until_signal(net::Loop& loop, const std::function<void()>& on_signal) {
    asio::signal_set signals(loop.io(), SIGINT, SIGTERM);
    base::Timer end(loop.clock(), base::ActorId{0});
    signals.async_wait([&](const asio::error_code& wrong, int) {
        if (wrong) return;
        on_signal();
        // What is queued for the streams leaves before the loop ends.
        end.after(std::chrono::milliseconds(200), [&loop] { loop.stop(); });
    });
    loop.run();
}

}  // namespace badgergrade::cli
