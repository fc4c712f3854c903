#!/usr/bin/env python3
"""Runs clang-tidy over all sources that are not generated.

The cache folder has one empty file per clean result, named after the hash of the
source, its project headers and .clang-tidy. A source with a cached result is
skipped.
"""

import concurrent.futures
import hashlib
import os
import pathlib
import re
import subprocess
import sys

INCLUDE = re.compile(r'^#include "([^"]+)"', re.MULTILINE)
ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path.home() / ".cache" / "cactuscross-lint"


def resolve(name):
    """Returns the project file that an include names, or None."""
    for folder in (ROOT / "include", ROOT):
        if (folder / name).is_file():
            return folder / name
    return None


def collect_includes(path, seen):
    """Adds `path` and all project headers that it includes, also indirectly, to `seen`."""
    if path in seen:
        return
    seen.add(path)
    for name in INCLUDE.findall(path.read_text()):
        header = resolve(name)
        if header is not None:
            collect_includes(header, seen)


def cache_entry(path):
    files = set()
    collect_includes(path, files)
    digest = hashlib.sha256((ROOT / ".clang-tidy").read_bytes())
    for file in sorted(files):
        digest.update(str(file.relative_to(ROOT)).encode())
        digest.update(file.read_bytes())
    return CACHE / digest.hexdigest()


def lint(path, build):
    entry = cache_entry(path)
    if entry.exists():
        return True
    result = subprocess.run(
        ["clang-tidy", "-p", build, "--quiet", str(path)],
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, check=False)
    if result.returncode == 0:
        entry.touch()
        return True
    print(result.stdout, flush=True)
    if not result.stdout.strip():
        print(result.stderr, flush=True)
    return False


def main():
    build = sys.argv[1]
    os.chdir(ROOT)
    CACHE.mkdir(parents=True, exist_ok=True)
    names = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard", "*.cc"],
        stdout=subprocess.PIPE, text=True, check=True).stdout.split()
    sources = [ROOT / name for name in names
               if ".pb." not in name and (ROOT / name).is_file()]
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        clean = list(pool.map(lambda path: lint(path, build), sources))
    print(f"lint: {sum(clean)} of {len(clean)} files clean")
    return 0 if all(clean) else 1


if __name__ == "__main__":
    sys.exit(main())
