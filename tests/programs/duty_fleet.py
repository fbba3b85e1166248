"""Gateways that report usage to a stand-in of the platform's duty calls, for process-level tests."""
import time

from gateway_fleet import Fleet, expect
from gateway_standins import DutyPlatform
from harness import Failure, Ports, wait_until

WINDOW_S = 2
CUSTOMER = "norte"


class DutyFleet(Fleet):
    """Gateways that report usage to a stand-in, with an engine and a plain service."""

    def __init__(self, bin_folder, gateways, **settings):
        self.platform = DutyPlatform(Ports().address())
        duties = {"address": self.platform.address, "calls_per_second": 5, "kinds": "usage_report,unheard_of",
                  "usage_window": f"{WINDOW_S}s", "usage_late": "10s"}
        super().__init__(bin_folder, gateways=gateways, duties=duties, **settings)

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
