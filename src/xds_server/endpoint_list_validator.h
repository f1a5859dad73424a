/// @file
/// Decides whether an answer of the registry is accepted as the new list of servers. No I/O.
///
/// A registry that restarts empty, falls back to an old copy or loses most of its keys must not
/// empty every table. But the rule on draining servers counts from the moment of the registry's
/// answer, so a list is refused only where it can't be true:
/// - a list with a lower index than the same incarnation of the registry gave before;
/// - an empty list after one that was not empty, if the settings refuse that;
/// - a much shorter list, if the settings say so, until a second answer confirms it.
#pragma once

#include <cstdint>
#include <string>

#include "config/instance_config.h"

namespace badgergrade::xds_server {

/// What identifies a version of the list.
struct EndpointListHeader {
    /// Which incarnation of the registry answered.
    std::string registry_incarnation;
    /// Grows with each change of the list, within one incarnation.
    std::uint64_t index = 0;
    std::size_t server_count = 0;
};

class EndpointListValidator {
public:
    /// A list with fewer servers than `min_kept_fraction` of the last one must be confirmed; 0
    /// accepts any loss.
    EndpointListValidator(config::EmptyListPolicy empty_list, double min_kept_fraction)
        : empty_list_(empty_list),
          min_kept_fraction_(min_kept_fraction) {}

    enum class Decision { Accept, Unchanged, Reject, Confirm };

    struct Result {
        Decision decision = Decision::Accept;
        /// Why a list is rejected or must be confirmed; else empty.
        std::string reason;
    };

    /// Decides on an answer, and remembers it if it is accepted.
    Result validate(const EndpointListHeader& answer);

private:
    config::EmptyListPolicy empty_list_;
    double min_kept_fraction_;
    bool has_accepted_ = false;
    EndpointListHeader accepted_;
    bool has_unconfirmed_ = false;
    EndpointListHeader unconfirmed_;
};

}  // namespace badgergrade::xds_server
