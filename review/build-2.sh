#!/usr/bin/env bash
# Builds the stand-ins of the second review: they use the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -c 'import ast, pathlib; [ast.parse(p.read_text("utf-8")) for p in (pathlib.Path("platform2.py"), *pathlib.Path().glob("[4-8]/play.py"))]'
echo "built"
