#!/usr/bin/env python3
"""What gateways know of the platform's store stays within its bounds although the gateway that reads it for the others is slow."""
import signal
import sys
import threading
import time

from gateway_fleet import Fleet, expect
from gateway_standins import StoreLink, configuration
from gateway_standins import configuration
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
BOUND_S = 2.0                    # the platform's tightest, for departures and configurations
GRACE_S = 6.0                    # a target that leaves serves on for so long
STOPPED_S, RUNNING_S = 0.9, 0.008
ROUNDS = 3
FEW_EVENTS = 20                  # in one answer of the store
SLOW_LINK_S = 0.5                # an answer with a large configuration takes so long on the slowest links
OWN_READ_S = 13.0                # a gateway reads the registrations itself every 10 s


class SlowProcess:
    """Lets a process run for a small part of the time, in turns short enough that its peers still hear it."""

    def __init__(self, process):
        self.process, self.end = process, threading.Event()
        self.thread = threading.Thread(target=self.run)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *unused):
        self.end.set()
        self.thread.join()

    def run(self):
        while not self.end.is_set():
            self.process.send_signal(signal.SIGSTOP)
            time.sleep(STOPPED_S)
            self.process.send_signal(signal.SIGCONT)
            time.sleep(RUNNING_S)


def reader_and_others(fleet):
    fleet.wait_for_contact()
    fleet.wait_for_orders()
    name = fleet.events("lease_taken")[0]["process"]
    names = [gateway.name for gateway in fleet.gateways]
    return fleet.gateways[names.index(name)], [number for number, other in enumerate(names) if other != name]


def departures_reach_gateways_in_time_although_their_reader_is_slow():
    with Fleet(ARGUMENTS.bin, gateways=3) as fleet:
        targets = [fleet.target(f"l{number}", "ledger") for number in range(ROUNDS + 1)]
        fleet.start()
        fleet.wait_for_target()
        reader, others = reader_and_others(fleet)
        with SlowProcess(reader.process):
            time.sleep(3)
            late = []
            for _ in range(ROUNDS):
                for number in others:
                    fleet.ask("/lookup/1", fleet.headers(), gateway=number)
                leaving = max((target for target in targets if target.run_started_at), key=lambda target: target.run_started_at[-1])
                acknowledged = time.monotonic()
                leaving.register("draining")
                while time.monotonic() < acknowledged + GRACE_S:
                    for number in others:
                        fleet.ask("/lookup/1", fleet.headers(), gateway=number)
                late.append(leaving.run_started_at[-1] - acknowledged)
        print(f"  last use {[round(at, 2) for at in late]} s after the departure")
        if max(late) > BOUND_S:
            raise Failure(f"a target was used {max(late):.2f} s after it had said that it leaves")


def registrations_from_before_a_departure_bring_no_target_back():
    with Fleet(ARGUMENTS.bin, gateways=2) as fleet:
        targets = [fleet.target(f"l{number}", "ledger") for number in range(2)]
        fleet.start()
        fleet.wait_for_target()
        _, (other,) = reader_and_others(fleet)
        fleet.store.max_events = FEW_EVENTS
        fleet.ask("/lookup/1", fleet.headers(), gateway=other)
        leaving = next(target for target in targets if target.run_started_at)
        for _ in range(2 * FEW_EVENTS):    # heartbeats, as targets write them all the time
            leaving.register()
        acknowledged = time.monotonic()
        leaving.register("draining")
        while time.monotonic() < acknowledged + OWN_READ_S:
            fleet.ask("/lookup/1", fleet.headers(), gateway=other)
        late = leaving.run_started_at[-1] - acknowledged
        if late > BOUND_S:
            raise Failure(f"the target was used {late:.2f} s after it had said that it leaves")


def a_configuration_on_its_way_from_the_store_is_not_read_from_a_peer_too():
    with Fleet(ARGUMENTS.bin) as fleet:
        link = StoreLink(fleet.store, fleet.ports.address())
        fleet.add_gateway("slow", store=link.address)
        fleet.start()
        fleet.wait_for_contact()
        link.delay_s = SLOW_LINK_S
        for version in range(3, 3 + ROUNDS):
            fleet.store.put("config", "main", configuration(version))
            wait_until(lambda version=version: any(line["subject"] == str(version) for line in fleet.events("config_in_force", "slow")),
                       f"version {version} is in force at the gateway on a slow link")
        sources = [line["source"] for line in fleet.events("config_in_force", "slow")]
        expect(sources, ["store"] * (1 + ROUNDS), "where the configurations came from")


if __name__ == "__main__":
    run_cases([departures_reach_gateways_in_time_although_their_reader_is_slow,
               registrations_from_before_a_departure_bring_no_target_back,
               a_configuration_on_its_way_from_the_store_is_not_read_from_a_peer_too])
    sys.exit(0)
