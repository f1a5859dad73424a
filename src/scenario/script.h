// A scripted day: a small text file with the fleet, the traffic, and at what second which trouble.
//
//   settings governor.ini          the governors' settings, beside the script
//   set SECTION KEY VALUE          changes one of them for this day
//   length 60 s                    of traffic; the day ends when all of it is answered or given up
//   workers 24 | forwarders 20 | governors 1 | rate 130
//   kind NAME share 52% cores 2 speed 1.3..1.7 queue 5..16 connections 130..270
//   operation NAME share 54% work 155 ms cv 0.6
//   keys 2000 zipf 0.8 gain 20% kept 5 s
//   clients retries 1 wait 100 ms try-share 80%
//   list gone 1.6..4.8 s new 0.3..2.4 s
//   way same 0.2 ms cross 0.6 ms orders 80..370 ms
//   redial 0.6..2.3 s
//   startup 10                     servers in a start-up table
//   at 10 s crash workers 25% for 12 s
//
// The troubles and what follows them stand in script.cpp (kTroubles) and docs/operators/day.md.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/ini.h"
#include "config/instance_config.h"

namespace badgergrade::scenario {

using config::Micros;

struct Range {
    double low = 0, high = 0;
};

struct MachineKind {
    std::string name;
    double share = 1;
    int cores = 2;
    Range speed{1, 1}, queue_per_core{10, 10}, connections{200, 200};
};

struct OperationLoad {
    std::string name;
    double share = 1, cv = 0.5;
    Micros work{};
    int line = 0;
};

enum class Kind {
    Crash,
    Hang,
    FastErrors,
    Slow,
    Ageing,
    Flapping,
    ZoneCut,
    ZoneLoss,
    Burst,
    Shift,
    SlowChannel,
    StreamsBreak,
    GovernorsUnreachable,
    GovernorCrash,
    Neighbour,
    ConnSqueeze,
    GiveUp,
    WrongList,
    Grow,
    AnswersLost,
    SlowLink,
    CountersFalling,
    Drain,
    ForwarderCrash,
    ForwarderStall,
    RegistryHang,
    RegistryRestart,
    RegistryGarbage,
};

struct Trouble {
    Kind kind = Kind::Crash;
    std::string name;  // as written
    int line = 0;
    Micros at{}, lasts{};  // lasts 0: for good
    // Whom: a part of them, a number of them, or one by name (a zone, a worker, a forwarder, a
    // governor).
    double part = 0;
    int count = 0;
    std::string one;
    double by = 0;  // size: times slower, part, limit ...
    Micros turn{}, over{}, down{}, wait{};
    std::string how;
    bool unlisted = false, with_forwarders = false, with_governors = false;
};

struct DayScript {
    std::string name, text;  // the script as read
    std::uint64_t seed = 1;
    Micros length{};
    config::IniFile settings;
    config::InstanceConfig governor;
    int workers = 0, forwarders = 0, governors = 1;
    double rate = 0;
    std::vector<MachineKind> kinds;
    std::vector<OperationLoad> operations;  // in the order of the settings
    int keys = 1000;
    double key_zipf = 0.8, key_gain = 0;
    Micros key_kept{};
    int client_retries = 1;
    Micros client_wait{};
    double client_try_share = 1;
    Range list_gone_us{}, list_new_us{}, orders_way_us{}, redial_us{};
    Micros same_way{}, cross_way{};
    int startup = 10;
    std::vector<Trouble> troubles;
};

// Reads a script; settings are loaded from beside it. Mistakes carry file and line.
DayScript load_script(const std::string& path, std::vector<config::ConfigError>& mistakes);
DayScript parse_script(const std::string& name, const std::string& text,
                       const config::IniFile& settings, std::vector<config::ConfigError>& mistakes);
// The settings file that a script names; empty where it names none.
std::string settings_of(const std::string& text);

}  // namespace badgergrade::scenario
