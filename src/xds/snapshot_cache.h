// What a governor has ordered, put into xDS resources, and the message that each order is for each
// forwarder. No socket and no decision in here.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/network.h"
#include "policy/command.h"
#include "policy/ids.h"
#include "policy/settings.h"
#include "runtime/config_state.h"
#include "xds/resource_names.h"

namespace badgergrade::xds {

// One version of one resource: immutable, shared by all streams that carry it.
struct Resource {
    Type type;
    std::string name;
    std::uint64_t version = 0;  // the order that made it
    std::string bytes;          // the message, without its Any
};

using ResourcePtr = std::shared_ptr<const Resource>;

struct Change {
    Type type;
    std::string name;
    ResourcePtr resource;  // null: removed
};

// What one order is for one forwarder: it leaves the channel whole.
struct Message {
    ProxyId proxy;
    std::uint64_t order = 0;
    Micros ordered{};
    double lines = 0;  // as the channel counts: head, mark and changed lines
    std::optional<ConfigVersion> mark;
    std::vector<Change> changes;
};

struct ServerPlace {
    net::Address address;
    std::string zone;
};

class SnapshotCache {
public:
    SnapshotCache(const Settings& told, const std::vector<std::string>& zones, Micros eject_time);

    // Where a server is reached; an order may name it from then on.
    void place(ServerId server, ServerPlace place);
    const ServerPlace* place_of(ServerId server) const;

    void joined(ProxyId proxy);
    void left(ProxyId proxy);

    // Carries out the table orders among `actions` (lines, clears, bindings, withdrawals, levels,
    // mark) and gives a message for each joined proxy concerned, in the order of their ids. Orders
    // that name what is not known are left out and told in `refused`.
    std::vector<Message> order(Micros now, std::vector<Command> actions,
                               std::vector<std::string>& refused);

    std::uint64_t orders() const { return orders_; }

private:
    // What a proxy was given on its stream.
    struct Held {
        std::set<TableId> laid;  // tables whose cluster this proxy has been given
        bool listener = false;
        std::string routes;  // what its routes were made from
    };

    std::vector<Change> changes_for(const runtime::ProxyUpdate& order);
    std::set<TableId> assignments_of(const runtime::ProxyUpdate& order) const;

    ResourcePtr cluster(TableId table);
    ResourcePtr assignment(TableId table);
    ResourcePtr startup();
    ResourcePtr listener();
    ResourcePtr routes(ProxyId proxy);
    std::string routes_key(ProxyId proxy) const;
    ResourcePtr keep(Type type, std::string name, std::string bytes);

    std::vector<Operation> operations_;
    std::vector<std::string> zones_;
    PickPolicy pick_;
    AdmissionMode admit_;
    double try_factor_;
    int ejects_after_;
    Micros eject_time_;
    std::map<ServerId, ServerPlace> places_;
    runtime::ConfigState book_;
    std::map<ProxyId, Held> proxies_;
    std::uint64_t orders_ = 0;
    // Resources made in this order, so that many proxies share one.
    std::map<std::string, ResourcePtr> made_;
    std::map<TableId, ResourcePtr> clusters_;
    ResourcePtr listener_;
};

}  // namespace badgergrade::xds
