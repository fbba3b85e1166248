#!/usr/bin/env python3
"""A customer's rate and burst over all routers with real processes, while the stewards that hold its bucket are killed,
frozen and resumed."""
import concurrent.futures
import threading
import time

import harness
from harness import wait_until
from router_fleet import fleet as router_fleet

ARGUMENTS = harness.arguments(__doc__)
POOR_RATE, POOR_BURST = 100, 200     # of customer sur: tokens per second, tokens
COST = 40                            # of one of its requests: 1 prompt token and 39 generated
CALLERS = 6


def fleet():
    return router_fleet(ARGUMENTS.bin)


class Callers:
    """Threads, half of them at each router, that send a request 20 ms after each answer and record the answers."""

    def __init__(self, deployment, key, **fields):
        self.deployment, self.key, self.fields = deployment, key, fields
        self.answers, self.stop_flag = [], threading.Event()
        self.threads = [threading.Thread(target=self._call, args=(i,)) for i in range(CALLERS)]

    def _call(self, number):
        while not self.stop_flag.is_set():
            try:
                answer = self.deployment.chat("seams", "x", self.key, number % 2, **self.fields)
                self.answers.append((answer.status, answer.json().get("code", "")))
            except OSError as error:
                self.answers.append((0, repr(error)))
            time.sleep(0.02)

    def __enter__(self):
        self.started_at = time.monotonic()
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop_flag.set()
        for thread in self.threads:
            thread.join()
        self.elapsed = time.monotonic() - self.started_at

    def count(self, status):
        return sum(answered == status for answered, _ in self.answers)


def count_acquired(d, steward):
    return d.programs[steward].log_text().count("acquired")


def test_rate_and_burst_are_not_exceeded_while_holders_are_killed_frozen_and_resumed():
    with fleet() as d:
        with Callers(d, d.poor_key, max_tokens=COST - 1) as calls:
            wait_until(lambda: calls.count(200) >= 3, "the customer is served")
            before = count_acquired(d, "steward-2")
            d.programs["steward-1"].kill()
            wait_until(lambda: count_acquired(d, "steward-2") > before, "steward-2 takes over shards of steward-1")
            d.restart("steward-1")
            wait_until(lambda: "acquired" in d.programs["steward-1"].log_text().split("started")[-1],
                       "the restarted steward-1 holds shards again")
            before = count_acquired(d, "steward-1")
            d.programs["steward-2"].freeze()
            wait_until(lambda: count_acquired(d, "steward-1") > before,
                       "steward-1 takes over shards of the frozen steward-2")
            d.programs["steward-2"].thaw()
            served = calls.count(200)
            wait_until(lambda: calls.count(200) >= served + 3, "the customer is served after steward-2 has resumed")
        spent = COST * calls.count(200)
        allowed = POOR_BURST + POOR_RATE * calls.elapsed
        print(f"        {spent} tokens in {calls.elapsed:.1f} s, allowed {allowed:.0f}; {len(calls.answers)} requests")
        assert spent <= allowed, (spent, allowed)
        wrong = [a for a in calls.answers if a[0] not in (200, 429, 503)]
        assert not wrong, wrong[:3]


def test_customer_within_its_rate_is_not_rate_limited_when_a_holder_is_killed():
    for steward in ("steward-1", "steward-2"):      # one of them holds the customer's bucket
        with fleet() as d, concurrent.futures.ThreadPoolExecutor(14) as pool:
            assert d.chat("seams", "x", d.key, max_tokens=5).status == 200
            d.programs[steward].kill()
            jobs = [pool.submit(d.chat, "seams", "x", d.key, i % 2, {"X-Request-Timeout-Ms": "20000"}, max_tokens=5)
                    for i in range(14)]
            codes = sorted((a.status, a.json().get("code", "")) for a in (job.result() for job in jobs))
            print(f"        after the kill of {steward}: {codes}")
            assert not [c for c in codes if c[0] == 429], codes


if __name__ == "__main__":
    harness.run_cases([value for name, value in list(globals().items()) if name.startswith("test_")])
