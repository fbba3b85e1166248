#!/usr/bin/env python3
"""Checks the tables of events and metrics in docs/OPERATIONS.md against the gateway's source."""
import pathlib
import re
import sys

from harness import Failure, arguments, run_cases

arguments(__doc__)
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def names_in_table(section):
    """Names in the first column of a section's table in docs/OPERATIONS.md."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text().split(f"## {section}")[1].split("\n## ")[0]
    rows = [line.split("|")[1] for line in page.splitlines() if line.startswith("| `")]
    return set(re.findall(r"`(\w+)`", " ".join(rows)))


def expect_same(in_code, in_page):
    if in_code != in_page:
        raise Failure(f"only in the code: {sorted(in_code - in_page)}; only on the page: {sorted(in_page - in_code)}")


def events_table_matches_the_code():
    header = (ROOT / "src" / "edge" / "decision_log.hpp").read_text()
    expect_same(set(re.findall(r'string_view \w+ = "(\w+)"', header)), names_in_table("The decision log"))


def metrics_table_matches_the_code():
    source = (ROOT / "src" / "programs" / "gateway" / "metrics.cpp").read_text()
    expect_same(set(re.findall(r'"(waxwing_\w+)"', source)), names_in_table("The metrics"))


if __name__ == "__main__":
    run_cases([events_table_matches_the_code, metrics_table_matches_the_code])
    sys.exit(0)
