#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
if command -v javac > /dev/null; then
  javac -nowarn -d target/review review/standin/*.java
else
  java -m jdk.compiler/com.sun.tools.javac.Main -nowarn -d target/review review/standin/*.java
fi
