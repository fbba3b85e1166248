#!/usr/bin/env python3
"""Requests in turn for more models than fit into the targets' memory, with real programs."""
import harness
from harness import request, wait_until
from router_fleet import MODEL, fleet as router_fleet

ARGUMENTS = harness.arguments(__doc__)
MODELS = [f"rare-{i}" for i in range(5)]
ROUNDS = 3
MODEL_BYTES = MODEL["bytes"]


def fleet():
    """Two targets with room for two models each."""
    layout = harness.small_layout()["targets"]
    layout[0]["memory"] = "20GB"
    return router_fleet(ARGUMENTS.bin, targets=layout)


def test_idle_models_are_evicted_for_requested_models():
    with fleet() as d:
        for name in MODELS:
            d.accept("models", {**MODEL, "name": name, "max_replicas": 1})
        wait_until(d.in_force, "the models are in force")
        request_count = 0
        for _ in range(ROUNDS):
            for i, name in enumerate(MODELS):
                answer = d.chat(name, "x", d.key, i % 2, {"X-Request-Timeout-Ms": "60000"}, max_tokens=3)
                assert answer.status == 200, (name, answer)
                request_count += 1
        audits = [request(a, "GET", "/audit").json() for t, a in d.engines.items() if t.startswith("seam")]
        loads = sum(a["loads"] for a in audits)
        print(f"        {request_count} requests, {loads} loads, most bytes {[a['max_used_bytes'] for a in audits]}")
        assert all(a["overcommit_attempts"] == 0 and a["max_used_bytes"] <= 2 * MODEL_BYTES for a in audits), audits
        assert loads <= request_count, f"{loads} loads for {request_count} requests: models were loaded without a request"


if __name__ == "__main__":
    harness.run_cases([value for name, value in list(globals().items()) if name.startswith("test_")])
