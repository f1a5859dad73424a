// What a governor has ordered, put into xDS resources, and the message that each order is for each forwarder.
// No socket and no decision in here.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/network.h"
#include "types.h"
#include "xds/names.h"

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
    std::optional<MarkId> mark;
    std::vector<Change> changes;
};

struct ServerPlace {
    net::Address address;
    std::string zone;
};

class Board {
public:
    Board(const Settings& told, const std::vector<std::string>& zones, Micros eject_time);

    // Where a server is reached; an order may name it from then on.
    void place(ServerId server, ServerPlace place);
    const ServerPlace* place_of(ServerId server) const;

    void joined(ProxyId proxy);
    void left(ProxyId proxy);

    // Carries out the table orders among `actions` (lines, clears, bindings, withdrawals, levels, mark) and gives
    // a message for each joined proxy concerned, in the order of their ids. Orders that name what is not known are
    // left out and told in `refused`.
    std::vector<Message> order(Micros now, const std::vector<Action>& actions, std::vector<std::string>& refused);

    // All of a proxy's resources as they stand, for a stream that starts over on what was bound before.
    struct TableView {
        std::map<ServerId, double> lines;
        std::map<OpId, std::pair<double, Again>> levels;
    };
    const std::map<TableId, TableView>& tables() const { return tables_; }
    std::uint64_t orders() const { return orders_; }

private:
    struct Held {
        std::map<OpMask, TableId> bound;
        std::set<TableId> laid;  // tables whose cluster this proxy has been given
        bool listener = false;
        std::string routes;      // what its routes were made from
    };
    struct Touched {
        double lines = 0;
        bool routes = false, startup = false;
        std::set<TableId> assignments;
    };
    using Touches = std::map<ProxyId, Touched>;

    // So many lines and levels of a table were ordered.
    struct Changed {
        double lines = 0, levels = 0;
    };
    void carry_out(const act::Line& a);
    void carry_out(const act::Bind& a, Touches& touched, std::vector<std::string>& refused);
    void carry_out(const act::Withdraw& a, Touches& touched);
    void carry_out(const act::Level& a);
    void touch_users(const std::map<TableId, Changed>& changed, Touches& touched);
    std::vector<Change> changes_for(ProxyId proxy, const Touched& touched);

    ResourcePtr cluster(TableId table);
    ResourcePtr assignment(TableId table);
    ResourcePtr startup();
    ResourcePtr listener();
    ResourcePtr routes(const Held& held);
    std::string routes_key(const Held& held) const;
    std::pair<double, Again> level(TableId table, OpId op) const;
    ResourcePtr keep(Type type, std::string name, std::string bytes);

    std::vector<Operation> operations_;
    std::vector<std::string> zones_;
    Pick pick_;
    Admit admit_;
    Again usual_again_;
    double try_factor_, head_lines_;
    int ejects_after_;
    Micros eject_time_;
    std::map<ServerId, ServerPlace> places_;
    std::map<TableId, TableView> tables_;
    std::map<OpId, std::pair<double, Again>> every_table_;
    std::set<ServerId> withdrawn_;
    std::map<ProxyId, Held> proxies_;
    std::uint64_t orders_ = 0;
    // Resources made in this order, so that many proxies share one.
    std::map<std::string, ResourcePtr> made_;
    std::map<TableId, ResourcePtr> clusters_;
    ResourcePtr listener_;
};

}  // namespace badgergrade::xds
