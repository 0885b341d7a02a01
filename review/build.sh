#!/usr/bin/env bash
# Builds what the scripts of the review need. The stand-ins are Python of the
# standard library, so compiling them checks that this Python can run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text("utf-8"), str(path), "exec")
END
