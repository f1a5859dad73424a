#include "xds_server/endpoint_list_validator.h"

namespace badgergrade::xds_server {

EndpointListValidator::Result EndpointListValidator::validate(const EndpointListHeader& header) {
    const bool same_incarnation =
        has_accepted_ && header.registry_incarnation == accepted_.registry_incarnation;
    if (same_incarnation && header.index == accepted_.index) {
        return {Decision::Unchanged, {}};
    }
    if (same_incarnation && header.index < accepted_.index) {
        return {Decision::Reject, "field \"index\": expected at least " +
                                      std::to_string(accepted_.index) + ", got " +
                                      std::to_string(header.index)};
    }
    const bool lost_all = has_accepted_ && accepted_.server_count > 0 && header.server_count == 0;
    if (lost_all && empty_list_policy_ == config::EmptyListPolicy::Refuse) {
        return {Decision::Reject,
                "field \"servers\": expected at least one server after a list with " +
                    std::to_string(accepted_.server_count) + " servers, got an empty list"};
    }
    const double min_kept_servers =
        min_kept_fraction_ * static_cast<double>(accepted_.server_count);
    if (has_accepted_ && static_cast<double>(header.server_count) < min_kept_servers) {
        const bool confirmed = has_unconfirmed_ &&
                               unconfirmed_.registry_incarnation == header.registry_incarnation &&
                               unconfirmed_.server_count == header.server_count;
        has_unconfirmed_ = !confirmed;
        unconfirmed_ = header;
        if (!confirmed) {
            return {Decision::Confirm,
                    "field \"servers\": expected at least " + std::to_string(min_kept_fraction_) +
                        " of the last accepted " + std::to_string(accepted_.server_count) +
                        " servers, got " + std::to_string(header.server_count) +
                        "; a second response must confirm the list"};
        }
    }
    has_unconfirmed_ = false;
    has_accepted_ = true;
    accepted_ = header;
    return {Decision::Accept, {}};
}

}  // namespace badgergrade::xds_server
