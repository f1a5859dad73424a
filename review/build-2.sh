#!/bin/bash
# Builds the stand-ins of the second review into review/out. The project's own stand-ins are sub-commands
# of the program that the build of the deploy file leaves.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/out
for name in free_ports slice_world cold_world list_registry log_worker; do
    ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread -o "review/out/$name" "review/standins-2/$name.cpp"
done
echo "built into review/out"
