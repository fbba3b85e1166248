#!/usr/bin/env python3
"""Soak test of waxwing-gateway on stand-ins: callers send requests while gateways, targets and the store fail at random.
Checks that non-repeatable requests run at most once, that requests answered with a "not run" status did not run, and
that each answer is complete and belongs to its request.
Not part of `make test`: soak_gateway.py --bin FOLDER --seed N --seconds N (`make soak`)."""
import argparse
import collections
import http.client
import random
import signal
import sys
import threading
import time

from gateway_fleet import Fleet
from harness import Failure, wait_until

CALLERS, DEADLINE_MS = 8, 4_000
NOT_RUN_STATUSES = (408, 421, 429, 503)
STREAM = "".join(f"id: {number}\ndata: piece {number}\n\n" for number in range(1, 11))
STORE_KINDS = ("config", "servers", "evacuations", "waxwinglb-leases", "waxwinglb-routers")


class Caller(threading.Thread):
    """Sends one request after the other and records the answers."""

    def __init__(self, fleet, number, seed, stopping):
        super().__init__(daemon=True)
        self.fleet, self.number, self.random, self.stopping = fleet, number, random.Random(f"{seed}-{number}"), stopping
        self.results = []            # (kind, request id, status or error, answer)

    def run(self):
        count = 0
        while not self.stopping.is_set():
            count += 1
            kind = self.random.choice(("cert", "cert", "lookup", "notes"))
            request_id = f"c{self.number}-{count}"
            headers = {"Host": "shop.example", "Request-Id": request_id, "X-Api-Key": "k-norte",
                       "Deadline-Remaining": str(DEADLINE_MS)}
            if kind == "notes":
                headers.update({"Model": self.random.choice(("m0", "m1", "m3")), "Token-Count": "100,40",
                                "Prompt-Prefix": f"s{self.random.randrange(4)}:50"})
            try:
                answer = self.fleet.ask(f"/{kind}/1", headers, request_id.encode(),
                                        gateway=self.random.randrange(len(self.fleet.gateways)))
                self.results.append((kind, request_id, answer.status, answer))
            except (OSError, http.client.HTTPException) as error:
                self.results.append((kind, request_id, type(error).__name__, None))
                time.sleep(0.02)


class Faults:
    """Random faults, one at a time. Each method injects a fault and returns when it is over."""

    def __init__(self, fleet, engines, ledgers, seed):
        self.fleet, self.engines, self.ledgers, self.random = fleet, engines, ledgers, random.Random(seed)
        self.count = collections.Counter()

    def next(self):
        fault = self.random.choice((self.kill, self.freeze, self.restart, self.reload, self.no_store, self.break_streams,
                                    self.break_calls, self.hold_calls))
        self.count[fault.__name__] += 1
        fault()

    def pause(self, least, most):
        time.sleep(self.random.uniform(least, most))

    def gateway(self):
        return self.random.choice(self.fleet.gateways)

    def kill(self):
        gateway = self.gateway()
        gateway.kill()
        self.pause(0.1, 1.0)
        gateway.start()

    def freeze(self):
        gateway = self.gateway()
        gateway.freeze()
        self.pause(0.3, 3.0)
        gateway.thaw()

    def restart(self):
        gateway = self.gateway()
        gateway.terminate()
        gateway.process.wait(30)
        gateway.start()

    def reload(self):
        self.gateway().process.send_signal(signal.SIGHUP)

    def no_store(self):
        self.fleet.store.unavailable_kinds = set(STORE_KINDS)
        self.pause(0.5, 3.0)
        self.fleet.store.unavailable_kinds = set()

    def break_streams(self):
        engine = self.random.choice(self.engines)
        engine.break_stream_after = self.random.randrange(9)
        self.pause(0.3, 1.0)
        engine.break_stream_after = None

    def break_calls(self):
        ledger = self.random.choice(self.ledgers)
        ledger.break_all = True
        self.pause(0.1, 0.4)
        ledger.break_all = False

    def hold_calls(self):
        ledger = self.random.choice(self.ledgers)
        ledger.hold.clear()
        self.pause(0.2, 1.0)
        ledger.hold.set()


def check(results, runs):
    """Descriptions of all violations."""
    violations = []
    for kind, request_id, status, answer in results:
        times = runs[request_id]
        if kind == "cert" and times > 1:
            violations.append(f"{request_id}: may not be repeated, ran {times} times")
        if status in NOT_RUN_STATUSES and times > 0:
            violations.append(f"{request_id}: answered {status}, ran {times} times")
        if status != 200:
            continue
        whole = STREAM if kind == "notes" else "recorded " + request_id
        if answer.text != whole:
            violations.append(f"{request_id}: got {answer.text[:80]!r} as a whole answer")
        if answer.headers.get("response-signature") != "sig-" + request_id:
            violations.append(f"{request_id}: got the signature {answer.headers.get('response-signature')}")
    return violations


def soak(arguments):
    with Fleet(arguments.bin, gateways=3, dispatch={"prompt_tokens_per_second": 16_000}) as fleet:
        engines = [fleet.target(f"t{number}", "engine", models=["m0", "m1"], on_disk=["m3"]) for number in (1, 2)]
        ledgers = [fleet.target(f"l{number}", "ledger", slots=6) for number in (1, 2)]
        fleet.start()
        stopping = threading.Event()
        callers = [Caller(fleet, number, arguments.seed, stopping) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        faults, until = Faults(fleet, engines, ledgers, arguments.seed), time.monotonic() + arguments.seconds
        while time.monotonic() < until:
            faults.next()
            faults.pause(0.1, 1.0)
        stopping.set()
        for caller in callers:
            caller.join()
        for number in range(len(fleet.gateways)):
            wait_until(lambda: fleet.ask("/cert/1", fleet.headers(), gateway=number).status == 200, f"gateway {number} serves")
        time.sleep(DEADLINE_MS / 1000)   # requests already sent may run until then
        runs = collections.Counter(run[0] for target in engines + ledgers for run in target.runs)
        results = sum((caller.results for caller in callers), [])
        print(f"seed {arguments.seed}: {len(results)} requests, {dict(collections.Counter(str(result[2]) for result in results))}, "
              f"faults {dict(faults.count)}", flush=True)
        violations = check(results, runs)
        served = sum(result[2] == 200 for result in results)
        if violations or served == 0:
            raise Failure("\n".join(violations[:20]) or "nothing was served")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True, help="folder with the built programs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60)
    soak(parser.parse_args())
    sys.exit(0)
