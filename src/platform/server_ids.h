/// Maps the text ids of servers, which the platform uses, to the numeric ids of the policy, and
/// converts discovery's lists of servers to the policy's events.
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

/// The servers that a report, a table or a message can still name.
///
/// Invariants: a server keeps its numeric id as long as it is in this table, also while it is gone.
/// A gone server is removed, and its number becomes free for another server, once it has been gone
/// for two minutes and no table or ejection refers to it (see release_unused()).
class ServerIds {
public:
    /// `wall_clock_offset` is Unix time minus the loop's clock. It is read once, so that a server's
    /// start time converts to the same value each time. `names` must outlive this object.
    ServerIds(const ProtocolNames& names, Micros wall_clock_offset)
        : names_(names),
          wall_clock_offset_(wall_clock_offset) {}

    /// Applies a list of discovery and returns it as an event for the planner. `now` is the time of
    /// the loop's clock.
    event::EndpointListUpdate update(const ServerList& list, UpdateKind kind, Micros now);

    /// Returns the number of a server, or nothing if its text id is not known.
    std::optional<ServerId> find(std::string_view text_id) const;

    /// Returns the text id of a server, or an empty string if the number is not in use.
    const std::string& text_id(ServerId server) const;

    /// Number of servers in this table, gone ones included.
    std::size_t size() const { return servers_.size(); }

    /// Returns whether any server is not gone.
    bool has_servers() const;

    /// Removes the servers that have been gone for two minutes and for which `is_in_use` is false.
    ///
    /// Without it, memory here and in the planner would grow with every server that ever existed
    /// when all servers are replaced again and again over a long run.
    void release_unused(Micros now, const std::function<bool(ServerId)>& is_in_use);

private:
    struct Server {
        Endpoint endpoint;  // the state that the planner got last
        bool is_gone = false;
        Micros gone_since{};
    };

    Server& find_or_add(const std::string& text_id);
    ServerId allocate_number();
    void mark_all_gone(Micros now);
    void apply_entry(Server& server, const ServerEntry& entry, Micros now);
    void keep_skipped(const ServerList& list, event::EndpointListUpdate& update);
    ZoneId zone_id(const std::string& zone) const;
    Micros start_time(double started_ms) const;

    const ProtocolNames& names_;
    Micros wall_clock_offset_;
    std::map<std::string, Server, std::less<>> servers_;  // by text id
    std::map<ServerId, std::string> text_ids_;
    std::set<ServerId> released_numbers_;
    std::uint32_t highest_number_ = 0;
};

}  // namespace badgergrade::platform
