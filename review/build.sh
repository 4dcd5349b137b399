#!/bin/sh
# Builds the cases' programs and their stand-ins, without a network.
set -eu
cd "$(dirname "$0")"
exec cargo build --release --locked --offline
