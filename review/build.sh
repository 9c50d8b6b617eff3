#!/usr/bin/env bash
# Builds the stand-ins of the cases; they need nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/standins
javac -Xlint:all -d target/standins standins/review/*.java
