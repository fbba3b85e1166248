#!/usr/bin/env python3
"""Soak of waxwing-gateway on stand-ins: callers ask all the time while gateways, targets and the store fail at random.
Checked: what may not be repeated ran once at most, "not run" is true, each answer is whole and its request's own.
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
PROMISES_NOT_RUN = (408, 421, 429, 503)
STREAM = "".join(f"id: {number}\ndata: piece {number}\n\n" for number in range(1, 11))
STORE_KINDS = ("config", "servers", "evacuations", "waxwinglb-leases", "waxwinglb-routers")


class Caller(threading.Thread):
    """Asks one request after the other and keeps what it got."""

    def __init__(self, fleet, number, seed, ending):
        super().__init__(daemon=True)
        self.fleet, self.number, self.random, self.ending = fleet, number, random.Random(f"{seed}-{number}"), ending
        self.got = []                # (kind, request id, status or error, answer)

    def run(self):
        count = 0
        while not self.ending.is_set():
            count += 1
            kind = self.random.choice(("cert", "cert", "lookup", "notes"))
            identity = f"c{self.number}-{count}"
            headers = {"Host": "shop.example", "Request-Id": identity, "X-Api-Key": "k-norte",
                       "Deadline-Remaining": str(DEADLINE_MS)}
            if kind == "notes":
                headers.update({"Model": self.random.choice(("m0", "m1", "m3")), "Token-Count": "100,40",
                                "Prompt-Prefix": f"s{self.random.randrange(4)}:50"})
            try:
                answer = self.fleet.ask(f"/{kind}/1", headers, identity.encode(),
                                        gateway=self.random.randrange(len(self.fleet.gateways)))
                self.got.append((kind, identity, answer.status, answer))
            except (OSError, http.client.HTTPException) as error:
                self.got.append((kind, identity, type(error).__name__, None))
                time.sleep(0.02)


class Faults:
    """Random faults, one at a time; each is over when its method returns."""

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
        one = self.gateway()
        one.kill()
        self.pause(0.1, 1.0)
        one.start()

    def freeze(self):
        one = self.gateway()
        one.freeze()
        self.pause(0.3, 3.0)
        one.thaw()

    def restart(self):
        one = self.gateway()
        one.terminate()
        one.process.wait(30)
        one.start()

    def reload(self):
        self.gateway().process.send_signal(signal.SIGHUP)

    def no_store(self):
        self.fleet.store.refusing = set(STORE_KINDS)
        self.pause(0.5, 3.0)
        self.fleet.store.refusing = set()

    def break_streams(self):
        one = self.random.choice(self.engines)
        one.cut_after = self.random.randrange(9)
        self.pause(0.3, 1.0)
        one.cut_after = None

    def break_calls(self):
        one = self.random.choice(self.ledgers)
        one.breaks_all = True
        self.pause(0.1, 0.4)
        one.breaks_all = False

    def hold_calls(self):
        one = self.random.choice(self.ledgers)
        one.hold.clear()
        self.pause(0.2, 1.0)
        one.hold.set()


def check(got, runs):
    """Descriptions of what must not be."""
    wrong = []
    for kind, identity, status, answer in got:
        times = runs[identity]
        if kind == "cert" and times > 1:
            wrong.append(f"{identity}: may not be repeated, ran {times} times")
        if status in PROMISES_NOT_RUN and times > 0:
            wrong.append(f"{identity}: answered {status}, ran {times} times")
        if status != 200:
            continue
        whole = STREAM if kind == "notes" else "recorded " + identity
        if answer.text != whole:
            wrong.append(f"{identity}: got {answer.text[:80]!r} as a whole answer")
        if answer.headers.get("response-signature") != "sig-" + identity:
            wrong.append(f"{identity}: got the signature {answer.headers.get('response-signature')}")
    return wrong


def soak(arguments):
    with Fleet(arguments.bin, gateways=3, dispatch={"prompt_tokens_per_second": 16_000}) as fleet:
        engines = [fleet.target(f"t{number}", "engine", models=["m0", "m1"], on_disk=["m3"]) for number in (1, 2)]
        ledgers = [fleet.target(f"l{number}", "ledger", slots=6) for number in (1, 2)]
        fleet.start()
        ending = threading.Event()
        callers = [Caller(fleet, number, arguments.seed, ending) for number in range(CALLERS)]
        for one in callers:
            one.start()
        faults, until = Faults(fleet, engines, ledgers, arguments.seed), time.monotonic() + arguments.seconds
        while time.monotonic() < until:
            faults.next()
            faults.pause(0.1, 1.0)
        ending.set()
        for one in callers:
            one.join()
        for number in range(len(fleet.gateways)):
            wait_until(lambda: fleet.ask("/cert/1", fleet.headers(), gateway=number).status == 200, f"gateway {number} serves")
        time.sleep(DEADLINE_MS / 1000)   # what was sent may run until then
        runs = collections.Counter(run[0] for target in engines + ledgers for run in target.runs)
        got = sum((one.got for one in callers), [])
        print(f"seed {arguments.seed}: {len(got)} requests, {dict(collections.Counter(str(one[2]) for one in got))}, "
              f"faults {dict(faults.count)}", flush=True)
        wrong = check(got, runs)
        served = sum(one[2] == 200 for one in got)
        if wrong or served == 0:
            raise Failure("\n".join(wrong[:20]) or "nothing was served")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True, help="folder with the built programs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60)
    soak(parser.parse_args())
    sys.exit(0)
