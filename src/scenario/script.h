// Reader of scenario scripts: text files with the fleet, the traffic and the faults, one statement
// a line. Errors carry file and line.
//
//   settings governor.ini          settings of the instances, in the script's folder
//   set SECTION KEY VALUE          overrides one setting
//   length 60 s                    of traffic; the run ends when each invocation has a result
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
// The faults and their options: kFaultSpecs in script.cpp, docs/operators/day.md.
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

// A kind of server: `share` of the fleet; `speed` relative to the reference core.
struct MachineKind {
    std::string name;
    double share = 1;
    int cores = 2;
    Range speed{1, 1}, max_queued_per_core{10, 10}, max_connections{200, 200};
};

// `share` of the invocations; CPU time on the reference core, lognormal with this coefficient of
// variation.
struct OperationLoad {
    std::string name;
    double share = 1, work_cv = 0.5;
    Micros mean_work{};
    int line = 0;
};

// In the order of kFaultSpecs (script.cpp), which holds the names in scripts.
enum class FaultKind {
    Crash,
    Hang,
    FastErrors,
    Slow,
    GradualSlowdown,
    Flapping,
    ZoneCut,
    ZoneLoss,
    Burst,
    Shift,
    SlowChannel,
    StreamsBreak,
    InstancesUnreachable,
    InstanceCrash,
    NoisyNeighbour,
    ConnectionLimit,
    ShortAttemptTimeouts,
    StaleList,
    AddServers,
    ResponsesLost,
    SlowLink,
    LoadUnderreported,
    Drain,
    ProxyCrash,
    ProxyStall,
    RegistryHang,
    RegistryRestart,
    RegistryGarbage,
};

struct Fault {
    FaultKind kind = FaultKind::Crash;
    std::string name;  // as in the script
    int line = 0;
    Micros begin{}, duration{};  // since the start; duration 0: permanent
    // Targets: a fraction or a number of them, or the name of one (a zone, a server, a proxy, or an
    // instance by its number).
    double target_fraction = 0;
    int target_count = 0;
    std::string target_name;
    double magnitude = 0;  // slowdown factor, fraction or limit, by kind
    Micros period{}, ramp_time{}, downtime{}, delay{};
    std::string mode;
    bool unlisted = false, with_proxies = false, with_instances = false;
};

struct ScenarioScript {
    std::string name, text;  // name of the file without its suffix; its whole text
    std::uint64_t seed = 1;
    Micros length{};
    config::IniFile settings;
    config::InstanceConfig instance_config;
    int server_count = 0, proxy_count = 0, instance_count = 1;
    double invocations_per_second = 0;
    std::vector<MachineKind> machine_kinds;
    std::vector<OperationLoad> operations;  // in the order of the settings
    int key_count = 1000;
    double key_zipf_exponent = 0.8, cache_saving_fraction = 0;
    Micros cache_ttl{};
    int client_retries = 1;
    Micros client_retry_backoff{};
    double client_attempt_timeout_fraction = 1;
    Range unlist_delay_us{}, list_delay_us{}, update_delay_us{}, reconnect_delay_us{};
    Micros same_zone_delay{}, cross_zone_delay{};
    int startup_table_size = 10;
    std::vector<Fault> faults;
};

// Reads a script and the settings file that it names, which is in the script's folder. Throws
// std::runtime_error if the script cannot be opened.
ScenarioScript load_script(const std::string& path, std::vector<config::ConfigError>& errors);
ScenarioScript parse_script(const std::string& name, const std::string& text,
                            const config::IniFile& settings,
                            std::vector<config::ConfigError>& errors);
// The name of the settings file in a script, or an empty string.
std::string settings_file_name(const std::string& text);

}  // namespace badgergrade::scenario
