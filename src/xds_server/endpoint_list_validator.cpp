#include "xds_server/endpoint_list_validator.h"

namespace badgergrade::xds_server {

EndpointListValidator::Finding EndpointListValidator::look(const EndpointListHeader& answer) {
    const bool same_life = have_ && answer.registry == last_.registry;
    if (same_life && answer.index == last_.index) {
        return {Verdict::Same, {}};
    }
    if (same_life && answer.index < last_.index) {
        return {Verdict::Refuse, "index " + std::to_string(answer.index) + " is older than " +
                                     std::to_string(last_.index)};
    }
    if (have_ && last_.servers > 0 && answer.servers == 0 && empty_ == config::EmptyList::Refuse) {
        return {Verdict::Refuse,
                "it is empty, and the last one named " + std::to_string(last_.servers)};
    }
    const bool shrunken =
        have_ && static_cast<double>(answer.servers) < shrink_ * static_cast<double>(last_.servers);
    if (shrunken) {
        const bool told_twice =
            doubting_ && doubted_.registry == answer.registry && doubted_.servers == answer.servers;
        doubting_ = !told_twice;
        doubted_ = answer;
        if (!told_twice) {
            return {Verdict::AskAgain, std::to_string(answer.servers) + " servers after " +
                                           std::to_string(last_.servers) + "; asked a second time"};
        }
    }
    doubting_ = false;
    have_ = true;
    last_ = answer;
    return {Verdict::Take, {}};
}

}  // namespace badgergrade::xds_server
