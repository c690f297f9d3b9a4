#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standin/*.java
