#!/bin/sh
# TROUBLE=0: no bad client comes. The program reads it and writes record.txt.
cd "$(dirname "$0")" && exec env TROUBLE="${TROUBLE:-1}" ../target/release/case-3
