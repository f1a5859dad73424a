// Text ids of servers behind the module's numbers, and their starts on the module's clock.
#pragma once

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

class ServerIds {
public:
    // `wall_ahead`: Unix time less the module's clock, read once, so that each start has one stable
    // time.
    ServerIds(const Names& names, Micros wall_ahead) : names_(names), wall_ahead_(wall_ahead) {}

    // The list as the module is told it. New ids get numbers; one that comes back keeps its own.
    event::EndpointListUpdate take(const InstanceList& list, UpdateKind form, Micros now);

    std::optional<ServerId> number(std::string_view id) const;
    // Empty where there is none.
    const std::string& id(ServerId server) const;

    std::size_t size() const { return by_id_.size(); }

    // Whether any of them is not gone.
    bool any() const;

    // Numbers of servers that were gone for a while, and that `named` denies, are free for others:
    // a day that replaces all its servers must not grow.
    void forget(Micros now, const std::function<bool(ServerId)>& named);

private:
    struct Known {
        Endpoint row;  // as the module was told last
        bool gone = false;
        Micros gone_since{};
    };

    ServerId new_number();
    void keep_unreadable(const InstanceList& list, event::EndpointListUpdate& out);
    Micros start_of(double started_ms) const;

    const Names& names_;
    Micros wall_ahead_;
    std::map<std::string, Known, std::less<>> by_id_;
    std::map<ServerId, std::string> ids_;
    std::set<ServerId> free_;
    std::uint32_t last_ = 0;
};

}  // namespace badgergrade::platform
