// A governor's configuration on the platform, and discovery's answers: JSON into the module's
// types. No I/O.
//
// The settings are the object that the simulator sends at the start, with its names and units
// (milliseconds); they are put into that message's own form and read by the same reader.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/network.h"
#include "policy/event.h"
#include "policy/ids.h"
#include "policy/settings.h"

namespace badgergrade::platform {

// What is wrong with a configuration or an answer, in plain words.
struct ParseError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Words on the sockets behind the module's numbers: the place in the list is the number.
struct Names {
    std::vector<std::string> zones, operations;
    std::vector<std::string> load_columns;  // as the platform's reports name them
    int proxies = 0;
};

struct Instance {
    std::string id, zone;
    ServerState state = ServerState::Ready;
    double weight = 1;
    double started_ms = 0;  // Unix time; 0: long ago
};

struct InstanceList {
    std::uint64_t generation = 0;
    bool whole = false;
    std::vector<Instance> instances;
    std::vector<std::string> left_out;  // entries that can't be read, each with its reason
    std::vector<std::string>
        unreadable{};  // ids of those that have one: not named as gone by a whole list
};

struct NodeConfig {
    std::string name;
    net::Address listen, discovery;
    std::uint64_t seed = 0;
    int sockets = 1024;
    Micros batch{};
    Settings settings;
    Names names;
    InstanceList known;
};

// Throw ParseError.
NodeConfig read_config(const std::string& json);
InstanceList read_instances(const std::string& json);

}  // namespace badgergrade::platform
