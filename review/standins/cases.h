// The cases of this review; each plays one day and returns its exit code.
#pragma once

namespace standin {

int play_one_by_one(bool trouble);
int play_lone_cold_server(bool trouble);
int play_takeover(bool trouble);

}  // namespace standin
