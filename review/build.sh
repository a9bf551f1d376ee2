#!/bin/bash
# Builds the stand-ins of all cases into review/out. Needs only the JDK.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
javac -encoding UTF-8 -d out src/*.java
