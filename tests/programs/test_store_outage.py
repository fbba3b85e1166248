#!/usr/bin/env python3
"""Requests during and after an outage of the platform's store that is longer than a lease's term.

Every lease expires although no holder has failed. Loaded models must stay usable, calls that need a claim must be
refused as not run, and no shard may change its holder.
"""
import concurrent.futures
import sys
import time

from harness import Deployment, Failure, arguments, request, run_cases, small_layout, wait_until

ARGUMENTS = arguments(__doc__)
SHARDS = 16
FIRST_REPORT_DELAY_S = 0.3  # of frozen agents; longer than one that has just got a link takes
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
    wait_until(deployment.programs["admin-1"].ready, "admin-1 is ready")
    for path, value in CONFIGURATION:
        answer = deployment.admin("PUT", path, value, {"If-None-Match": "*"})
        if answer.status != 201:
            raise Failure(f"PUT {path}: expected 201 from admin-1, got {answer}")
    key = deployment.grant_key("norte")[1]
    # in_force() does not wait for a router without a configuration feed, and such a router refuses all calls.
    for router in deployment.routers:
        wait_until(deployment.programs[router["name"]].ready, f"{router['name']} is ready")
    wait_until(deployment.in_force, "the configuration is in force on all processes")
    return key


def lease_events(deployment, what):
    """Returns the shards with a lease event `what` in the time line of any steward."""
    shards = set()
    for steward in deployment.stewards:
        for event in request(steward["operations"], "GET", "/timeline").json()["events"]:
            if event["kind"] == "lease" and event["what"] == what:
                shards.add(event["subject"])
    return shards


def certify(deployment, key, idempotency_key):
    return request(deployment.routers[0]["address"], "POST", "/s/lot-registry/certifications", {"lot": "L1"},
                   {"Authorization": f"Bearer {key}", "Idempotency-Key": idempotency_key})


def loaded_models_stay_usable_and_claims_are_refused_as_not_run():
    with Deployment(ARGUMENTS.bin, small_layout()) as deployment:
        deployment.start()
        key = configure(deployment)
        answer = deployment.chat("m1", "hello", key, max_tokens=5)
        assert answer.status == 200, answer
        first = certify(deployment, key, "before")
        assert first.status == 201, first
        deployment.fault("down")
        wait_until(lambda: len(lease_events(deployment, "term ended")) == SHARDS, "every lease has expired")
        for index in (0, 1):
            answer = deployment.chat("m1", "hello", key, max_tokens=5, index=index)
            assert answer.status == 200, answer
        refused = certify(deployment, key, "during")
        assert refused.status == 503 and refused.json()["ran"] == "not_run", refused
        deployment.clear_faults()
        wait_until(lambda: certify(deployment, key, "during").status == 201,
                   "the call refused during the outage succeeds")
        assert not lease_events(deployment, "lost"), "a store outage alone must not change a holder"
        repeated = certify(deployment, key, "before")
        assert repeated.status == 201 and repeated.json() == first.json(), repeated


def requests_wait_for_targets_that_have_not_reported_to_a_new_holder():
    with Deployment(ARGUMENTS.bin, small_layout()) as deployment, concurrent.futures.ThreadPoolExecutor(1) as pool:
        deployment.start()
        key = configure(deployment)
        assert deployment.chat("m1", "hello", key, max_tokens=5).status == 200
        stewards = [deployment.programs[steward["name"]] for steward in deployment.stewards]
        agents = [program for name, program in deployment.programs.items() if name.endswith("-agent")]
        for steward in stewards:
            steward.kill()
        for agent in agents:
            agent.freeze()
        try:
            for steward in stewards:
                steward.start()
            answer = pool.submit(deployment.chat, "m1", "hello", key, max_tokens=5)
            wait_until(lambda: len(lease_events(deployment, "acquired")) == SHARDS, "the new holders have all shards")
            time.sleep(FIRST_REPORT_DELAY_S)
        finally:
            for agent in agents:
                agent.thaw()
        assert answer.result().status == 200, answer.result()


if __name__ == "__main__":
    run_cases([requests_wait_for_targets_that_have_not_reported_to_a_new_holder,
               loaded_models_stay_usable_and_claims_are_refused_as_not_run])
    sys.exit(0)
