#!/usr/bin/env python3
"""Contract tests of the administration API, with two real administration processes and the stand-in platform."""
import concurrent.futures
import json

import harness
from harness import Failure, request, wait_until

ARGUMENTS = harness.arguments(__doc__)
OWNER, EDITOR, READER = "token-owner", "token-editor", "token-reader"
OPERATORS = [
    {"name": "olga", "team": "platform", "role": "owner", "token_digest": harness.digest_of(OWNER)},
    {"name": "emil", "team": "seams", "role": "editor", "token_digest": harness.digest_of(EDITOR)},
    {"name": "eva", "team": "lots", "role": "editor", "token_digest": harness.digest_of("token-eva")},
    {"name": "rosa", "team": "seams", "role": "reader", "token_digest": harness.digest_of(READER)}]
CUSTOMER = {"name": "norte", "tokens_per_second": 100, "burst_tokens": 200}
PRESETS = [{"name": name, "idle_price": price} for name, price in (("ordinary", 1), ("peak", 0.5), ("night", 3))]


def layout():
    return harness.small_layout(stewards=[], routers=[], targets=[], admins=["cerro", "la-teja"], operators=OPERATORS)


class admins(harness.Deployment):
    """Two administration processes over one empty store, both accepting."""

    def __init__(self):
        super().__init__(ARGUMENTS.bin, layout())

    def __enter__(self):
        self.start()
        for admin in self.admins:
            wait_until(self.programs[admin["name"]].ready, f"{admin['name']} accepts changes")
        return self

    def call(self, method, path, body=None, index=0, token=OWNER, **headers):
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.admin(method, path, body, headers, index, token)

    def expect(self, status, method, path, body=None, **options):
        answer = self.call(method, path, body, **options)
        assert answer.status == status, f"{method} {path}: expected status {status}, got {answer}"
        return answer

    def revision(self, index=0):
        return self.expect(200, "GET", "/v1/status", index=index).json()["revision"]


def test_create_read_change_delete():
    with admins() as d:
        made = d.expect(201, "POST", "/v1/customers", CUSTOMER)
        tag = made.headers["etag"]
        read = wait_until(lambda: (a := d.call("GET", "/v1/customers/norte", index=1)).status == 200 and a,
                          "the other process serves the customer")
        assert read.headers["etag"] == tag and read.json()["weight"] == 1, read
        d.expect(409, "POST", "/v1/customers", CUSTOMER, index=1)
        d.expect(428, "PUT", "/v1/customers/norte", CUSTOMER)
        changed = d.expect(200, "PUT", "/v1/customers/norte", {**CUSTOMER, "burst_tokens": 300}, If_Match=tag)
        d.expect(412, "PUT", "/v1/customers/norte", {**CUSTOMER, "burst_tokens": 400}, If_Match=tag, index=1)
        d.expect(412, "DELETE", "/v1/customers/norte", If_Match=tag)
        same = d.expect(200, "PUT", "/v1/customers/norte", {**CUSTOMER, "burst_tokens": 300},
                        If_Match=changed.headers["etag"])
        assert same.json()["changed"] is False and same.headers["etag"] == changed.headers["etag"], same
        d.expect(200, "DELETE", "/v1/customers/norte", If_Match=changed.headers["etag"])
        d.expect(404, "GET", "/v1/customers/norte")


def test_processes_started_together_all_accept():
    for _ in range(8):
        with admins() as d:
            assert d.revision() == 2


def test_dry_run_writes_nothing():
    with admins() as d:
        before = d.revision()
        assert d.expect(200, "POST", "/v1/customers?dry_run=true", CUSTOMER).json()["changed"] is False
        d.expect(422, "POST", "/v1/customers?dry_run=true", {"name": "norte"})
        d.expect(400, "POST", "/v1/customers?dryrun=true", CUSTOMER)     # a misspelt parameter must not cause a write
        assert d.revision() == before


