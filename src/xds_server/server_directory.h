/// @file
/// Assigns the policy's server ids to the servers of the registry's list. No I/O.
///
/// A server is identified by its name in the list and its address: a server that comes back at
/// another address gets another id, since tables refer to addresses. Ids are numbered from 1 and
/// never reused; an entry is never removed, so the directory grows with each new pair of name and
/// address.
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

/// The index of the zone with this name in the settings; -1 if there is none.
ZoneId find_zone(const std::vector<std::string>& zones, const std::string& name);

class ServerDirectory {
public:
    /// What is known of a listed server.
    struct Entry {
        ServerId server;
        /// Changes with each start of the server.
        std::string incarnation;
        /// When this incarnation started, on the clock of `update`; 0: long ago.
        Micros started_at{};
        /// -1: its zone is not in the settings.
        ZoneId zone;
    };

    /// `zones` are the zone names of the settings; the vector must outlive this object.
    explicit ServerDirectory(const std::vector<std::string>& zones) : zones_(zones) {}

    /// Adds a listed server or updates its entry.
    const Entry& update(const ListedServer& listed, Micros now);

    /// The name of a server in the list; empty if the id was never assigned.
    std::string name(ServerId server) const;

    /// A server with this name, at any address; the one with the greatest address if there are
    /// several.
    std::optional<ServerId> find(const std::string& name) const;

    /// All servers that were ever listed, by address; the one that was updated last if several had
    /// the same address.
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
