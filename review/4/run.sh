#!/usr/bin/env bash
# Exits with 1 where a requester got a success for a failure of an instance; TROUBLE=0: no bytes after an answer.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp review/target/standins review.Extra review/4
