/// @file
/// Gives each server of the registry's list the id under which the policy knows it. No I/O.
///
/// A server is identified by its id in the list and its address: one that comes back at another
/// address is another server, since tables name addresses. Ids are numbered from 1 and never
/// reused.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/network.h"
#include "policy/ids.h"
#include "xds_server/endpoint_watch.h"

namespace badgergrade::xds_server {

/// The zone with this name in the settings; -1 if it is not there.
ZoneId find_zone(const std::vector<std::string>& zones, const std::string& name);

class ServerDirectory {
public:
    struct Entry {
        ServerId server;
        std::string incarnation;
        /// When this incarnation started; 0: long ago.
        Micros started_at{};
        ZoneId zone;
    };

    /// `zones` are the names in the settings; the vector must outlive this object.
    explicit ServerDirectory(const std::vector<std::string>& zones) : zones_(zones) {}

    /// Adds a server of the list or brings its entry up to date.
    const Entry& update(const ListedServer& listed, Micros now);

    /// The name of a server in the list; empty if there is none.
    std::string name(ServerId server) const;

    /// The newest server with this name, at whatever address.
    std::optional<ServerId> find(const std::string& name) const;

    /// All servers that were ever listed, by address.
    const std::map<net::Address, ServerId>& by_address() const { return by_address_; }

    /// Names of all servers that were ever listed.
    const std::map<ServerId, std::string>& names() const { return names_; }

private:
    const std::vector<std::string>& zones_;
    std::map<std::pair<std::string, net::Address>, Entry> entries_;
    std::map<net::Address, ServerId> by_address_;
    std::map<ServerId, std::string> names_;
};

}  // namespace badgergrade::xds_server
