#include <cstdio>
#include <fstream>
#include <map>

#include "cli/cli.h"
#include "net/signals.h"

namespace badgergrade::cli {

void end_where_wrong(const std::vector<config::ConfigError>& mistakes, const std::string& before,
                     const std::string& after) {
    if (mistakes.empty()) {
        return;
    }
    for (const auto& mistake : mistakes) {
        std::fprintf(stderr, "%s\n", config::to_text(mistake).c_str());
    }
    throw Failure(kBadSettings, before + std::to_string(mistakes.size()) +
                                    (mistakes.size() == 1 ? " mistake" : " mistakes") + after);
}

std::string read_text(const std::string& path, std::size_t most) {
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        throw std::runtime_error("can't be opened");
    }
    std::string text;
    std::string piece(64 * 1024, '\0');
    while (in.read(piece.data(), static_cast<std::streamsize>(piece.size())), in.gcount() > 0) {
        text.append(piece, 0, static_cast<std::size_t>(in.gcount()));
        if (text.size() > most) {
            throw std::runtime_error("is larger than " + std::to_string(most) + " bytes");
        }
    }
    return text;
}

void write_text(const std::string& path, const std::string& text) {
    std::ofstream out(path, std::ios::binary);
    out << text;
    if (!out.flush()) {
        throw Failure(kNoFile, path + ": can't be written");
    }
}

namespace {
const std::map<std::string, log::Level> kLevels{{"off", log::Level::Off},
                                                {"warning", log::Level::Warning},
                                                {"info", log::Level::Info},
                                                {"debug", log::Level::Debug},
                                                {"error", log::Level::Error}};
}

void add_log_option(CLI::App& command, std::string& level) {
    command.add_option("--log", level, "off, warning, info or debug")
        ->check(CLI::IsMember({"off", "warning", "info", "debug"}))
        ->capture_default_str();
}

log::Level log_level(const std::string& name, log::Level unknown) {
    const auto it = kLevels.find(name);
    return it == kLevels.end() ? unknown : it->second;
}

config::InstanceConfig load_governor(const std::string& path) {
    std::vector<config::ConfigError> mistakes;
    config::IniFile file;
    try {
        file = config::IniFile::load(path, mistakes);
    } catch (const std::runtime_error& wrong) {
        throw Failure(kNoFile, wrong.what());
    }
    auto config = config::read_instance_config(file, mistakes);
    end_where_wrong(mistakes, path + ": ");
    return config;
}

void run_until_signal(net::Loop& loop, const std::function<void()>& on_end) {
    net::Signals(loop, net::Signals::Hangup::Ends).run(on_end, std::chrono::milliseconds(200));
}

}  // namespace badgergrade::cli