FAULTY = [   # path, body, expected status, pointers that the faults must include
    ("/v1/customers", {"name": "norte", "burst_tokens": -1, "colour": "red"}, 422,
     {"/tokens_per_second", "/burst_tokens", "/colour"}),
    ("/v1/customers", {**CUSTOMER, "name": "nor/te"}, 422, {"/name"}),
    ("/v1/customers", {**CUSTOMER, "name": "no\u0000rte"}, 422, {"/name"}),
    ("/v1/customers", {**CUSTOMER, "name": "x" * 64}, 422, {"/name"}),
    ("/v1/customers", {**CUSTOMER, "name": "ñorte"}, 422, {"/name"}),
    ("/v1/customers", {**CUSTOMER, "tokens_per_second": 1e300}, 422, {"/tokens_per_second"}),
    ("/v1/services", {"name": "s", "kind": "magic"}, 422, {"/kind"}),
    ("/v1/models", {"name": "m", "service": "nowhere", "version": "1", "bytes": 1}, 422, {"/service"}),
    ("/v1/keys", {"customer": "nobody"}, 422, {"/customer"}),
    ("/v1/keys", {"customer": "nobody", "key": "wxk_a_b"}, 422, {"/key"}),
    ("/v1/changes", {"changes": []}, 422, {"/changes"}),
    ("/v1/changes", {"changes": [{"key": "customer/a", "value": {"name": "a"}},
                                 {"key": "nothing/b", "value": {}}]}, 422,
     {"/changes/0/value/tokens_per_second", "/changes/0/value/burst_tokens", "/changes/1/value"}),
    ("/v1/changes", {"changes": [{"key": "key/abc", "value": {"id": "abc"}}]}, 422, {"/changes/0/key"}),
    ("/v1/changes", {"changes": [{"key": "acceptor/me", "value": None}]}, 422, {"/changes/0/key"}),
    ("/v1/changes", {"changes": [{"key": "customer/a", "value": None, "if_revision": "1"}]}, 422,
     {"/changes/0/if_revision"}),
    ("/v1/customers", b"{", 400, set()),
    ("/v1/customers", b'{"name":"\xff"}', 400, set()),
    ("/v1/customers", b"[]", 400, set()),
    ("/v1/nothing", {}, 404, set()),
    ("/v1/status", {}, 404, set()),
]


def test_every_fault_is_reported():
    with admins() as d:
        before = d.revision()
        for path, body, status, pointers in FAULTY:
            answer = d.call("POST", path, body)
            assert answer.status == status, f"{path} {body}: {answer}"
            problem = answer.json()
            assert problem["accepted"] == "no" and problem["code"] and problem["title"], problem
            named = {fault["pointer"] for fault in problem.get("faults", [])}
            assert pointers <= named, f"{path} {body}: expected {pointers}, got {named}"
        assert d.revision() == before


def test_entries_in_use_cannot_be_deleted():
    with admins() as d:
        d.expect(201, "POST", "/v1/customers", CUSTOMER)
        d.expect(201, "POST", "/v1/keys", {"customer": "norte"})
        d.expect(201, "POST", "/v1/services", {"name": "s", "kind": "model"})
        d.expect(201, "POST", "/v1/models", {"name": "m", "service": "s", "version": "1", "bytes": 5})
        d.expect(201, "POST", "/v1/presets", PRESETS[0])
        d.expect(422, "PUT", "/v1/preset-in-force", {"name": "peak"}, If_None_Match="*")
        d.expect(201, "PUT", "/v1/preset-in-force", {"name": "ordinary"}, If_None_Match="*")
        for path in ("customers/norte", "services/s", "presets/ordinary"):
            tag = d.expect(200, "GET", f"/v1/{path}").headers["etag"]
            answer = d.expect(409, "DELETE", f"/v1/{path}", If_Match=tag).json()
            assert answer["code"] == "in_use" and "needs it" in answer["faults"][0]["expected"], answer


def test_roles_and_teams():
    with admins() as d:
        d.expect(401, "GET", "/v1/status", token="wrong")
        d.expect(200, "GET", "/v1/customers", token=READER)
        d.expect(403, "POST", "/v1/customers", CUSTOMER, token=READER)
        tag = d.expect(201, "POST", "/v1/customers", CUSTOMER, token=EDITOR).headers["etag"]
        d.expect(201, "POST", "/v1/services", {"name": "s", "kind": "model"}, token=EDITOR)
        for method, path, body in (
                ("PUT", "/v1/customers/norte", {**CUSTOMER, "burst_tokens": 1}), ("DELETE", "/v1/customers/norte", None),
                ("POST", "/v1/keys", {"customer": "norte"}),
                ("POST", "/v1/models", {"name": "m", "service": "s", "version": "1", "bytes": 5}),
                ("POST", "/v1/presets", PRESETS[0])):
            d.expect(403, method, path, body, token="token-eva", If_Match=tag)
        # A change by an owner does not change the entry's team.
        tag = d.expect(200, "PUT", "/v1/customers/norte", {**CUSTOMER, "burst_tokens": 1}, If_Match=tag).headers["etag"]
        d.expect(200, "PUT", "/v1/customers/norte", CUSTOMER, token=EDITOR, If_Match=tag)


