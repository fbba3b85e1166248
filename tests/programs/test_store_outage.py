#!/usr/bin/env python3
"""The whole path while the platform's store is gone for longer than a lease's term, and after."""
import sys

from harness import Deployment, Failure, arguments, request, run_cases, small_layout, wait_until

ARGUMENTS = arguments(__doc__)
SHARDS = 16
CONFIGURATION = [
    ("/v1/services/seam-assistant", {"name": "seam-assistant", "kind": "model"}),
    ("/v1/services/lot-registry", {"name": "lot-registry", "kind": "plain", "routes": [
        {"path_prefix": "/", "method": "*", "repeatable": False}]}),
    ("/v1/models/seam-assistant/m1", {"name": "m1", "service": "seam-assistant", "version": "1",
                                      "bytes": 10_000_000_000, "max_replicas": 2, "load_estimate_ms": 200}),
    ("/v1/customers/norte", {"name": "norte", "tokens_per_second": 100_000, "burst_tokens": 100_000}),
    ("/v1/presets/ordinary", {"name": "ordinary"}),
    ("/v1/preset-in-force", {"name": "ordinary"})]


def configure(deployment):
    wait_until(deployment.programs["admin-1"].ready, "the administration is ready")
    for path, value in CONFIGURATION:
        answer = deployment.admin("PUT", path, value, {"If-None-Match": "*"})
        if answer.status != 201:
            raise Failure(f"{path} was not accepted: {answer}")
    key = deployment.grant_key("norte")[1]
    # A router that no steward feeds yet isn't asked for in_force, and refuses all calls.
    for one in deployment.routers:
        wait_until(deployment.programs[one["name"]].ready, f"{one['name']} is ready")
    wait_until(deployment.in_force, "the configuration is in force everywhere")
    return key


def lease_events(deployment, what):
    """Shards for which any steward tells `what`."""
    out = set()
    for one in deployment.stewards:
        for event in request(one["operations"], "GET", "/timeline").json()["events"]:
            if event["kind"] == "lease" and event["what"] == what:
                out.add(event["subject"])
    return out


def certify(deployment, key, idempotency_key):
    return request(deployment.routers[0]["address"], "POST", "/s/lot-registry/certifications", {"lot": "L1"},
                   {"Authorization": f"Bearer {key}", "Idempotency-Key": idempotency_key})


def loaded_models_go_on_and_claims_are_refused_as_not_run():
    with Deployment(ARGUMENTS.bin, small_layout()) as deployment:
        deployment.start()
        key = configure(deployment)
        answer = deployment.chat("m1", "hello", key, max_tokens=5)
        assert answer.status == 200, answer
        first = certify(deployment, key, "before")
        assert first.status == 201, first
        deployment.fault("down")
        wait_until(lambda: len(lease_events(deployment, "term ended")) == SHARDS, "every lease has run out")
        for index in (0, 1):
            answer = deployment.chat("m1", "hello", key, max_tokens=5, index=index)
            assert answer.status == 200, answer
        refused = certify(deployment, key, "during")
        assert refused.status == 503 and refused.json()["ran"] == "not_run", refused
        deployment.clear_faults()
        wait_until(lambda: certify(deployment, key, "during").status == 201, "the refused call can be made now")
        assert not lease_events(deployment, "lost"), "an outage of the store alone changes no holder"
        again = certify(deployment, key, "before")
        assert again.status == 201 and again.json() == first.json(), again


if __name__ == "__main__":
    run_cases([loaded_models_go_on_and_claims_are_refused_as_not_run])
    sys.exit(0)
