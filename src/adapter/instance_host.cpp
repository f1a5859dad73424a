#include "instance_host.h"

#include <algorithm>
#include <istream>
#include <ostream>

namespace badgergrade::wire {

namespace {

constexpr std::int64_t kMaxListRows = 1 << 24;
constexpr std::int64_t kMaxTurn = 1LL << 62;
/// Limit of the bytes of an invalid word that an error message quotes.
constexpr std::size_t kMaxQuotedBytes = 80;

}  // namespace

void InstanceHost::run(std::istream& in) {
    for (std::string text; std::getline(in, text);) {
        ++line_number_;
        if (!text.empty() && text.back() == '\r') {
            text.pop_back();
        }
        if (text.empty()) {
            continue;
        }
        try {
            read_line(text);
        } catch (const InvalidLine& error) {
            report_error(error.what());
        }
    }
    if (in_frame_) {
        report_error("expected flush, got the end of the input");
    }
}

void InstanceHost::read_line(std::string_view text) {
    const std::string_view word = text.substr(0, text.find('\t'));
    if (missing_rows_ > 0 && word != "row") {
        report_error("expected " + std::to_string(missing_rows_) +
                     " more rows of an inventory, got another line");
        missing_rows_ = 0;
    }
    if (word == "flush") {
        if (!in_frame_) {
            return report_error("flush outside a frame");
        }
        return reply();
    }
    if (word == "row") {
        if (missing_rows_ <= 0) {
            return report_error("row outside an inventory");
        }
        // Invalid rows count too, so that the end of the list is still recognized.
        --missing_rows_;
    }
    const WireFields fields(text);
    if (word == "frame") {
        return begin_frame(fields);
    }
    if (!in_frame_) {
        return report_error("event outside a frame: '" +
                            std::string(word.substr(0, kMaxQuotedBytes)) + "'");
    }
    if (word == "row") {
        endpoint_lists_[current_list_].push_back(read_endpoint(fields));
    } else if (word == "inventory") {
        begin_endpoint_list(fields);
    } else {
        dispatch(fields);
    }
}

void InstanceHost::begin_frame(const WireFields& fields) {
    if (in_frame_) {
        report_error("frame inside a frame; the earlier one is discarded");
    }
    now_ = fields.time("time");
    turn_ = std::to_string(fields.integer("turn", 0, kMaxTurn));
    notified_.clear();
    failed_.clear();
    in_frame_ = true;
}

void InstanceHost::begin_endpoint_list(const WireFields& fields) {
    current_list_ = static_cast<int>(fields.integer("ref", 0, kMaxListNumber));
    endpoint_lists_[current_list_].clear();
    missing_rows_ = fields.integer("records", 0, kMaxListRows, 0);
}

/// An exception from the policy ends only the instance in which it happened; the other instances
/// continue.
void InstanceHost::dispatch(const WireFields& fields) {
    const std::string id(fields.has("governor_id") ? fields.text("governor_id")
                                                   : std::string_view{});
    try {
        if (fields.word() == "up") {
            start_instance(id, fields);
        } else if (fields.word() == "kill") {
            remove_instance(id);
        } else {
            post_event(id, fields);
        }
    } catch (const InvalidLine&) {
        throw;
    } catch (const std::exception& error) {
        fail_instance(id, error.what());
    }
}

void InstanceHost::start_instance(const std::string& id, const WireFields& fields) {
    if (id.empty()) {
        throw InvalidLine("field \"governor_id\" is missing");
    }
    const Settings settings = read_settings(fields);
    const std::uint64_t seed = fields.seed("prng");
    remove_instance(id);
    mark_notified(id);
    instances_.emplace(id, policy::Planner(settings, seed, now_));
}

void InstanceHost::remove_instance(const std::string& id) {
    instances_.erase(id);
    failed_.erase(id);
    std::erase(notified_, id);
}

void InstanceHost::post_event(const std::string& id, const WireFields& fields) {
    Event event;
    if (!read_event(fields, endpoint_lists_, event)) {
        return;
    }
    if (id.empty()) {
        throw InvalidLine("field \"governor_id\" is missing");
    }
    const auto it = instances_.find(id);
    if (it == instances_.end()) {
        if (!failed_.contains(id)) {
            report_error("instance " + id + " is not running");
        }
        return;
    }
    mark_notified(id);
    it->second.on_event(now_, event);
}

void InstanceHost::mark_notified(const std::string& id) {
    if (std::find(notified_.begin(), notified_.end(), id) == notified_.end()) {
        notified_.push_back(id);
    }
}

void InstanceHost::reply() {
    std::string out;
    for (const auto& id : notified_) {
        const auto it = instances_.find(id);
        if (it == instances_.end()) {
            continue;
        }
        try {
            const auto commands = it->second.decide(now_);
            for (const auto& command : commands) {
                write_command(out, id, command);
            }
        } catch (const std::exception& error) {
            fail_instance(id, error.what());
        }
    }
    for (const auto& [id, reason] : failed_) {
        out.append("broken\tgovernor_id=").append(id);
        out.append("\twhat=").append(reason).append("\n");
    }
    out += "next\tturn=" + turn_ + "\n";
    replies_ << out << std::flush;
    in_frame_ = false;
}

void InstanceHost::fail_instance(const std::string& id, const char* reason) {
    report_error("instance " + id + " failed: " + reason);
    failed_[id] = reason;
    instances_.erase(id);
}

void InstanceHost::report_error(std::string_view text) {
    errors_ << "line " << line_number_ << ": " << text << std::endl;
}

}  // namespace badgergrade::wire
