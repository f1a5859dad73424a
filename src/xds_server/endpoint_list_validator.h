// Whether an answer of the registry is taken for the list of servers. No I/O.
//
// A registry that restarts empty, falls back to an old copy or loses most of its keys must not
// empty every table. But the rule on drains binds from what is told, so a list is refused only
// where it can't be true: one that is older than what the same registry gave before, an empty one
// where the settings refuse that, and, where the settings doubt sudden losses, a much shorter one
// until a second answer says the same.
#pragma once

#include <cstdint>
#include <string>

#include "config/governor_config.h"

namespace badgergrade::xds_server {

struct EndpointListHeader {
    std::string registry;     // which life of the registry speaks
    std::uint64_t index = 0;  // grows with each change of the list
    std::size_t servers = 0;
};

class EndpointListValidator {
public:
    EndpointListValidator(config::EmptyList empty, double shrink_doubted)
        : empty_(empty),
          shrink_(shrink_doubted) {}

    enum class Verdict { Take, Same, Refuse, AskAgain };

    struct Finding {
        Verdict verdict = Verdict::Take;
        std::string why;
    };

    Finding look(const EndpointListHeader& answer);

private:
    config::EmptyList empty_;
    double shrink_;
    bool have_ = false;
    EndpointListHeader last_;
    EndpointListHeader doubted_;
    bool doubting_ = false;
};

}  // namespace badgergrade::xds_server
