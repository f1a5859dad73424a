#include "xds/release_text.h"

#include <cstdio>
#include <sstream>

namespace badgergrade::xds {

std::string to_release_text(const std::string& origin, const std::vector<ReleasedUpdate>& updates) {
    std::string text = origin;
    for (const ReleasedUpdate& update : updates) {
        text += " " + std::to_string(update.update_number) + "@" +
                std::to_string(update.decided_at.count()) + "-" +
                std::to_string(update.released_at.count()) + "+" +
                std::to_string(static_cast<std::int64_t>(update.lines));
    }
    return text;
}

ReleaseText parse_release_text(const std::string& text) {
    ReleaseText parsed;
    std::istringstream words(text);
    words >> parsed.origin;
    for (std::string word; words >> word;) {
        long long update_number = 0;
        long long decided_us = 0;
        long long released_us = 0;
        long long lines = 0;
        constexpr int kFields = 4;
        const int fields = std::sscanf(word.c_str(), "%lld@%lld-%lld+%lld", &update_number,
                                       &decided_us, &released_us, &lines);
        if (fields == kFields) {
            parsed.updates.push_back({static_cast<std::uint64_t>(update_number), Micros(decided_us),
                                      Micros(released_us), static_cast<double>(lines)});
        }
    }
    return parsed;
}

}  // namespace badgergrade::xds
