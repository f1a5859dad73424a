// How a response names the orders that it is the first to carry, in its control plane's identifier:
//   ORIGIN ORDER@ORDERED-LEFT+LINES ...
// Times are microseconds of the governor's clock. Whoever audits the channel can tell from here
// what was waiting.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy/ids.h"

namespace badgergrade::xds {

struct ReleasedOrder {
    std::uint64_t order = 0;
    Micros ordered{}, released{};
    double lines = 0;
};

struct OrdersText {
    std::string origin;
    std::vector<ReleasedOrder> orders;
};

std::string to_text(const std::string& origin, const std::vector<ReleasedOrder>& orders);
// Words that are no order are passed over.
OrdersText read_orders(const std::string& text);

}  // namespace badgergrade::xds
