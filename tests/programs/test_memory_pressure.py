#!/usr/bin/env python3
"""More models than the targets' memory holds, asked for in turn: real programs."""
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


def test_idle_models_give_way_to_the_ones_that_are_asked_for():
    with fleet() as d:
        for name in MODELS:
            d.accept("models", {**MODEL, "name": name, "max_replicas": 1})
        wait_until(d.in_force, "the models are in force")
        asked = 0
        for _ in range(ROUNDS):
            for i, name in enumerate(MODELS):
                answer = d.chat(name, "x", d.key, i % 2, {"X-Request-Timeout-Ms": "60000"}, max_tokens=3)
                assert answer.status == 200, (name, answer)
                asked += 1
        audits = [request(a, "GET", "/audit").json() for t, a in d.engines.items() if t.startswith("seam")]
        loads = sum(a["loads"] for a in audits)
        print(f"        {asked} requests, {loads} loads, most bytes {[a['max_used_bytes'] for a in audits]}")
        assert all(a["overcommit_attempts"] == 0 and a["max_used_bytes"] <= 2 * MODEL_BYTES for a in audits), audits
        assert loads <= asked, f"{loads} loads for {asked} requests: models were loaded that nobody asked for"


if __name__ == "__main__":
    harness.run_cases([value for name, value in list(globals().items()) if name.startswith("test_")])
