#!/usr/bin/env python3
"""docs/OPERATIONS.md's tables of events and of metrics against what the gateway writes."""
import pathlib
import re
import sys

from harness import Failure, arguments, run_cases

arguments(__doc__)
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def names_in_table(section):
    """Names in the first column of a section's table on the operators' page."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text().split(f"## {section}")[1].split("\n## ")[0]
    rows = [line.split("|")[1] for line in page.splitlines() if line.startswith("| `")]
    return set(re.findall(r"`(\w+)`", " ".join(rows)))


def expect_same(written, told):
    if written != told:
        raise Failure(f"only in the code: {sorted(written - told)}; only on the page: {sorted(told - written)}")


def the_table_names_exactly_the_events():
    header = (ROOT / "src" / "edge" / "decision_log.hpp").read_text()
    expect_same(set(re.findall(r'string_view \w+ = "(\w+)"', header)), names_in_table("The decision log"))


def the_table_names_exactly_the_metrics():
    source = (ROOT / "src" / "programs" / "gateway" / "metrics.cpp").read_text()
    expect_same(set(re.findall(r'"(waxwing_\w+)"', source)), names_in_table("The metrics"))


if __name__ == "__main__":
    run_cases([the_table_names_exactly_the_events, the_table_names_exactly_the_metrics])
    sys.exit(0)
