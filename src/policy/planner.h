// Interface of the decision module: one Planner object an instance, nothing shared between
// objects.
#pragma once

#include <memory>
#include <vector>

#include "policy/command.h"
#include "policy/event.h"
#include "policy/ids.h"
#include "policy/settings.h"

namespace badgergrade::policy {

class Planner {
public:
    Planner(const Settings& told, std::uint64_t seed, Micros now);
    ~Planner();
    Planner(Planner&&) noexcept;
    Planner& operator=(Planner&&) noexcept;

    // Takes in one event; orders nothing yet.
    void take(Micros now, const Event& event);
    // Call once after the events of a moment: what is to be ordered now, in this order.
    std::vector<Command> decide(Micros now);

private:
    struct Mind;
    std::unique_ptr<Mind> mind_;
};

}  // namespace badgergrade::policy
