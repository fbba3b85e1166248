#!/usr/bin/env python3
"""docs/OPERATIONS.md's table of events against the vocabulary that the gateway writes."""
import pathlib
import re
import sys

from harness import Failure, arguments, run_cases

arguments(__doc__)
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def the_table_names_exactly_the_events():
    header = (ROOT / "src" / "edge" / "decision_log.hpp").read_text()
    written = set(re.findall(r'string_view \w+ = "(\w+)"', header))
    page = (ROOT / "docs" / "OPERATIONS.md").read_text().split("## The decision log")[1].split("\n## ")[0]
    rows = [line.split("|")[1] for line in page.splitlines() if line.startswith("| `")]
    told = set(re.findall(r"`(\w+)`", " ".join(rows)))
    if written != told:
        raise Failure(f"only in the code: {sorted(written - told)}; only on the page: {sorted(told - written)}")


if __name__ == "__main__":
    run_cases([the_table_names_exactly_the_events])
    sys.exit(0)
