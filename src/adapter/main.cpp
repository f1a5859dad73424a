/// @file
/// The simulator's adapter: reads the wire from standard input, answers on standard output, reports
/// errors on standard error.
#include <iostream>

#include "instance_host.h"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    badgergrade::wire::InstanceHost(std::cout, std::cerr).run(std::cin);
    return 0;
}
