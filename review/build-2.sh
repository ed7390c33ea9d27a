#!/bin/bash
# Builds the stand-ins that the scripts of the second review start.
cd "$(dirname "$0")/.." || exit 2
go build -o target/review/cases-2 ./review/_cases-2
