#!/usr/bin/env python3
"""Rate and burst over all routers with real processes, while stewards that hold the buckets die, freeze and return."""
import concurrent.futures
import threading
import time

import harness
from harness import wait_until
from router_fleet import fleet as router_fleet

ARGUMENTS = harness.arguments(__doc__)
POOR_RATE, POOR_BURST = 100, 200     # of customer sur, tokens
COST = 40                            # of one of its requests: 1 prompt token and 39 generated
CALLERS = 6


def fleet():
    return router_fleet(ARGUMENTS.bin)


class drawers:
    """Callers that ask at both routers without a pause, and what became of each request."""

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
        self.begun = time.monotonic()
        for one in self.threads:
            one.start()
        return self

    def __exit__(self, *_):
        self.stop_flag.set()
        for one in self.threads:
            one.join()
        self.elapsed = time.monotonic() - self.begun

    def count(self, status):
        return sum(s == status for s, _ in self.answers)


def acquired(d, steward):
    return d.programs[steward].log_text().count("acquired")


def test_no_more_than_rate_and_burst_while_holders_die_freeze_and_return():
    with fleet() as d:
        with drawers(d, d.poor_key, max_tokens=COST - 1) as calls:
            wait_until(lambda: calls.count(200) >= 3, "the customer is served")
            before = acquired(d, "steward-2")
            d.programs["steward-1"].kill()
            wait_until(lambda: acquired(d, "steward-2") > before, "the other steward takes over")
            d.restart("steward-1")
            wait_until(lambda: "acquired" in d.programs["steward-1"].log_text().split("started")[-1], "it holds shards again")
            before = acquired(d, "steward-1")
            d.programs["steward-2"].freeze()
            wait_until(lambda: acquired(d, "steward-1") > before, "the shards of the frozen steward are taken over")
            d.programs["steward-2"].thaw()
            served = calls.count(200)
            wait_until(lambda: calls.count(200) >= served + 3, "the customer is served after the wake")
        spent = COST * calls.count(200)
        allowed = POOR_BURST + POOR_RATE * calls.elapsed
        print(f"        {spent} tokens in {calls.elapsed:.1f} s, allowed {allowed:.0f}; {len(calls.answers)} requests")
        assert spent <= allowed, (spent, allowed)
        wrong = [a for a in calls.answers if a[0] not in (200, 429, 503)]
        assert not wrong, wrong[:3]


def test_customer_far_within_its_rate_is_not_refused_for_it_when_a_holder_dies():
    for steward in ("steward-1", "steward-2"):      # one of them holds the customer's bucket
        with fleet() as d, concurrent.futures.ThreadPoolExecutor(14) as pool:
            assert d.chat("seams", "x", d.key, max_tokens=5).status == 200
            d.programs[steward].kill()
            jobs = [pool.submit(d.chat, "seams", "x", d.key, i % 2, {"X-Request-Timeout-Ms": "20000"}, max_tokens=5)
                    for i in range(14)]
            codes = sorted((a.status, a.json().get("code", "")) for a in (job.result() for job in jobs))
            print(f"        after the death of {steward}: {codes}")
            assert not [c for c in codes if c[0] == 429], codes


if __name__ == "__main__":
    harness.run_cases([value for name, value in list(globals().items()) if name.startswith("test_")])
