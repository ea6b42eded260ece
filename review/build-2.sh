#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -Werror -encoding UTF-8 -d target/review-2 review/standin-2/*.java
