// Interface of the decision module: one Governor object an instance, nothing shared between
// objects.
#pragma once

#include <memory>
#include <vector>

#include "types.h"

namespace badgergrade {

class Governor {
public:
    Governor(const Settings& told, std::uint64_t seed, Micros now);
    ~Governor();
    Governor(Governor&&) noexcept;
    Governor& operator=(Governor&&) noexcept;

    // Takes in one event; orders nothing yet.
    void take(Micros now, const Event& event);
    // Call once after the events of a moment: what is to be ordered now, in this order.
    std::vector<Action> decide(Micros now);

private:
    struct Mind;
    std::unique_ptr<Mind> mind_;
};

}  // namespace badgergrade
