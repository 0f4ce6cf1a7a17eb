#!/usr/bin/env bash
# Checks the stand-ins of the third review. They are plain Python without
# dependencies; the entry hosts come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile harness3.py 1[1-5]/run.py
