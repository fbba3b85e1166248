#!/usr/bin/env python3
"""waxwing-gateway and targets that name in their answers how many requests a second they take from all gateways."""
import sys
import threading
import time

from gateway_fleet import Fleet, expect
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
LIMIT = 2.0                  # requests a second that the target names
WINDOW_S = 4.0               # of the platform's rule, as are the next two
OVERAGE, SLACK = 1.5, 5
CONTACT_S = 1.5              # from the first answer that names a limit until every gateway must keep it
LOAD_S = 7.0                 # of a test's load
LEAST_PART = 0.4             # of what the limit allows: refusing all is no way to keep it


class Load:
    """Callers that send one request after the other to each gateway, until the end of the block."""

    def __init__(self, fleet, path, model=None, callers=3, gateways=None):
        self.fleet, self.path, self.model = fleet, path, model
        self.statuses, self.stop = [], threading.Event()
        self.callers = [threading.Thread(target=self.send, args=(gateway,))
                        for gateway in gateways or range(len(fleet.gateways)) for _ in range(callers)]

    def send(self, gateway):
        while not self.stop.is_set():
            try:
                self.statuses.append(self.fleet.ask(self.path, self.fleet.headers(self.model), gateway=gateway).status)
            except OSError:
                pass                       # the gateway is being restarted
            time.sleep(0.05)

    def __enter__(self):
        for caller in self.callers:
            caller.start()
        return self

    def __exit__(self, *unused):
        self.stop.set()
        for caller in self.callers:
            caller.join()


def arrivals(target):
    return sorted(target.run_started_at + target.refused_at)


def check_limit(target, since, until, least_part=LEAST_PART):
    """No window of the rule's length holds more than is allowed; altogether a fair part of the limit is used."""
    times = [at for at in arrivals(target) if since <= at < until]
    most = max((sum(1 for at in times if begin <= at < begin + WINDOW_S) for begin in times), default=0)
    allowed = OVERAGE * LIMIT * WINDOW_S + SLACK
    if most > allowed:
        raise Failure(f"{most} requests in {WINDOW_S} s at a limit of {LIMIT} a second, allowed {allowed}")
    least = least_part * LIMIT * (until - since)
    if len(times) < least:
        raise Failure(f"{len(times)} requests in {until - since:.1f} s, expected {least:.1f} at least")


def name_limit(fleet, target, path, model=None):
    """The target names its limit to one caller. Returns the time at which all gateways must keep it."""
    target.limit = str(LIMIT)
    wait_until(lambda: fleet.ask(path, fleet.headers(model)).status == 200, "it says so")
    return time.monotonic() + CONTACT_S


def limit_of_a_plain_service_holds_for_all_gateways_together():
    with Fleet(ARGUMENTS.bin, gateways=4) as fleet:
        ledger = fleet.target("l1", "ledger", slots=6)
        fleet.start()
        fleet.wait_for_target()
        fleet.wait_for_contact()
        since = name_limit(fleet, ledger, "/lookup/1")
        with Load(fleet, "/lookup/1"):
            time.sleep(LOAD_S)
        check_limit(ledger, since, since + LOAD_S - CONTACT_S)


def limit_of_an_engine_holds_and_another_target_serves_the_rest():
    with Fleet(ARGUMENTS.bin, gateways=3, dispatch={"prompt_tokens_per_second": 100_000}) as fleet:
        limited = fleet.target("t1", "engine", models=["m0"])
        free = fleet.target("t2", "engine", models=["m0"])
        fleet.start()
        wait_until(lambda: len(fleet.events("target_changed")) >= 6, "the targets are known")
        fleet.wait_for_contact()
        limited.limit = str(LIMIT)
        # Sessions differ, so that the limited target is chosen for some of them.
        wait_until(lambda: fleet.ask("/dossier/1", fleet.headers("m0", Prompt_Prefix=f"s{fleet.number}:9")).status == 200
                   and limited.runs, "it says so")
        since, before = time.monotonic() + CONTACT_S, len(free.runs)
        with Load(fleet, "/dossier/1", "m0") as load:
            time.sleep(LOAD_S)
        check_limit(limited, since, since + LOAD_S - CONTACT_S)
        expect(sorted(set(load.statuses)), [200], "answers")
        if len(free.runs) - before < 4 * LIMIT * LOAD_S:
            raise Failure(f"only {len(free.runs) - before} requests ran at the free target")


