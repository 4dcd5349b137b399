#!/bin/sh
# TROUBLE=0: the tenants are put in place once and not changed. The program reads it and writes record.txt.
cd "$(dirname "$0")" && exec env TROUBLE="${TROUBLE:-1}" ../target/release/case-3
