#!/usr/bin/env python3
"""Compares docs/CONFIGURATION.md with the programs: examples pass --check, tables list exactly the settings read."""
import json
import pathlib
import re
import subprocess
import tempfile

import harness

ARGUMENTS = harness.arguments(__doc__)
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
READS = r'(?:top|in)\.(?:text|address|integer|bytes|duration|flag|number|addresses|texts|section|list)\(\s*"(\w+)"'
COMMON = {"name", "log_level"}     # read by every program


def chapters():
    """{program: (example, {setting: required})}"""
    out = {}
    for chapter in re.split(r"^## ", (ROOT / "docs" / "CONFIGURATION.md").read_text(), flags=re.M)[1:]:
        program = chapter.split("\n", 1)[0]
        if not program.startswith("waxwing-"):
            continue
        example = re.search(r"```yaml\n(.*?)```", chapter, re.S)[1]
        rows = dict(re.findall(r"^\| `(\w+)` \| (yes|no) \|", chapter, re.M))
        out[program] = (example, {name: required == "yes" for name, required in rows.items()})
    return out


def check(program, text):
    with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
        file.write(text)
        file.flush()
        done = subprocess.run([f"{ARGUMENTS.bin}/{program}", "--config", file.name, "--check"], text=True,
                              stdout=subprocess.PIPE, stderr=subprocess.PIPE)
        return done.returncode, done.stderr


def test_examples_are_valid_settings():
    assert len(chapters()) == 5
    for program, (example, _) in chapters().items():
        assert check(program, example) == (0, ""), (program, check(program, example))


def test_tables_list_exactly_the_settings_read():
    for program, (example, rows) in chapters().items():
        source = (ROOT / "src" / "programs" / program.removeprefix("waxwing-") / "settings.cpp").read_text()
        assert set(rows) | COMMON == set(re.findall(READS, source)) | COMMON, (program, set(rows))
        optional_not_in_example = {"tls"}
        assert set(re.findall(r"^(\w+):", example, re.M)) == (set(rows) | COMMON) - optional_not_in_example, program


def test_all_missing_required_settings_are_reported_together():
    for program, (_, rows) in chapters().items():
        code, faults = check(program, "unknown_setting: 1\n")
        assert code == 3 and "unknown_setting" in faults, faults
        missed = set(re.findall(r": (\w+): (?:is missing|expected at least one)", faults))
        assert missed == {name for name, required in rows.items() if required}, (program, missed, faults)


def test_wrong_units_are_refused():
    for program, (example, _) in chapters().items():
        for name, wrong in (("lease_term", "3"), ("memory", "80"), ("ramp_step_every", "1 second"), ("max_body", "4MiB"),
                            ("control_shards", "many"), ("http", "localhost"), ("listen", "127.0.0.1")):
            if re.search(rf"^{name}:", example, re.M):
                code, faults = check(program, re.sub(rf"^{name}: .*$", f"{name}: {wrong}", example, flags=re.M))
                assert code == 3 and f"{name}: expected" in faults, (program, name, faults)


if __name__ == "__main__":
    harness.run_cases([case for name, case in list(globals().items()) if name.startswith("test_")])
