#!/usr/bin/env bash
# Builds the stand-in platform that the cases start. Needs the C++ compiler of the deploy file's build, nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
g++ -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -o out/platform standins/*.cpp
