#!/usr/bin/env python3
"""Tests of waxwing-agent with real routers, stewards and stand-ins: agent killed during a load, drain, engine crash."""
import concurrent.futures
import threading

import harness
import router_fleet
from harness import request, wait_until
from router_fleet import MODEL

ARGUMENTS = harness.arguments(__doc__)
BIG_MODEL_BYTES = 50_000_000_000  # two models of this size don't fit on one target
SLOW_LOAD_MS = 3_000


def fleet(**agent):
    targets = [{"service": "seam-assistant", "kind": "model", "count": 2, "data_centres": ["cerro", "la-teja"],
                "memory": "80GB", "stand_in": {"load_time": "50ms", "token_time": "20ms"},
                "agent": {"concurrency": 16, "ramp_start": 4, "ramp_step_every": "1s", **agent}},
               {"service": "lot-registry", "kind": "plain", "count": 1, "data_centres": ["cerro"],
                "stand_in": {"role": "registry"}, "agent": {"concurrency": 16, "ramp_start": 16}}]
    return router_fleet.fleet(ARGUMENTS.bin, targets=targets)


def engines(d):
    return {name: address for name, address in d.engines.items() if name.startswith("seam-assistant")}


def add_engine_fault(d, kind, **fields):
    for address in engines(d).values():
        assert request(address, "POST", "/faults", {"kind": kind, **fields}).status == 200


def assert_no_overcommit(d):
    for name, seen in d.audits().items():
        if name in engines(d):
            assert seen["overcommit_attempts"] == 0 and seen["max_used_bytes"] <= seen["memory_bytes"], (name, seen)


def test_agents_killed_during_a_load_do_not_overcommit_memory():
    with fleet() as d:
        for i in range(4):
            d.accept("models", {**MODEL, "name": f"big{i}", "bytes": BIG_MODEL_BYTES, "max_replicas": 1})
        for index in (0, 1):
            wait_until(lambda: "big3" in d.call("GET", "/v1/models", index=index).text, "routers know the models")
        add_engine_fault(d, "load_slow", delay_ms=SLOW_LOAD_MS, count=4)
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            calls = [pool.submit(d.chat, f"big{i}", f"mine{i}", d.key, i % 2, max_tokens=2) for i in range(4)]
            loading = wait_until(lambda: [n for n, a in engines(d).items()
                                          if request(a, "GET", "/audit").json()["used_bytes"] >= BIG_MODEL_BYTES],
                                 "a load is under way")
            for target in loading:
                d.restart(d.agents[target])
            answers = [call.result() for call in calls]
        for i, answer in enumerate(answers):
            if answer.status == 200:
                assert answer.json()["choices"][0]["message"]["content"].split() == [f"mine{i}"] * 2, answer
            else:
                assert answer.json()["ran"] == "not_run", answer
        print("    killed", loading, "answers", [a.status for a in answers], flush=True)
        assert_no_overcommit(d)
        wait_until(lambda: d.chat("seams", "x", d.key, max_tokens=1).status == 200, "the fleet serves again")
        assert_no_overcommit(d)


def test_draining_agents_finish_their_streams():
    with fleet() as d:
        assert d.chat("seams", "x", d.key, max_tokens=1).status == 200
        streams = []
        for i in range(4):
            body = {"model": "seams", "stream": True, "max_tokens": 100,
                    "messages": [{"role": "user", "content": f"mine{i}"}]}
            stream = harness.Stream(d.routers[i % 2]["address"], "POST", "/v1/chat/completions", body,
                                    {"Authorization": f"Bearer {d.key}"})
            assert stream.status == 200 and stream.line()
            streams.append(stream)
        codes = {}
        stoppers = [threading.Thread(target=lambda n=name: codes.update({n: d.programs[n].stop()}))
                    for target, name in d.agents.items() if target in engines(d)]
        for stopper in stoppers:
            stopper.start()
        for i, stream in enumerate(streams):
            rest = stream.rest()
            assert rest.rstrip().endswith("data: [DONE]"), rest[-200:]
            assert rest.count(f"mine{i}") >= 99, rest.count(f"mine{i}")
        for stopper in stoppers:
            stopper.join()
        assert set(codes.values()) == {0}, codes
        refused = d.chat("seams", "x", d.key, max_tokens=1, headers={"X-Request-Timeout-Ms": "3000"})
        assert refused.status >= 500 and refused.json()["ran"] == "not_run", refused


def test_models_are_loaded_again_after_an_engine_crash():
    with fleet() as d:
        assert d.chat("seams", "x", d.key, max_tokens=1).status == 200
        add_engine_fault(d, "crash")
        wait_until(lambda: d.chat("seams", "again", d.key, max_tokens=1).status == 200, "the model is loaded again")
        assert_no_overcommit(d)


if __name__ == "__main__":
    harness.run_cases([value for name, value in list(globals().items()) if name.startswith("test_")])
