// Plays one case: platform CASE. The environment holds RUN (the deploy file's command), RECORD (the file to write)
// and TROUBLE (0: the same without the disruption); GOVERNOR_LOG may name a file for its log. Exit code: 0 the rule held, 1 it was broken, 2 not run.
#include <cstdlib>
#include <iostream>
#include <string>

#include "cases.h"

int main(int argc, char** argv) {
    const std::string name = argc > 1 ? argv[1] : "";
    const char* trouble_text = std::getenv("TROUBLE");
    const bool trouble = !trouble_text || std::string(trouble_text) != "0";
    if (name == "one-by-one") {
        return standin::play_one_by_one(trouble);
    }
    if (name == "lone-cold-server") {
        return standin::play_lone_cold_server(trouble);
    }
    if (name == "takeover") {
        return standin::play_takeover(trouble);
    }
    std::cerr << "usage: platform one-by-one|lone-cold-server|takeover\n";
    return 2;
}
