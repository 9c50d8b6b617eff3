#!/usr/bin/env bash
# Exits with 1 where two instances held the same keys for over half a second; TROUBLE=0: no check-in of another writer.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp review/target/standins review.OtherWriter review/1