def limit_holds_while_gateways_restart_and_stand_still():
    with Fleet(ARGUMENTS.bin, gateways=4) as fleet:
        ledger = fleet.target("l1", "ledger", slots=6)
        fleet.start()
        fleet.wait_for_target()
        fleet.wait_for_contact()
        since = name_limit(fleet, ledger, "/lookup/1")
        with Load(fleet, "/lookup/1"):
            for gateway in fleet.gateways:
                gateway.kill()
                gateway.start()
                time.sleep(2)
                gateway.freeze()
                time.sleep(1)
                gateway.thaw()
        # A restart or a freeze excuses the gateway that it hits, and one of four is hit all the time.
        check_limit(ledger, since, time.monotonic(), LEAST_PART / 2)


def limit_ends_with_the_first_answer_that_names_none():
    with Fleet(ARGUMENTS.bin, gateways=3) as fleet:
        ledger = fleet.target("l1", "ledger", slots=6)
        fleet.start()
        fleet.wait_for_target()
        fleet.wait_for_contact()
        name_limit(fleet, ledger, "/lookup/1")
        wait_until(lambda: len(fleet.events("target_limited")) == 3, "all gateways know the limit")
        ledger.limit = None
        wait_until(lambda: fleet.ask("/lookup/1", fleet.headers()).status == 200 and
                   len([line for line in fleet.events("target_limited") if line["per_second"] < 0]) == 3, "it ends everywhere")
        for gateway in (0, 1, 2):
            for _ in range(10):
                expect(fleet.ask("/lookup/1", fleet.headers(), gateway=gateway).status, 200, "served at once")


def callers_beyond_the_limit_hear_when_to_come_back():
    with Fleet(ARGUMENTS.bin) as fleet:
        ledger = fleet.target("l1", "ledger", slots=6)
        fleet.start()
        fleet.wait_for_target()
        ledger.limit = "0.25"
        expect(fleet.ask("/lookup/1", fleet.headers()).status, 200, "the first one")
        wait_until(lambda: fleet.ask("/lookup/1", fleet.headers()).status == 503, "a turn would come too late")
        began = time.monotonic()
        refused = fleet.ask("/lookup/1", fleet.headers())
        expect(refused.status, 503, "it isn't held to its deadline")
        if time.monotonic() - began > 0.5 or not 0.5 <= float(refused.headers["retry-after"]) <= 5:
            raise Failure(f"refused after {time.monotonic() - began:.2f} s, Retry-After {refused.headers['retry-after']}")


def odd_limits_are_logged_and_have_no_effect():
    with Fleet(ARGUMENTS.bin) as fleet:
        ledger = fleet.target("l1", "ledger", slots=6)
        fleet.start()
        fleet.wait_for_target()
        for value in ("", "-1", "many", "nan", "1;2"):
            ledger.limit = value
            for _ in range(5):
                expect(fleet.ask("/cert/1", fleet.headers()).status, 200, f"Server-Limit: {value}")
        expect(len(fleet.events("target_notice_ignored")), 25, "lines")


if __name__ == "__main__":
    run_cases([limit_of_a_plain_service_holds_for_all_gateways_together,
               limit_of_an_engine_holds_and_another_target_serves_the_rest,
               limit_holds_while_gateways_restart_and_stand_still, limit_ends_with_the_first_answer_that_names_none,
               callers_beyond_the_limit_hear_when_to_come_back, odd_limits_are_logged_and_have_no_effect])
    sys.exit(0)
