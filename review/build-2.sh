#!/bin/sh
# Builds the programs of cases 6 to 10 with all their stand-ins, without a network.
set -eu
cd "$(dirname "$0")/standin-2"
exec cargo build --release --locked --offline
