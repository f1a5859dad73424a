/// @file
/// Runs the control plane instances of one simulator process: reads frames of events, hands them to
/// the instances and answers each frame with their commands. Takes no decision itself.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "codec.h"
#include "policy/planner.h"

namespace badgergrade::wire {

class InstanceHost {
public:
    /// \param replies  gets the answers to the frames
    /// \param errors   gets one line for each input that is skipped and each instance that fails
    InstanceHost(std::ostream& replies, std::ostream& errors)
        : replies_(replies),
          errors_(errors) {}

    /// Reads the wire to its end. Every frame is answered and flushed; a line that can't be read is
    /// reported and skipped.
    void run(std::istream& in);

private:
    void read_line(std::string_view text);
    void begin_frame(const WireFields& fields);
    void begin_endpoint_list(const WireFields& fields);
    void dispatch(const WireFields& fields);
    void start_instance(const std::string& id, const WireFields& fields);
    void remove_instance(const std::string& id);
    void post_event(const std::string& id, const WireFields& fields);
    void mark_touched(const std::string& id);
    void reply();
    void fail_instance(const std::string& id, const char* reason);
    void report_error(std::string_view text);

    std::ostream& replies_;
    std::ostream& errors_;
    std::map<std::string, policy::Planner> instances_;
    /// The instances that got an event in this frame, in the order of their first one.
    std::vector<std::string> touched_;
    /// The instances that failed in this frame, with the reason.
    std::map<std::string, std::string> failed_;
    EndpointLists endpoint_lists_;
    int open_list_ = -1;
    std::int64_t missing_rows_ = 0;
    std::int64_t line_number_ = 0;
    Micros now_{};
    std::string turn_;
    bool in_frame_ = false;
};

}  // namespace badgergrade::wire
