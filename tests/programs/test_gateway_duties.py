#!/usr/bin/env python3
"""Usage reports of waxwing-gateway: each window once, by one holder at a time, with the counts of all gateways."""
import signal
import time

from gateway_fleet import Fleet, expect
from gateway_standins import DutyPlatform
from harness import Failure, Ports, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
WINDOW_S = 2
CUSTOMER = "norte"


class DutyFleet(Fleet):
    """Gateways that report usage to a stand-in, with an engine and a plain service."""

    def __init__(self, gateways, **settings):
        self.platform = DutyPlatform(Ports().address())
        duties = {"address": self.platform.address, "calls_per_second": 5, "kinds": "usage_report,unheard_of",
                  "usage_window": f"{WINDOW_S}s", "usage_late": "10s"}
        super().__init__(ARGUMENTS.bin, gateways=gateways, duties=duties, **settings)

    def begin(self):
        self.engine = self.target("t1", "engine", models=["m0"])
        self.ledger = self.target("l1", "ledger", slots=64)
        self.start()
        wait_until(lambda: len(self.events("target_changed")) >= 2 * len(self.gateways), "all gateways know the targets")
        self.wait_for_contact()
        wait_until(lambda: len(self.platform.reports()) >= 2, "reports are sent", 30)
        return self

    def __exit__(self, *unused):
        super().__exit__(*unused)
        self.platform.server.shutdown()

    def serve(self, count, gateways):
        """`count` plain calls and as many streams at each of the gateways."""
        for gateway in gateways:
            for _ in range(count):
                expect(self.ask("/cert/1", self.headers(), gateway=gateway).status, 200, "a plain call")
                expect(self.ask("/notes/1", self.headers("m0"), gateway=gateway).status, 200, "a stream")

    def total(self):
        """Requests in all reports. Each window must have one count in all its reports."""
        sums = 0
        for window, calls in self.platform.reports().items():
            if any(counts != calls[0][2] for _, _, counts in calls):
                raise Failure(f"window {window} was reported with different counts: {calls}")
            sums += calls[0][2].get(CUSTOMER, 0)
        return sums

    def wait_for_total(self, expected):
        wait_until(lambda: self.total() >= expected, f"{expected} requests are reported", 30)
        time.sleep(2 * WINDOW_S)
        expect(self.total(), expected, "requests in all reports")

    def check_tokens(self):
        tokens, holders = [token for _, _, _, token, _ in self.platform.calls], {}
        expect(tokens, sorted(tokens), "tokens in order of arrival")
        for _, _, holder, token, _ in self.platform.calls:
            expect(holders.setdefault(token, holder), holder, f"holder of token {token}")

    def holder(self):
        name = self.platform.calls[-1][2]
        return next(number for number, gateway in enumerate(self.gateways) if gateway.name == name)


def each_request_is_reported_once_although_answers_are_lost():
    with DutyFleet(2) as fleet:
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
    with DutyFleet(1) as fleet:
        fleet.begin()
        fleet.platform.answers = [400]
        known = len(fleet.platform.calls)
        wait_until(lambda: len(fleet.platform.calls) >= known + 3, "later windows are reported", 30)
        expect(max(len(calls) for calls in fleet.platform.reports().values()), 1, "calls of one window")
        expect(len(fleet.events("duty_call_refused")), 1, "refused calls in the log")


def a_resumed_stream_is_not_counted_again():
    with DutyFleet(1) as fleet:
        fleet.begin()
        fleet.serve(2, [0])
        headers = fleet.headers("m0", Resumes="r1", Last_Event_Id="1")
        fleet.ask("/notes/1", headers)
        fleet.wait_for_total(4)


def after_the_holders_end_its_successor_goes_on_with_a_higher_token():
    with DutyFleet(3) as fleet:
        fleet.begin()
        holder = fleet.holder()
        others = [number for number in range(3) if number != holder]
        fleet.gateways[holder].kill()
        fleet.serve(5, others)
        fleet.wait_for_total(20)
        fleet.check_tokens()


def a_holder_frozen_beyond_its_term_sends_nothing_with_its_old_token():
    with DutyFleet(3) as fleet:
        fleet.begin()
        holder = fleet.holder()
        others = [number for number in range(3) if number != holder]
        fleet.gateways[holder].freeze()
        token = fleet.platform.calls[-1][3]
        wait_until(lambda: fleet.platform.calls[-1][3] > token, "a successor reports", 30)
        fleet.gateways[holder].thaw()
        fleet.serve(5, others)
        fleet.wait_for_total(20)
        fleet.check_tokens()


def counts_of_a_gateway_that_stops_and_starts_again_add_up():
    with DutyFleet(3, drain="4s") as fleet:
        fleet.begin()
        stopped = (fleet.holder() + 1) % 3
        fleet.serve(5, [stopped])
        fleet.gateways[stopped].process.send_signal(signal.SIGTERM)
        fleet.gateways[stopped].process.wait(30)
        fleet.gateways[stopped].start()
        wait_until(lambda: fleet.readiness(fleet.gateways[stopped]) == 200, "it is ready again")
        fleet.serve(5, [stopped])
        fleet.wait_for_total(20)
        fleet.check_tokens()


def nothing_is_decided_while_the_store_refuses_and_all_is_caught_up_afterwards():
    with DutyFleet(2) as fleet:
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
    run_cases([each_request_is_reported_once_although_answers_are_lost, a_refused_report_is_not_repeated,
               a_resumed_stream_is_not_counted_again,
               after_the_holders_end_its_successor_goes_on_with_a_higher_token,
               a_holder_frozen_beyond_its_term_sends_nothing_with_its_old_token,
               counts_of_a_gateway_that_stops_and_starts_again_add_up,
               nothing_is_decided_while_the_store_refuses_and_all_is_caught_up_afterwards,
               without_the_section_nothing_is_stored])