def test_key_is_shown_once_and_second_withdrawal_is_refused():
    with admins() as d:
        d.expect(201, "POST", "/v1/customers", CUSTOMER)
        made = d.expect(201, "POST", "/v1/keys", {"customer": "norte"}, Idempotency_Key="k1").json()
        again = d.expect(200, "POST", "/v1/keys", {"customer": "norte"}, Idempotency_Key="k1", index=1).json()
        assert again["id"] == made["id"] and "key" not in again, again
        assert made["key"].startswith(f"wxk_{made['id']}_")
        secret = made["key"].split("_")[2]
        head = request(d.platform_address, "GET", "/objects/config/head").text
        assert secret not in head and harness.digest_of(made["key"]) in head
        assert "digest" not in d.expect(200, "GET", "/v1/keys").text
        d.expect(200, "DELETE", f"/v1/keys/{made['id']}")
        twice = d.expect(404, "DELETE", f"/v1/keys/{made['id']}", index=1).json()
        assert twice["accepted"] == "no" and made["id"] in twice["title"], twice
        for program in d.programs.values():
            assert secret not in program.log_text()
        assert secret not in "".join(request(page, "GET", "/timeline").text for page in d.pages())


def test_concurrent_preset_switches_have_one_winner():
    with admins() as d:
        for preset in PRESETS:
            d.expect(201, "POST", "/v1/presets", preset)
        tag = d.expect(201, "PUT", "/v1/preset-in-force", {"name": "ordinary"}, If_None_Match="*").headers["etag"]
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            switch = lambda index, name: d.call("PUT", "/v1/preset-in-force", {"name": name}, index=index, If_Match=tag)
            answers = list(pool.map(switch, (0, 1), ("peak", "night")))
        assert sorted(a.status for a in answers) == [200, 412], answers
        winner = ("peak", "night")[[a.status for a in answers].index(200)]
        for index in (0, 1):
            wait_until(lambda i=index: d.call("GET", "/v1/preset-in-force", index=i).json()["name"] == winner,
                       "both processes show the winner")
        loser = next(a for a in answers if a.status == 412)
        assert loser.json()["code"] == "changed_meanwhile" and loser.json()["accepted"] == "no", loser


def test_300_changes_in_a_burst():
    with admins() as d:
        make = lambda i: d.call("POST", "/v1/customers", {**CUSTOMER, "name": f"c{i}"}, index=i % 2)
        with concurrent.futures.ThreadPoolExecutor(32) as pool:
            answers = list(pool.map(make, range(300)))
        assert all(a.status == 201 for a in answers), [a for a in answers if a.status != 201][:3]
        revisions = [a.json()["revision"] for a in answers]
        assert len(set(revisions)) == 300
        head = request(d.platform_address, "GET", "/objects/config/head")
        assert head.json()["revision"] == max(revisions) and head.json()["base"] > 0
        assert len(head.body) < 1_000_000
        calls = request(d.platform_address, "GET", "/audit").json()["calls"]
        print(f"        300 changes: {calls}")
        # A restarted process reads the snapshot and the tail.
        d.restart("admin-2")
        wait_until(d.programs["admin-2"].ready, "admin-2 accepts changes again")
        listed = d.expect(200, "GET", "/v1/customers", index=1).json()
        assert len(listed["items"]) == 300
        sealed = request(d.platform_address, "GET", "/objects?prefix=audit/").json()
        assert sealed, "no sealed audit trail"
        records = request(d.platform_address, "GET", "/objects/" + sealed[0]["key"]).json()
        assert any(r["by"] == "olga" and r["key"].startswith("customer/") and r["before"] == "" for r in records)


STORE_FAULTS = [   # kind, count, status of the change, whether it is stored afterwards
    ("lose_answer", 1, 201, True),
    ("lose_answer", 3, 201, True),
    ("reject", -1, 503, False),
    ("down", -1, 503, False),
    ("slow", 1, 201, True),       # 400 ms late, within the timeout of the call
]


def test_store_faults_during_a_change():
    with admins() as d:
        for number, (kind, count, status, stored) in enumerate(STORE_FAULTS):
            name = f"c{number}"
            d.fault(kind, "config/head", count, 400 if kind == "slow" else 0)
            answer = d.call("POST", "/v1/customers", {**CUSTOMER, "name": name})
            assert answer.status == status, f"{kind}: {answer}"
            if status == 503:
                assert answer.json()["accepted"] == "no" and "retry-after" in answer.headers, answer
            d.clear_faults()
            wait_until(lambda: d.call("GET", "/v1/status").json()["store_reachable"], "the store is reachable again")
            present = f"customer/{name}" in request(d.platform_address, "GET", "/objects/config/head").text
            assert present == stored, f"{kind}: present {present}"
            d.expect(409 if stored else 201, "POST", "/v1/customers", {**CUSTOMER, "name": name})
        d.expect(200, "GET", "/v1/status")


