#!/usr/bin/env python3
"""Every command of waxwingctl and waxwing-timeline, with its documented exit code, against real processes."""
import json
import pathlib
import re
import subprocess

import harness
from harness import request, wait_until

ARGUMENTS = harness.arguments(__doc__)
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DEPLOYMENTS = sorted(str(file) for file in (ROOT / "deploy").glob("*.yaml"))


def small_deployment():
    """An administration process, a steward and a router; no targets."""
    return harness.Deployment(ARGUMENTS.bin, harness.small_layout(stewards=["cerro"], routers=["cerro"], targets=[]))


def start_and_wait(d):
    d.start()
    wait_until(d.programs["admin-1"].ready, "the administration process accepts")
    wait_until(lambda: d.admin("GET", "/v1/in-force").json()["live"] >= d.fed, "every process has a feed")
    return d


def exit_code(d, *arguments, **options):
    return d.ctl(*arguments, check=False, **options).returncode


def test_every_command_and_exit_code():
    with small_deployment() as d:
        start_and_wait(d)
        assert len(DEPLOYMENTS) == 2
        file = DEPLOYMENTS[0]
        assert exit_code(d, "diff", "-f", file) == 4
        assert exit_code(d, "apply", "-f", file, "--dry-run") == 0
        assert exit_code(d, "diff", "-f", file) == 4, "a dry run wrote"
        waited = d.ctl("apply", "-f", file, "--wait")
        assert re.search(r"in force in all \d+ processes", waited.stderr), waited.stderr
        assert exit_code(d, "diff", "-f", file) == 0
        assert exit_code(d, "show", "-f", file) == 0
        for kind in ("services", "models", "customers", "keys", "presets", "data-centres", "acceptors", "audit"):
            assert json.loads(d.ctl("get", kind, "-o", "json").stdout), kind
            assert d.ctl("get", kind, "-o", "yaml").stdout
        assert exit_code(d, "get", "customers", "nobody") == 1
        assert d.ctl("preset", "use", "peak", "--wait").returncode == 0
        assert json.loads(d.ctl("get", "preset-in-force", "-o", "json").stdout) == {"name": "peak"}
        assert exit_code(d, "preset", "use", "nothing") == 1
        key = json.loads(d.ctl("key", "grant", "taller-sur", "-o", "json").stdout)
        assert key["key"] in d.ctl("key", "grant", "taller-sur").stdout or key["key"].startswith("wxk_")
        assert exit_code(d, "key", "withdraw", key["id"]) == 0
        assert exit_code(d, "key", "withdraw", key["id"]) == 1
        assert d.ctl("data-centre", "take-out", "colon", "--wait").returncode == 0
        assert json.loads(d.ctl("status", "-o", "json").stdout)["data_centres"]["colon"] == "out"
        assert d.ctl("data-centre", "bring-back", "colon").returncode == 0
        assert "preset_in_force" in d.ctl("status").stdout
        assert exit_code(d, "no-such-command") == 2 and exit_code(d, "preset") == 2
        assert exit_code(d, "get", "presets", "--output", "xml") == 2
        bash = subprocess.run(["bash", "-n"], input=d.ctl("completion").stdout, text=True)
        assert bash.returncode == 0
        d.fault("down", "config/head")
        assert exit_code(d, "preset", "use", "ordinary") == 1
        d.clear_faults()
        wait_until(lambda: d.admin("GET", "/v1/status").json()["store_reachable"], "the store is reachable")
        d.fault("lose_answer", "config/head", 1, then_down=True)
        assert exit_code(d, "preset", "use", "ordinary") == 5
        d.clear_faults()
        wait_until(lambda: json.loads(d.ctl("get", "preset-in-force", "-o", "json").stdout)["name"] == "ordinary",
                   "the preset is stored")
        wait_until(lambda: d.admin("GET", "/v1/status").json()["store_reachable"], "the store is reachable again")
        # A frozen router does not apply the revision and is listed as lacking it.
        d.programs["router-1"].freeze()
        done = d.ctl("preset", "use", "peak", "--wait", "--timeout", "1", check=False)
        assert done.returncode == 6, done
        lacking = d.admin("GET", "/v1/in-force").json()["lacking"]
        assert [entry["process"] for entry in lacking] == ["router-1"], lacking
        d.programs["router-1"].thaw()
        wait_until(d.in_force, "the router has applied the revision")


FAULTY_FILES = [   # text, expected part of the message
    ("configuration: [", "line 1"),
    ("configuration:\n  models: 5\n", "configuration.models"),
    ("configuration:\n  models: [{service: s}]\n", "configuration.models[0]"),
    ("configuration:\n  customers: [{name: a}, {name: a}]\n", "appears more than once"),
    ("configuration:\n  customres: []\n", "configuration.customres"),
    ("configuration: {}\nconfiguration: {}\n", "appears more than once"),
    ("setup: {}\n", "setup"),
]


def test_faulty_files_are_reported():
    with small_deployment() as d:
        file = d.folder / "faulty.yaml"
        for text, expected in FAULTY_FILES:
            file.write_text(text)
            done = d.ctl("apply", "-f", str(file), check=False)
            assert done.returncode == 3 and expected in done.stderr, (text, done)
        assert exit_code(d, "apply", "-f", str(d.folder / "absent.yaml")) == 3
        assert exit_code(d, "apply") == 2


def test_timeline_marks_silent_processes():
    with small_deployment() as d:
        start_and_wait(d)
        d.ctl("apply", "-f", DEPLOYMENTS[0], "--wait")
        revision = d.admin("GET", "/v1/status").json()["revision"]
        pages = d.pages()
        d.programs["router-1"].kill()
        run = lambda *more: subprocess.run([str(d.bin / "waxwing-timeline"), *more, *pages], text=True,
                                           stdout=subprocess.PIPE, check=True).stdout
        lines = [json.loads(line) for line in run("-o", "jsonl").splitlines()]
        assert {"admin-1", "steward-1"} <= {line["process"] for line in lines}
        assert any(line["kind"] == "gap" and "does not answer" in line["what"] for line in lines)
        clocks = [line["clock"] for line in lines if line["kind"] != "gap"]
        assert clocks == sorted(clocks)
        followed = run("--subject", str(revision))
        assert f"{revision}: " in followed, followed
        page = run("-o", "html")
        assert page.startswith("<!doctype html>") and "http://" not in page.replace("http://www.w3.org", "")
        assert "admin-1" in page
        # explain merges the same time lines.
        done = d.ctl("explain", str(revision), "--pages", ",".join(pages))
        assert "admin-1" in done.stdout, done.stdout
        assert exit_code(d, "explain", "no-such-request", "--pages", ",".join(pages)) == 1
        assert subprocess.run([str(d.bin / "waxwing-timeline")], stderr=subprocess.DEVNULL).returncode == 2


if __name__ == "__main__":
    harness.run_cases([case for name, case in list(globals().items()) if name.startswith("test_")])
