/// @file
/// Runs the planners of the control plane instances that a simulator simulates. Reads frames of
/// events (codec.h), passes each event to its instance, and answers each frame with the commands of
/// the instances concerned. Makes no decisions itself.
///
/// A frame is `frame` with the simulated time, any number of events, and `flush`. Within it,
/// `inventory` announces an endpoint list, whose `row` lines follow; `up` starts an instance and
/// `kill` removes it. The answer is the commands, one `broken` line for each instance that failed,
/// and `next`.
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

/// Holds the instances and processes the input line by line.
class InstanceHost {
public:
    /// \param replies  receives the answers to the frames
    /// \param errors   receives one line for each ignored input line and each failed instance
    InstanceHost(std::ostream& replies, std::ostream& errors)
        : replies_(replies),
          errors_(errors) {}

    /// Processes the input to its end. Every frame is answered and flushed. A line that is not
    /// valid is reported and ignored.
    void run(std::istream& in);

private:
    void read_line(std::string_view text);
    void begin_frame(const WireFields& fields);
    void begin_endpoint_list(const WireFields& fields);
    void dispatch(const WireFields& fields);
    void start_instance(const std::string& id, const WireFields& fields);
    void remove_instance(const std::string& id);
    void post_event(const std::string& id, const WireFields& fields);
    void mark_notified(const std::string& id);
    void reply();
    void fail_instance(const std::string& id, const char* reason);
    void report_error(std::string_view text);

    std::ostream& replies_;
    std::ostream& errors_;
    std::map<std::string, policy::Planner> instances_;
    /// The instances that got an event in this frame, in the order of their first event.
    std::vector<std::string> notified_;
    /// The reasons of the instances that failed in this frame.
    std::map<std::string, std::string> failed_;
    EndpointLists endpoint_lists_;
    int current_list_ = -1;          // the list that `row` lines are added to
    std::int64_t missing_rows_ = 0;  // announced rows of this list that have not arrived
    std::int64_t line_number_ = 0;   // counted from 1
    Micros now_{};                   // time of the current frame
    std::string turn_;               // number of the current frame, returned in its answer
    bool in_frame_ = false;
};

}  // namespace badgergrade::wire
