/// @file
/// The adapter between the simulator and the policy: reads the simulator's protocol from standard
/// input, writes answers to standard output and errors to standard error.
#include <iostream>

#include "instance_host.h"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    badgergrade::wire::InstanceHost(std::cout, std::cerr).run(std::cin);
    return 0;
}
