#!/usr/bin/env python3
"""Focused tests of waxwing-agent with real routers, stewards and stand-ins: death in mid-load, drain, drained zone."""
import concurrent.futures
import threading

import harness
import router_fleet
from harness import request, wait_until
from router_fleet import MODEL

ARGUMENTS = harness.arguments(__doc__)
BIG = 50_000_000_000       # two of these don't fit on one target
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


def engine_fault(d, kind, **more):
    for address in engines(d).values():
        assert request(address, "POST", "/faults", {"kind": kind, **more}).status == 200


def expect_memory_kept(d):
    for name, seen in d.audits().items():
        if name in engines(d):
            assert seen["overcommit_attempts"] == 0 and seen["max_used_bytes"] <= seen["memory_bytes"], (name, seen)


def test_agents_killed_in_mid_load_leave_memory_whole():
    with fleet() as d:
        for i in range(4):
            d.accept("models", {**MODEL, "name": f"big{i}", "bytes": BIG, "max_replicas": 1})
        for index in (0, 1):
            wait_until(lambda: "big3" in d.call("GET", "/v1/models", index=index).text, "routers know the models")
        engine_fault(d, "load_slow", delay_ms=SLOW_LOAD_MS, count=4)
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            calls = [pool.submit(d.chat, f"big{i}", f"mine{i}", d.key, i % 2, max_tokens=2) for i in range(4)]
            loading = wait_until(lambda: [n for n, a in engines(d).items()
                                          if request(a, "GET", "/audit").json()["used_bytes"] >= BIG],
                                 "a load is under way")
            for target in loading:
                d.restart(d.agents[target])
            answers = [one.result() for one in calls]
        for i, answer in enumerate(answers):
            if answer.status == 200:
                assert answer.json()["choices"][0]["message"]["content"].split() == [f"mine{i}"] * 2, answer
            else:
                assert answer.json()["ran"] == "not_run", answer
        print("    killed", loading, "answers", [a.status for a in answers], flush=True)
        expect_memory_kept(d)
        wait_until(lambda: d.chat("seams", "x", d.key, max_tokens=1).status == 200, "the fleet serves again")
        expect_memory_kept(d)


def test_drained_agent_cuts_no_stream():
    with fleet() as d:
        assert d.chat("seams", "x", d.key, max_tokens=1).status == 200
        streams = []
        for i in range(4):
            body = {"model": "seams", "stream": True, "max_tokens": 100,
                    "messages": [{"role": "user", "content": f"mine{i}"}]}
            one = harness.Stream(d.routers[i % 2]["address"], "POST", "/v1/chat/completions", body,
                                 {"Authorization": f"Bearer {d.key}"})
            assert one.status == 200 and one.line()
            streams.append(one)
        codes = {}
        stoppers = [threading.Thread(target=lambda n=name: codes.update({n: d.programs[n].stop()}))
                    for target, name in d.agents.items() if target in engines(d)]
        for one in stoppers:
            one.start()
        for i, one in enumerate(streams):
            rest = one.rest()
            assert rest.rstrip().endswith("data: [DONE]"), rest[-200:]
            assert rest.count(f"mine{i}") >= 99, rest.count(f"mine{i}")
        for one in stoppers:
            one.join()
        assert set(codes.values()) == {0}, codes
        refused = d.chat("seams", "x", d.key, max_tokens=1, headers={"X-Request-Timeout-Ms": "3000"})
        assert refused.status >= 500 and refused.json()["ran"] == "not_run", refused


def test_engine_that_forgets_its_models_gets_them_again():
    with fleet() as d:
        assert d.chat("seams", "x", d.key, max_tokens=1).status == 200
        engine_fault(d, "crash")
        wait_until(lambda: d.chat("seams", "again", d.key, max_tokens=1).status == 200, "the model is loaded again")
        expect_memory_kept(d)


if __name__ == "__main__":
    harness.run_cases([value for name, value in list(globals().items()) if name.startswith("test_")])
