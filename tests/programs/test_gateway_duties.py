#!/usr/bin/env python3
"""Usage reports of waxwing-gateway: each request is counted once, each window reported once."""
import time

from duty_fleet import WINDOW_S, DutyFleet
from gateway_fleet import Fleet, expect, outcome
from harness import arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)


def each_request_is_reported_once_although_answers_are_lost():
    with DutyFleet(ARGUMENTS.bin, 2) as fleet:
        fleet.begin()
        fleet.platform.answers = ["lost", 503, 429, 200, "lost"]
        fleet.serve(5, [0, 1])
        fleet.wait_for_total(20)
        fleet.check_tokens()
        windows = sorted(fleet.platform.reports())
        expect(windows, list(range(windows[0], windows[-1] + 1)), "windows reported")
        repeated = [calls for calls in fleet.platform.reports().values() if len(calls) > 1]
        expect(bool(repeated), True, "calls without an answer are repeated")
        expect([line["subject"] for line in fleet.events("duty_unknown")], ["unheard_of"] * 2, "unknown kinds")


def a_refused_report_is_not_repeated():
    with DutyFleet(ARGUMENTS.bin, 1) as fleet:
        fleet.begin()
        fleet.platform.answers = [400]
        known = len(fleet.platform.calls)
        wait_until(lambda: len(fleet.platform.calls) >= known + 3, "later windows are reported", 30)
        expect(max(len(calls) for calls in fleet.platform.reports().values()), 1, "calls of one window")
        expect(len(fleet.events("duty_call_refused")), 1, "refused calls in the log")


def a_resumed_stream_is_not_counted_again():
    with DutyFleet(ARGUMENTS.bin, 1) as fleet:
        fleet.begin()
        fleet.serve(2, [0])
        headers = fleet.headers("m0", Resumes="r1", Last_Event_Id="1")
        fleet.ask("/notes/1", headers)
        fleet.wait_for_total(4)


def a_call_that_is_retried_counts_once():
    with DutyFleet(ARGUMENTS.bin, 1) as fleet:
        fleet.begin()
        fleet.ledger.refuse_once = {b"x"}
        expect(fleet.ask("/lookup/1", fleet.headers()).status, 200, "a call that a target first refused")
        fleet.engine.break_stream_after = 2          # of each send: the stream is cut in the end
        outcome(fleet, "/notes/1", fleet.headers("m0"))
        fleet.engine.break_stream_after = None
        expect(bool(fleet.events("request_retried")), True, "something was retried")
        fleet.serve(1, [0])
        fleet.wait_for_total(4)


def nothing_is_decided_while_the_store_refuses_and_all_is_caught_up_afterwards():
    with DutyFleet(ARGUMENTS.bin, 2) as fleet:
        fleet.begin()
        fleet.store.unavailable_kinds = {"waxwinglb-duties"}
        fleet.serve(5, [0, 1])
        time.sleep(3 * WINDOW_S)
        known = len(fleet.platform.reports())
        time.sleep(WINDOW_S)
        expect(len(fleet.platform.reports()), known, "reports while the store refuses decisions")
        fleet.store.unavailable_kinds = set()
        fleet.wait_for_total(20)
        fleet.check_tokens()


def without_the_section_nothing_is_stored():
    with Fleet(ARGUMENTS.bin, gateways=2) as fleet:
        fleet.target("l1", "ledger", slots=64)
        fleet.start()
        fleet.wait_for_target()
        expect(fleet.ask("/cert/1", fleet.headers()).status, 200, "a plain call")
        fleet.wait_for_orders()
        time.sleep(6)
        expect([call for call in fleet.store.calls if call[2] == "waxwinglb-duties"], [], "calls about duties")
        expect(fleet.events("usage_decided"), [], "decisions")


if __name__ == "__main__":
    run_cases([each_request_is_reported_once_although_answers_are_lost,
               a_refused_report_is_not_repeated,
               a_resumed_stream_is_not_counted_again,
               a_call_that_is_retried_counts_once,
               nothing_is_decided_while_the_store_refuses_and_all_is_caught_up_afterwards,
               without_the_section_nothing_is_stored])
