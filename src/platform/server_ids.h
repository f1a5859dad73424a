/// Numbers for the text ids of servers, and the times of their starts on the loop's clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "platform/config.h"
#include "policy/event.h"
#include "policy/ids.h"

namespace badgergrade::platform {

/// Every server that a report, a table or a message can still name. A server keeps its number as
/// long as it is known here, also while it is gone; released numbers are given out again.
class ServerIds {
public:
    /// `wall_ahead` is Unix time less the loop's clock, read once, so that each start has one
    /// stable time. `names` must outlive this object.
    ServerIds(const ProtocolNames& names, Micros wall_ahead)
        : names_(names),
          wall_ahead_(wall_ahead) {}

    /// Takes in a list of discovery and gives it as the planner's event. `now` is the loop's clock.
    event::EndpointListUpdate update(const InstanceList& list, UpdateKind kind, Micros now);

    /// The number of a server, or nothing where its text id is not known.
    std::optional<ServerId> find(std::string_view text_id) const;

    /// The text id of a server; empty where the number is not in use.
    const std::string& text_id(ServerId server) const;

    /// Servers that have a number, gone ones included.
    std::size_t size() const { return servers_.size(); }

    /// Whether any server is not gone.
    bool has_servers() const;

    /// Releases the numbers of servers that have been gone for a while and of which `is_in_use` is
    /// false.
    ///
    /// Failure guarded against: over a day on which all servers are replaced again and again,
    /// memory here and in the planner grows with every server that ever was.
    void release_unused(Micros now, const std::function<bool(ServerId)>& is_in_use);

private:
    struct Server {
        Endpoint endpoint;  // as the planner got it last
        bool is_gone = false;
        Micros gone_since{};
    };

    Server& find_or_add(const std::string& text_id);
    ServerId allocate_number();
    void mark_all_gone(Micros now);
    void apply_instance(Server& server, const Instance& instance, Micros now);
    void keep_unreadable(const InstanceList& list, event::EndpointListUpdate& update);
    ZoneId zone_id(const std::string& zone) const;
    Micros start_time(double started_ms) const;

    const ProtocolNames& names_;
    Micros wall_ahead_;
    std::map<std::string, Server, std::less<>> servers_;  // by text id
    std::map<ServerId, std::string> text_ids_;
    std::set<ServerId> released_numbers_;
    std::uint32_t highest_number_ = 0;
};

}  // namespace badgergrade::platform
