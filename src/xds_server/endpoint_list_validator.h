/// @file
/// Decides whether a response of the registry is accepted as the new list of servers. No I/O.
///
/// A registry that restarts empty, falls back to an old copy or loses most of its keys must not
/// empty every table. On the other hand, the time limit for removing draining servers from tables
/// starts with the registry's response, so valid lists must not be delayed. A list is therefore
/// rejected only where it can't be true:
/// - its index is lower than one that the same incarnation of the registry gave before;
/// - it is empty after one that was not empty, if the settings refuse that;
/// - it is much shorter than the last one, if the settings set a limit, until a second response
///   with the same number of servers confirms it.
#pragma once

#include <cstdint>
#include <string>

#include "config/instance_config.h"

namespace badgergrade::xds_server {

/// Identifies a version of the list.
struct EndpointListHeader {
    /// The incarnation of the registry that sent the list.
    std::string registry_incarnation;
    /// Version of the list; grows with each change within one incarnation.
    std::uint64_t index = 0;
    std::size_t server_count = 0;
};

class EndpointListValidator {
public:
    /// A list with fewer servers than `min_kept_fraction` (0 to 1) of the last accepted one must be
    /// confirmed; 0 accepts any loss.
    EndpointListValidator(config::EmptyListPolicy empty_list_policy, double min_kept_fraction)
        : empty_list_policy_(empty_list_policy),
          min_kept_fraction_(min_kept_fraction) {}

    /// `Unchanged`: the list that was accepted last. `Confirm`: rejected until a second response
    /// confirms it.
    enum class Decision { Accept, Unchanged, Reject, Confirm };

    struct Result {
        Decision decision = Decision::Accept;
        /// Why the list is rejected or must be confirmed; otherwise empty.
        std::string reason;
    };

    /// Decides on a response and stores its header if it is accepted.
    Result validate(const EndpointListHeader& header);

private:
    config::EmptyListPolicy empty_list_policy_;
    double min_kept_fraction_;
    /// The last accepted list.
    bool has_accepted_ = false;
    EndpointListHeader accepted_;
    /// The last list that must be confirmed.
    bool has_unconfirmed_ = false;
    EndpointListHeader unconfirmed_;
};

}  // namespace badgergrade::xds_server