def test_lost_answer_with_store_down_gives_unknown_outcome():
    with admins() as d:
        # The write takes effect, its answer is lost, and nothing can be read back.
        d.fault("lose_answer", "config/head", 1, then_down=True)
        answer = d.expect(504, "POST", "/v1/customers", CUSTOMER)
        assert answer.json()["accepted"] == "unknown", answer
        refused = d.expect(503, "POST", "/v1/customers", {**CUSTOMER, "name": "sur"})
        assert refused.json()["accepted"] == "no", refused
        d.clear_faults()
        wait_until(lambda: d.call("GET", "/v1/customers/norte").status == 200, "the customer is stored")
        wait_until(lambda: d.call("POST", "/v1/customers", {**CUSTOMER, "name": "sur"}).status == 201,
                   "the next change is accepted")


def test_oversized_changes_are_refused():
    with admins() as d:
        d.expect(201, "POST", "/v1/services", {"name": "s", "kind": "model"})
        adapters = [{"name": f"adapter-{i}", "bytes": 1000} for i in range(12_000)]
        big = {"name": "m", "service": "s", "version": "1", "bytes": 5, "adapters": adapters}
        before = d.revision()
        answer = d.expect(413, "POST", "/v1/models", big).json()
        assert answer["accepted"] == "no", answer
        assert request(d.admins[0]["address"], "POST", "/v1/models", b"x" * 5_000_000,
                       {"Authorization": f"Bearer {OWNER}"}).status == 413
        assert d.revision() == before
        # Large changes that fit are accepted one by one, and the head stays below the store's limit.
        for i in range(6):
            d.expect(201, "POST", "/v1/models", {**big, "name": f"m{i}", "adapters": adapters[:7_000]})
        head = request(d.platform_address, "GET", "/objects/config/head")
        assert len(head.body) < 1_000_000 and head.json()["base"] > 0, len(head.body)
        d.restart("admin-2")
        wait_until(lambda: len(d.call("GET", "/v1/models", index=1).json()["items"]) == 6, "the snapshot is read")


def test_older_head_is_refused():
    with admins() as d:
        d.expect(201, "POST", "/v1/customers", CUSTOMER)
        old = request(d.platform_address, "GET", "/objects/config/head")
        d.expect(201, "POST", "/v1/presets", PRESETS[0])
        new = request(d.platform_address, "GET", "/objects/config/head")
        put = request(d.platform_address, "PUT", "/objects/config/head", old.body, {"If-Match": new.headers["etag"]})
        assert put.status == 200, put
        wait_until(lambda: "older" in d.programs["admin-1"].log_text(), "admin-1 logs the older head")
        assert d.call("GET", "/v1/presets/ordinary").status == 200
        refused = d.call("POST", "/v1/presets", PRESETS[1])
        assert refused.status == 503 and refused.json()["accepted"] == "no", refused


def test_new_acceptor_waits_for_acknowledgements():
    with harness.Deployment(ARGUMENTS.bin, layout()) as d:
        d.start("platform", "admin-1")
        wait_until(d.programs["admin-1"].ready, "admin-1 accepts changes")
        d.programs["admin-1"].freeze()      # still running, but does not answer
        d.start("admin-2")
        wait_until(lambda: "Registered" in d.programs["admin-2"].log_text(), "admin-2 is registered")
        status = d.admin("GET", "/v1/status", index=1, token=OWNER).json()
        assert status["accepting"] is False and len(status["acceptors"]) == 2, status
        refused = d.admin("POST", "/v1/customers", CUSTOMER, index=1, token=OWNER)
        assert refused.status == 503 and refused.json()["code"] == "not_an_acceptor", refused
        d.programs["admin-1"].thaw()
        wait_until(d.programs["admin-2"].ready, "admin-2 accepts changes once admin-1 has acknowledged it")
        assert d.admin("POST", "/v1/customers", CUSTOMER, index=1, token=OWNER).status == 201


def test_acceptor_without_vm_does_not_block_others():
    with harness.Deployment(ARGUMENTS.bin, layout()) as d:
        d.start("platform", "admin-1")
        wait_until(d.programs["admin-1"].ready, "admin-1 accepts changes")
        d.programs["admin-1"].kill()
        d.start("admin-2")
        wait_until(lambda: "Registered" in d.programs["admin-2"].log_text(), "admin-2 is registered")
        assert not d.programs["admin-2"].ready()
        request(d.platform_address, "DELETE", "/vms/vm-admin-1")
        wait_until(d.programs["admin-2"].ready, "admin-2 accepts changes once the VM of admin-1 is removed")
        acceptors = d.admin("GET", "/v1/acceptors", index=1, token=OWNER).json()["items"]
        assert [acceptor["key"] for acceptor in acceptors] == ["acceptor/vm-admin-2"], acceptors


if __name__ == "__main__":
    harness.run_cases([case for name, case in list(globals().items()) if name.startswith("test_")])
