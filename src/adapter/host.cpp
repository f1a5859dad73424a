#include "host.h"

#include <algorithm>
#include <istream>
#include <ostream>

namespace badgergrade::wire {

void Host::run(std::istream& in) {
    for (std::string text; std::getline(in, text);) {
        ++line_number_;
        if (!text.empty() && text.back() == '\r') {
            text.pop_back();
        }
        if (text.empty()) {
            continue;
        }
        try {
            line(text);
        } catch (const Malformed& wrong) {
            complain(wrong.what());
        }
    }
    if (in_frame_) {
        complain("the input ended inside a frame");
    }
}

void Host::line(std::string_view text) {
    const std::string_view word = text.substr(0, text.find('\t'));
    if (rows_due_ > 0 && word != "row") {
        complain("an inventory ended " + std::to_string(rows_due_) + " rows early");
        rows_due_ = 0;
    }
    if (word == "flush") {
        if (!in_frame_) {
            return complain("a flush without a frame");
        }
        return reply();
    }
    if (word == "row") {
        if (rows_due_ <= 0) {
            return complain("a row outside an inventory");
        }
        --rows_due_;
    }
    const Parts parts(text);
    if (word == "frame") {
        return begin(parts);
    }
    if (!in_frame_) {
        return complain("an event outside a frame: '" + std::string(word.substr(0, 80)) + "'");
    }
    if (word == "row") {
        lists_[open_list_].push_back(read_row(parts));
    } else if (word == "inventory") {
        open_list_ = static_cast<int>(parts.whole("ref", 0, 15));
        lists_[open_list_].clear();
        rows_due_ = parts.whole("records", 0, 1 << 24, 0);
    } else {
        event(parts);
    }
}

void Host::begin(const Parts& parts) {
    if (in_frame_) {
        complain("a frame began inside another; the earlier one is dropped");
    }
    now_ = parts.time("time");
    turn_ = std::to_string(parts.whole("turn", 0, (1LL << 62)));
    touched_.clear();
    failed_.clear();
    in_frame_ = true;
}

void Host::event(const Parts& parts) {
    const std::string name(parts.has("governor_id") ? parts.text("governor_id")
                                                    : std::string_view{});
    const auto drop = [&] {
        governors_.erase(name);
        failed_.erase(name);
        std::erase(touched_, name);
    };
    const auto touch = [&] {
        if (std::find(touched_.begin(), touched_.end(), name) == touched_.end()) {
            touched_.push_back(name);
        }
    };
    try {
        if (parts.word() == "up") {
            if (name.empty()) {
                throw Malformed("governor_id is missing");
            }
            const Settings settings = read_settings(parts);
            const std::uint64_t seed = parts.seed("prng");
            drop();
            touch();
            governors_.emplace(name, policy::Planner(settings, seed, now_));
            return;
        }
        if (parts.word() == "kill") {
            return drop();
        }
        Event event;
        if (!read_event(parts, lists_, event)) {
            return;
        }
        if (name.empty()) {
            throw Malformed("governor_id is missing");
        }
        const auto it = governors_.find(name);
        if (it == governors_.end()) {
            if (!failed_.contains(name)) {
                complain(name + " is not up");
            }
            return;
        }
        touch();
        it->second.on_event(now_, event);
    } catch (const Malformed&) {
        throw;
    } catch (const std::exception& wrong) {
        fail(name, wrong.what());
    }
}

void Host::reply() {
    std::string out;
    for (const auto& name : touched_) {
        const auto it = governors_.find(name);
        if (it == governors_.end()) {
            continue;
        }
        try {
            const auto actions = it->second.decide(now_);
            for (const auto& action : actions) {
                write_action(out, name, action);
            }
        } catch (const std::exception& wrong) {
            fail(name, wrong.what());
        }
    }
    for (const auto& [name, what] : failed_) {
        out += "broken\tgovernor_id=" + name + "\twhat=" + what + "\n";
    }
    out += "next\tturn=" + turn_ + "\n";
    replies_ << out << std::flush;
    in_frame_ = false;
}

void Host::fail(const std::string& governor, const char* what) {
    complain(governor + " broke: " + what);
    failed_[governor] = what;
    governors_.erase(governor);
}

void Host::complain(std::string_view what) {
    complaints_ << "line " << line_number_ << ": " << what << std::endl;
}

}  // namespace badgergrade::wire
