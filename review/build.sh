#!/usr/bin/env bash
# Compiles the stand-ins and the drivers of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 --add-modules jdk.httpserver -Xlint:none -d target/review review/standin/*.java
