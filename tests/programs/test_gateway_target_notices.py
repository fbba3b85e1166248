#!/usr/bin/env python3
"""waxwing-gateway and what targets say of themselves: Server-Leaving, and 503 with Retry-After."""
import sys
import time

from gateway_fleet import Fleet, expect
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
PAUSE_S = 3.0
TOLERATED_REQUESTS = 2       # that may reach a paused target between 0.5 s after its answer and the pause's end


def requests_during_pause(target, begun):
    return [at for at in target.refused_at + target.run_started_at if begun + 0.5 <= at < begun + PAUSE_S]


def target_that_says_it_leaves_gets_no_more_requests():
    for store_away in (False, True):
        with Fleet(ARGUMENTS.bin, gateways=2) as fleet:
            leaving, staying = fleet.target("l1", "ledger", slots=6), fleet.target("l2", "ledger", slots=6)
            fleet.start()
            fleet.wait_for_target()
            fleet.wait_for_contact()
            for gateway in (0, 1):         # of two idle targets the first one serves
                wait_until(lambda gateway=gateway: fleet.ask("/cert/1", fleet.headers(), gateway=gateway).status == 200 and leaving.runs, "it serves")
                leaving.runs.clear()
            if store_away:
                fleet.store.unavailable_kinds = {"servers", "config", "evacuations", "waxwinglb-leases", "waxwinglb-routers"}
            leaving.leaving = "1"
            wait_until(lambda: fleet.ask("/cert/1", fleet.headers()).status == 200 and fleet.events("target_leaving", "g1"), "it says so")
            leaving.register()             # its registration still says ready
            wait_until(lambda: any(line["reason"] for line in fleet.events("request_answered")), "answers are logged")
            time.sleep(0.5)                # the peer has been told
            runs = len(leaving.runs)
            for gateway in (0, 1):
                for _ in range(20):
                    expect(fleet.ask("/cert/1", fleet.headers(), gateway=gateway).status, 200, "the other target serves")
            expect(len(leaving.runs), runs, f"runs at the leaving target, store away: {store_away}")
            expect(len(fleet.events("target_leaving", "g1")), 1, "lines")


def target_that_left_is_used_again_after_its_next_start():
    with Fleet(ARGUMENTS.bin) as fleet:
        ledger = fleet.target("l1", "ledger", slots=6)
        fleet.start()
        fleet.wait_for_target()
        ledger.leaving = "1"
        expect(fleet.ask("/cert/1", fleet.headers()).status, 200, "the answer that says so is passed on")
        headers = fleet.headers()
        expect(fleet.ask("/cert/1", headers).status, 503, "no other target")
        ledger.leaving, ledger.born = None, ledger.born + 5_000
        ledger.register()
        wait_until(lambda: fleet.ask("/cert/1", fleet.headers()).status == 200, "the next start serves")


def target_that_asks_for_a_pause_gets_it_and_callers_hear_when_it_ends():
    with Fleet(ARGUMENTS.bin) as fleet:
        ledger = fleet.target("l1", "ledger", slots=6)
        fleet.start()
        fleet.wait_for_target()
        ledger.pause = str(PAUSE_S)
        headers = fleet.headers()
        refused = fleet.ask("/lookup/1", headers)
        begun = ledger.refused_at[0]
        expect(refused.status, 503, "the only target is paused")
        ledger.pause = None                # a request that reached it would be served
        while time.monotonic() < begun + PAUSE_S - 0.2:
            asked = time.monotonic()
            refused = fleet.ask("/lookup/1", headers := fleet.headers())
            if refused.status == 200:
                break                      # it waited for the end of the pause
            left = begun + PAUSE_S - asked
            if not left - 0.1 <= float(refused.headers["retry-after"]) <= left + 0.6:
                raise Failure(f"Retry-After {refused.headers['retry-after']}, {left:.2f} s before the end of the pause")
            time.sleep(0.1)
        early = requests_during_pause(ledger, begun)
        if len(early) > TOLERATED_REQUESTS:
            raise Failure(f"{len(early)} requests reached the paused target")
        wait_until(lambda: fleet.ask("/lookup/1", fleet.headers()).status == 200, "it serves after the pause")
        paused = fleet.events("target_paused")
        expect([line["for_ms"] for line in paused], [int(PAUSE_S * 1000)], "the pause is logged once")
        decided = [line for line in fleet.events("request_refused") if line["reason"] == "paused"]
        if not decided or not all(" ms ago" in line["blocked_by"] for line in decided):
            raise Failure(f"refusals without the age of what decided them: {decided}")


def paused_target_is_left_alone_while_another_serves():
    with Fleet(ARGUMENTS.bin) as fleet:
        paused, serving = fleet.target("l1", "ledger", slots=6), fleet.target("l2", "ledger", slots=6)
        fleet.start()
        fleet.wait_for_target()
        paused.pause = str(PAUSE_S)
        wait_until(lambda: fleet.ask("/lookup/1", fleet.headers()).status == 200 and paused.refused_at, "it asks for a pause")
        begun = paused.refused_at[0]
        while time.monotonic() < begun + PAUSE_S - 0.2:
            expect(fleet.ask("/lookup/1", fleet.headers()).status, 200, "the other target serves")
        if len(requests_during_pause(paused, begun)) > TOLERATED_REQUESTS:
            raise Failure(f"{len(paused.refused_at)} requests reached the paused target")


def odd_values_are_logged_and_have_no_effect():
    with Fleet(ARGUMENTS.bin) as fleet:
        ledger = fleet.target("l1", "ledger", slots=6)
        fleet.start()
        fleet.wait_for_target()
        for value in ("maybe", "", "11"):
            ledger.leaving = value
            expect(fleet.ask("/cert/1", fleet.headers()).status, 200, f"Server-Leaving: {value}")
            expect(fleet.ask("/cert/1", fleet.headers()).status, 200, f"after Server-Leaving: {value}")
        ledger.leaving = None
        for value in ("Fri, 04 Dec 2026 08:00:00 GMT", "-5", "soon"):
            ledger.pause = value
            fleet.ask("/cert/1", fleet.headers())
            ledger.pause = None
            wait_until(lambda: fleet.ask("/cert/1", fleet.headers()).status == 200, f"service after Retry-After: {value}")
        quoted = " ".join(line["fields"] for line in fleet.events("target_notice_ignored"))
        for value in ("maybe", "11", "Fri, 04 Dec", "-5", "soon"):
            if value not in quoted:
                raise Failure(f"{value!r} is not in the log: {quoted}")
        expect(fleet.events("target_leaving") + fleet.events("target_paused"), [], "effects")


if __name__ == "__main__":
    run_cases([target_that_says_it_leaves_gets_no_more_requests,
               target_that_left_is_used_again_after_its_next_start,
               target_that_asks_for_a_pause_gets_it_and_callers_hear_when_it_ends,
               paused_target_is_left_alone_while_another_serves,
               odd_values_are_logged_and_have_no_effect])
    sys.exit(0)
