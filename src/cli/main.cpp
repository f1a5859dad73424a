// badgergrade: one program, one sub-command a job. No logic in here.
#include <cerrno>
#include <cstdio>
#include <system_error>

#include "cli/cli.h"

namespace {

using namespace badgergrade::cli;

int said(Exit code, const char* text) {
    std::fprintf(stderr, "badgergrade: %s\n", text);
    return code;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"badgergrade: a control service behind plain proxies"};
    app.require_subcommand(1);
    Command chosen;
    add_governor(app, chosen);
    add_check_config(app, chosen);
    add_standin(app, chosen);
    add_day(app, chosen);
    add_node(app, chosen);
    add_replay(app, chosen);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& wrong) {
        const int code = app.exit(wrong);
        return code == 0 ? kGood : kBadSettings;
    }
    try {
        return chosen();
    } catch (const Failure& failure) {
        return said(failure.code, failure.what());
    } catch (const std::system_error& failure) {
        if (failure.code().value() == EMFILE || failure.code().value() == ENFILE) {
            return said(kNoDescriptors, failure.what());
        }
        return said(kCannotListen, failure.what());
    } catch (const std::exception& failure) {
        return said(kInternal, failure.what());
    }
}
