// Channel model: how long the configuration channel takes for a message, learned from
// acknowledgements.
//
// A message takes a time for each line and a time of its own. The settings state the pace in lines
// per second; the real channel may be slower, for each line, for each message, or for both. While
// the channel is busy, the lines and messages that are acknowledged within a time show what it
// carries; an acknowledgement that comes earlier than the model explains shows that too. The two
// factors are the weighted least squares fit of these samples, with the stated pace as the prior;
// samples lose half of their weight in 20 s, so that without new ones the model returns
// to the stated pace.
//
// Where the settings state no pace, lines take no time until acknowledgements show otherwise.
//
// Units: lines, messages, and seconds as double. Invariant: the channel is never taken to be faster
// than stated.
#pragma once

#include <optional>

#include "policy/ids.h"
#include "policy/settings.h"

namespace badgergrade::policy {

class ChannelModel {
public:
    explicit ChannelModel(const Settings& settings);

    /// The time that the channel takes for messages of this many lines in total.
    double seconds(double lines, double messages) const {
        return lines * seconds_per_line_ + messages * seconds_per_message_;
    }

    /// To be called at least once a second or so: samples lose their weight with time.
    void advance(Micros now);
    /// Counts lines and messages that are now known to have been carried.
    void on_carried(double lines, double messages);
    /// Messages of this many lines in total have been carried within this time, or less: a bound
    /// that corrects a model which takes the channel to be slower.
    void on_carried_within(Micros now, double lines, double messages, double max_seconds);
    /// To be called after an acknowledgement. `busy`: something was still waiting in the channel
    /// when the acknowledged message left it.
    void on_acknowledged(Micros now, bool busy);

private:
    /// Sums over samples; `x` is the stated time of the lines and `y` the number of messages.
    struct Sums {
        double xx = 0;
        double xy = 0;
        double yy = 0;
        double xt = 0;
        double yt = 0;
    };

    void add_sample(Micros now, double lines, double messages, double seconds);
    void decay(Micros now);
    void fit();

    double stated_seconds_per_line_;
    double seconds_per_line_;
    double seconds_per_message_ = 0;
    Sums sums_;
    Micros decayed_at_{};
    /// When the current sample began; no value while the channel is not known to be busy.
    std::optional<Micros> sample_since_;
    double sample_lines_ = 0;
    double sample_messages_ = 0;
};

}  // namespace badgergrade::policy
