"""Run the doctests of every module of the package."""

import doctest
import importlib
import pkgutil
import sys

import anvilshift


def run() -> int:
    attempted = 0
    failed = 0
    for found in pkgutil.walk_packages(anvilshift.__path__, "anvilshift."):
        if ".generated" in found.name:
            continue
        result = doctest.testmod(importlib.import_module(found.name))
        attempted += result.attempted
        failed += result.failed
    print(f"doctests: {attempted - failed} examples passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(run())
