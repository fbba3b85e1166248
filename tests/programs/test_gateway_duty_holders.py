#!/usr/bin/env python3
"""Duty calls of waxwing-gateway while their holder is killed, frozen, cut off or another gateway is restarted."""
import signal

from duty_fleet import DutyFleet
from gateway_fleet import expect
from gateway_standins import StoreLink
from harness import arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)


def after_the_holders_end_its_successor_goes_on_with_a_higher_token():
    with DutyFleet(ARGUMENTS.bin, 3) as fleet:
        fleet.begin()
        holder = fleet.holder()
        others = [number for number in range(3) if number != holder]
        fleet.gateways[holder].kill()
        fleet.serve(5, others)
        fleet.wait_for_total(20)
        fleet.check_tokens()


def a_successor_repeats_the_counts_that_its_predecessor_decided():
    with DutyFleet(ARGUMENTS.bin, 3) as fleet:
        fleet.begin()
        holder = fleet.holder()
        others = [number for number in range(3) if number != holder]
        fleet.serve(5, others)
        fleet.platform.answers = ["lost"] * 1000     # decided and sent, but never accepted
        known = set(fleet.platform.reports())
        wait_until(lambda: set(fleet.platform.reports()) - known, "a window is sent in vain", 30)
        window = max(fleet.platform.reports())
        fleet.gateways[holder].kill()
        fleet.platform.answers = []
        wait_until(lambda: len({token for _, token, _ in fleet.platform.reports()[window]}) > 1,
                   "the successor sends the same window", 30)
        fleet.wait_for_total(20)
        fleet.check_tokens()


def a_holder_cut_off_from_the_store_goes_on_through_a_peer():
    with DutyFleet(ARGUMENTS.bin, 0) as fleet:
        links = [StoreLink(fleet.store, fleet.ports.address()) for _ in range(3)]
        for number, link in enumerate(links):
            fleet.add_gateway(f"g{number + 1}", store=link.address)
        fleet.begin()
        links[fleet.holder()].cut = True
        fleet.serve(5, [0, 1, 2])
        fleet.wait_for_total(30)
        windows = sorted(fleet.platform.reports())
        expect(windows, list(range(windows[0], windows[-1] + 1)), "windows reported")
        fleet.check_tokens()


def a_holder_frozen_beyond_its_term_sends_nothing_with_its_old_token():
    with DutyFleet(ARGUMENTS.bin, 3) as fleet:
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
    with DutyFleet(ARGUMENTS.bin, 3, drain="4s") as fleet:
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


if __name__ == "__main__":
    run_cases([after_the_holders_end_its_successor_goes_on_with_a_higher_token,
               a_successor_repeats_the_counts_that_its_predecessor_decided,
               a_holder_cut_off_from_the_store_goes_on_through_a_peer,
               a_holder_frozen_beyond_its_term_sends_nothing_with_its_old_token,
               counts_of_a_gateway_that_stops_and_starts_again_add_up])
