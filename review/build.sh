#!/bin/sh
# Builds the stand-ins that the scripts start. The build of the deploy file comes before it.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review -cp "target/lib/*" review/standin/*.java
