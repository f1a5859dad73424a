// What the sub-commands share: exit codes by kind, one line a failure, loading of settings,
// signals.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <stdexcept>
#include <string>

#include "config/instance_config.h"
#include "log/log.h"
#include "net/network.h"

namespace badgergrade::cli {

// 0 all went well; the others tell what kind of thing went wrong.
enum Exit {
    kGood = 0,
    kRuleBroken = 1,
    kBadSettings = 2,
    kCannotListen = 3,
    kNoFile = 4,
    kNoDescriptors = 5,
    kInternal = 70
};

// Ends the command with one line and this code.
struct Failure : std::runtime_error {
    Failure(Exit code, const std::string& text) : std::runtime_error(text), code(code) {}

    Exit code;
};

// Tells each mistake and ends the command where there is any; `before` and `after` stand around
// their number.
void end_where_wrong(const std::vector<config::ConfigError>& mistakes, const std::string& before,
                     const std::string& after = {});
// A whole file, read in pieces: a buffer of the largest size, taken at once, was most of the memory
// that a small governor may have. Throws std::runtime_error where it can't be opened or is larger
// than `most` bytes.
std::string read_text(const std::string& path, std::size_t most = std::string::npos);
// Ends the command where the file can't be written.
void write_text(const std::string& path, const std::string& text);
// --log of days and replays, and the level that it names.
void add_log_option(CLI::App& command, std::string& level);
log::Level log_level(const std::string& name, log::Level unknown = log::Level::Info);

config::InstanceConfig load_governor(const std::string& path);

// Runs the loop until a signal to end comes; `on_end` ends what runs in order, then what is queued
// has a moment to leave.
void run_until_signal(net::Loop& loop, const std::function<void()>& on_end);

using Command = std::function<int()>;
void add_governor(CLI::App& app, Command& chosen);
void add_check_config(CLI::App& app, Command& chosen);
void add_standin(CLI::App& app, Command& chosen);
void add_day(CLI::App& app, Command& chosen);
void add_node(CLI::App& app, Command& chosen);
void add_replay(CLI::App& app, Command& chosen);

}  // namespace badgergrade::cli
