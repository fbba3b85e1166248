#!/usr/bin/env python3
"""Compares docs/openapi.yaml with the administration process: operations, statuses, and no undocumented operation.

The document is parsed line by line by its fixed indentation: paths at two spaces, methods at four, statuses at eight.
"""
import pathlib
import re

import harness
from harness import wait_until

ARGUMENTS = harness.arguments(__doc__)
DOCUMENT = pathlib.Path(__file__).resolve().parent.parent.parent / "docs" / "openapi.yaml"
METHODS = ("GET", "POST", "PUT", "DELETE", "PATCH")
VALUES = {   # a valid value for each collection
    "services": {"name": "s1", "kind": "model"}, "models": {"name": "m1", "service": "s1", "version": "1", "bytes": 5},
    "customers": {"name": "c1", "tokens_per_second": 1, "burst_tokens": 1}, "presets": {"name": "p1"},
    "data-centres": {"name": "d1", "region": "r", "state": "in"}, "keys": {"customer": "c1"},
    "preset-in-force": {"name": "p1"}, "changes": {"changes": [{"key": "preset/p2", "value": {"name": "p2"}}]}}
NAMES = {"services": "s1", "models": "s1/m1", "customers": "c1", "presets": "p1", "data-centres": "d1",
         "keys": "none", "acceptors": "none"}


def documented():
    """{(METHOD, path): set of statuses} and {schema: (required, properties)}."""
    operations, schemas, path, method, schema = {}, {}, None, None, None
    for line in DOCUMENT.read_text().splitlines():
        if found := re.match(r"  (/v1/\S+):$", line):
            path = found[1]
        elif found := re.match(r"    (get|post|put|delete):$", line):
            method = found[1].upper()
            operations[method, path] = set()
        elif found := re.match(r'        "(\d+)":', line):
            operations[method, path].add(int(found[1]))
        elif found := re.match(r"    ([A-Z]\w+):$", line):
            schema = found[1]
            schemas[schema] = (set(), set())
        elif schema and (found := re.match(r"      required: \[(.*)\]$", line)):
            schemas[schema][0].update(found[1].split(", "))
        elif schema and (found := re.match(r"        ([a-z_]+): \{", line)):
            schemas[schema][1].add(found[1])
        elif schema and (found := re.match(r"      properties: \{(.*)\}$", line)):
            schemas[schema][1].update(re.findall(r"(\w+): \{", found[1]))
    return operations, schemas


def deployment():
    return harness.Deployment(ARGUMENTS.bin, harness.small_layout(stewards=[], routers=[], targets=[]))


def test_every_operation_is_served_as_documented():
    operations, _ = documented()
    assert len(operations) > 25, operations
    with deployment() as d:
        d.start()
        wait_until(d.programs["admin-1"].ready, "the administration process accepts changes")
        order = {"POST": 0, "GET": 1, "PUT": 2, "DELETE": 3}
        dependent = ["services", "customers", "presets", "data-centres", "models", "keys", "preset-in-force"]
        collection = lambda path: path.split("/")[2]
        rank = lambda path: dependent.index(collection(path)) if collection(path) in dependent else len(dependent)
        seen = {}
        for method, path in sorted(operations, key=lambda o: (order[o[0]], rank(o[1]) * (-1 if o[0] == "DELETE" else 1))):
            where = re.sub(r"\{.*\}", lambda _: NAMES[collection(path)], path)
            body = VALUES.get(collection(path))
            tries = [(body, {}), (body, {"If-Match": '"999999"'}), (body, {"If-None-Match": "*"}), ("[", {"If-Match": '"1"'}),
                     ({**(body or {}), "colour": 1}, {"If-Match": d.admin("GET", where).headers.get("etag", '"1"')})]
            for content, headers in tries[:1] if method == "GET" else tries:
                answer = d.admin(method, where, content if method in ("POST", "PUT") else None, headers)
                assert answer.status in operations[method, path], f"{method} {where}: {answer} is not documented"
                seen.setdefault((method, path), set()).add(answer.status)
            unknown = d.admin(method, where, body, token="wrong")
            assert unknown.status == 401 and 401 in operations[method, path], unknown
        assert all(any(status < 500 for status in statuses) for statuses in seen.values())


def test_undocumented_operations_are_refused():
    operations, _ = documented()
    with deployment() as d:
        d.start()
        wait_until(d.programs["admin-1"].ready, "the administration process accepts changes")
        for path in {path for _, path in operations}:
            where = re.sub(r"\{.*\}", lambda _: NAMES[path.split("/")[2]], path)
            for method in METHODS:
                if (method, path) not in operations:
                    assert d.admin(method, where, {}).status in (404, 405), (method, where)


def test_schema_members_match_the_server():
    _, schemas = documented()
    with deployment() as d:
        d.start()
        wait_until(d.programs["admin-1"].ready, "the administration process accepts changes")
        kinds = {"Service": "services", "Model": "models", "Customer": "customers", "Preset": "presets",
                 "DataCentre": "data-centres"}
        for schema, path in kinds.items():
            required, properties = schemas[schema]
            # A known member of a wrong type and an unknown one are both reported, with different texts.
            wrong = {name: {"no": "such type"} for name in properties}
            faults = d.admin("POST", f"/v1/{path}?dry_run=true", wrong).json()["faults"]
            known = {f["pointer"][1:] for f in faults if f["pointer"].count("/") == 1 and "no such member" not in f["expected"]}
            assert known == properties, (schema, known ^ properties)
            missing = {f["pointer"][1:] for f in d.admin("POST", f"/v1/{path}?dry_run=true", {}).json()["faults"]
                       if "missing" in f["expected"]}
            assert missing == required, (schema, missing ^ required)


if __name__ == "__main__":
    harness.run_cases([case for name, case in list(globals().items()) if name.startswith("test_")])
