#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs, the project's own
# (tests/flow_processes/standins.py) and those in lib/, so they are only
# compiled here, to find a missing or unsuitable interpreter.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'END'
import pathlib
import sys
import tomllib  # from Python 3.11 on

files = sorted(pathlib.Path(".").glob("*/*.py"))
files.append(pathlib.Path("../tests/flow_processes/standins.py"))
for path in files:
    compile(path.read_text(), str(path), "exec")
print(f"{len(files)} stand-ins and cases compiled, Python "
      f"{sys.version_info.major}.{sys.version_info.minor}")
END
