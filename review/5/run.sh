#!/usr/bin/env bash
# Exits with 1 where the crashing request reached instances in more than three late retries; TROUBLE=0: it never comes.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp review/target/standins review.Crashing review/5
