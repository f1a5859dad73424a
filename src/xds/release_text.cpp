#include "xds/release_text.h"

#include <cstdio>
#include <sstream>

namespace badgergrade::xds {

std::string to_text(const std::string& origin, const std::vector<ReleasedOrder>& orders) {
    std::string out = origin;
    for (const ReleasedOrder& one : orders) {
        out += " " + std::to_string(one.order) + "@" + std::to_string(one.ordered.count()) + "-" +
               std::to_string(one.released.count()) + "+" +
               std::to_string(static_cast<std::int64_t>(one.lines));
    }
    return out;
}

OrdersText read_orders(const std::string& text) {
    OrdersText out;
    std::istringstream words(text);
    words >> out.origin;
    for (std::string word; words >> word;) {
        long long order = 0;
        long long ordered = 0;
        long long released = 0;
        long long lines = 0;
        if (std::sscanf(word.c_str(), "%lld@%lld-%lld+%lld", &order, &ordered, &released, &lines) ==
            4) {
            out.orders.push_back({static_cast<std::uint64_t>(order), Micros(ordered),
                                  Micros(released), static_cast<double>(lines)});
        }
    }
    return out;
}

}  // namespace badgergrade::xds
