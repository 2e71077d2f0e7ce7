#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exit code 1: the rule was broken,
# 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ravenport ] && [ -x target/standin ] || exit 2
exec target/standin one-zone-type . review/1
