#!/bin/sh
# Builds the stand-ins and clients of the cases of REPORT-2.md. Run after the build of the deploy
# file; needs a JDK 17 and nothing from a network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standin-2/*.java
