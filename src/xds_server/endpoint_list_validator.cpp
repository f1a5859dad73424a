#include "xds_server/endpoint_list_validator.h"

namespace badgergrade::xds_server {

EndpointListValidator::Result EndpointListValidator::validate(const EndpointListHeader& answer) {
    const bool same_incarnation =
        has_accepted_ && answer.registry_incarnation == accepted_.registry_incarnation;
    if (same_incarnation && answer.index == accepted_.index) {
        return {Decision::Unchanged, {}};
    }
    if (same_incarnation && answer.index < accepted_.index) {
        return {Decision::Reject, "index " + std::to_string(answer.index) + " is older than " +
                                      std::to_string(accepted_.index)};
    }
    const bool lost_all = has_accepted_ && accepted_.server_count > 0 && answer.server_count == 0;
    if (lost_all && empty_list_ == config::EmptyListPolicy::Refuse) {
        return {Decision::Reject,
                "it is empty, and the last one named " + std::to_string(accepted_.server_count)};
    }
    const double min_kept_servers =
        min_kept_fraction_ * static_cast<double>(accepted_.server_count);
    if (has_accepted_ && static_cast<double>(answer.server_count) < min_kept_servers) {
        const bool confirmed = has_unconfirmed_ &&
                               unconfirmed_.registry_incarnation == answer.registry_incarnation &&
                               unconfirmed_.server_count == answer.server_count;
        has_unconfirmed_ = !confirmed;
        unconfirmed_ = answer;
        if (!confirmed) {
            return {Decision::Confirm, std::to_string(answer.server_count) + " servers after " +
                                           std::to_string(accepted_.server_count) +
                                           "; asked a second time"};
        }
    }
    has_unconfirmed_ = false;
    has_accepted_ = true;
    accepted_ = answer;
    return {Decision::Accept, {}};
}

}  // namespace badgergrade::xds_server
