// Hosts the instances of one process and plays frames to them. No decision is taken here.
#pragma once

#include <iosfwd>
#include <map>
#include <optional>
#include <string>

#include "codec.h"
#include "policy/planner.h"

namespace badgergrade::wire {

class Host {
public:
    Host(std::ostream& replies, std::ostream& complaints)
        : replies_(replies),
          complaints_(complaints) {}

    // Reads the wire to its end; every frame is answered and flushed.
    void run(std::istream& in);

private:
    void line(std::string_view text);
    void begin(const Parts& parts);
    void event(const Parts& parts);
    void reply();
    void fail(const std::string& governor, const char* what);
    void complain(std::string_view what);

    std::ostream& replies_;
    std::ostream& complaints_;
    std::map<std::string, policy::Planner> governors_;
    std::vector<std::string> touched_;
    std::map<std::string, std::string> failed_;
    Inventories lists_;
    int open_list_ = -1;
    std::int64_t rows_due_ = 0;
    std::int64_t line_number_ = 0;
    Micros now_{};
    std::string turn_;
    bool in_frame_ = false;
};

}  // namespace badgergrade::wire
