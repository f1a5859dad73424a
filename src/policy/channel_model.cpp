// The samples and their fit; channel_model.h describes the model.
#include "policy/channel_model.h"

#include <algorithm>
#include <cmath>

namespace badgergrade::policy {
namespace {

/// A sample covers at least this time, so that differences between network delays matter little.
constexpr double kMinSampleSeconds = 0.3;
constexpr double kSampleHalfLifeSeconds = 20;
/// The prior counts as much as a sample of this time.
constexpr double kPriorSeconds = 0.05;
/// The time of a message's own that is as likely as a channel that takes twice the stated time for
/// each line.
constexpr double kTypicalSecondsPerMessage = 0.002;

}  // namespace

ChannelModel::ChannelModel(const Settings& settings)
    : stated_seconds_per_line_(
          settings.channel_lines_per_second > 0 ? 1 / settings.channel_lines_per_second : 0),
      seconds_per_line_(stated_seconds_per_line_) {}

void ChannelModel::advance(Micros now) {
    if (to_seconds(now - decayed_at_) >= kMinSampleSeconds) {
        decay(now);
        fit();
    }
}

void ChannelModel::on_carried(double lines, double messages) {
    sample_lines_ += lines;
    sample_messages_ += messages;
}

void ChannelModel::on_acknowledged(Micros now, bool busy) {
    const double elapsed = sample_since_ ? to_seconds(now - *sample_since_) : 0;
    if (busy && sample_since_ && elapsed < kMinSampleSeconds) {
        return;
    }
    if (busy && sample_since_) {
        add_sample(now, sample_lines_, sample_messages_, elapsed);
    }
    sample_since_ = busy ? std::optional(now) : std::nullopt;
    sample_lines_ = 0;
    sample_messages_ = 0;
}

void ChannelModel::on_carried_within(Micros now, double lines, double messages,
                                     double max_seconds) {
    if (seconds(lines, messages) > max_seconds) {
        add_sample(now, lines, messages, max_seconds);
    }
}

void ChannelModel::add_sample(Micros now, double lines, double messages, double seconds) {
    decay(now);
    const double line_seconds = lines * stated_seconds_per_line_;
    sums_.xx += line_seconds * line_seconds;
    sums_.xy += line_seconds * messages;
    sums_.yy += messages * messages;
    sums_.xt += line_seconds * seconds;
    sums_.yt += messages * seconds;
    fit();
}

void ChannelModel::decay(Micros now) {
    const double factor = std::exp2(-to_seconds(now - decayed_at_) / kSampleHalfLifeSeconds);
    decayed_at_ = now;
    for (double* sum : {&sums_.xx, &sums_.xy, &sums_.yy, &sums_.xt, &sums_.yt}) {
        *sum *= factor;
    }
}

// The prior is a factor of 1 for the lines and no time for a message. Where the best fit is faster
// than stated, the factor is 1 and the time of a message alone is fitted, or none.
void ChannelModel::fit() {
    const double prior_xx = kPriorSeconds * kPriorSeconds;
    const double messages = kPriorSeconds / kTypicalSecondsPerMessage;
    const double prior_yy = messages * messages;
    const double xx = sums_.xx + prior_xx;
    const double yy = sums_.yy + prior_yy;
    const double xt = sums_.xt + prior_xx;
    const double determinant = xx * yy - sums_.xy * sums_.xy;
    double factor = (xt * yy - sums_.yt * sums_.xy) / determinant;
    double message_seconds = (xx * sums_.yt - sums_.xy * xt) / determinant;
    if (factor < 1) {
        factor = 1;
        message_seconds = (sums_.yt - sums_.xy) / yy;
    }
    if (message_seconds < 0) {
        message_seconds = 0;
        factor = std::max(1.0, xt / xx);
    }
    seconds_per_line_ = stated_seconds_per_line_ * factor;
    seconds_per_message_ = message_seconds;
}

}  // namespace badgergrade::policy
