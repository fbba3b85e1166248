#!/usr/bin/env python3
"""Large configurations reach a waxwing-gateway on a slow link within the platform's bound."""
import sys
import threading
import time

from gateway_fleet import Fleet, expect
from gateway_links import AnnouncingPeer, SlowLink, large_configuration
from gateway_standins import StoreLink
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
BOUND_S = 3.0                # config_ms of deployments that have such links
LINK_BYTES_PER_S = 1_250_000 # 10 Mbit/s, the slowest of the sheets
ROUTES = 4_200               # of three large changes in a row; the document takes a second of the link
OUTDATED_S = 6.0             # for so long peers announce what they don't serve
MOST_READS = 12              # with pauses of 0.1 s, doubled up to 0.8 s
LATE_S = 1.5                 # by which a slow store's answers are late


class SlowFleet:
    """A gateway that reaches its store and its peers over one slow link."""

    def __init__(self, compresses=True):
        self.fleet, self.link, self.stop = Fleet(ARGUMENTS.bin, gateways=0), SlowLink(LINK_BYTES_PER_S), threading.Event()
        fleet = self.fleet
        self.store = StoreLink(fleet.store, fleet.ports.address())
        fleet.add_gateway("slow", store=self.link.in_front_of(self.store.address, fleet.ports.address()),
                          store_view={"configuration": f"{BOUND_S}s"})
        self.gateway = fleet.gateways[0]
        self.peers = []
        for number in range(3):
            page = fleet.ports.address()
            addresses = (fleet.ports.address(), page, self.link.in_front_of(page, fleet.ports.address()))
            self.peers.append(AnnouncingPeer(fleet.store, f"p{number}", addresses, compresses))

    def __enter__(self):
        return self

    def start(self):
        for peer in self.peers:
            peer.put(large_configuration(2, 0))
            peer.announce_to(self.gateway, self.stop)
        self.fleet.start()
        wait_until(lambda: self.in_force(2), "the first version is in force")
        return self

    def __exit__(self, *unused):
        self.stop.set()
        self.fleet.__exit__()

    def in_force(self, version):
        return any(int(line["subject"]) >= version for line in self.fleet.events("config_in_force", "slow"))

    def announce(self, document):
        for peer in self.peers:
            peer.put(document)

    def expect_in_time(self, version, since):
        while not self.in_force(version):
            if time.monotonic() > since + BOUND_S:
                raise Failure(f"version {version} is not in force {BOUND_S} s after its acknowledgement")
            time.sleep(0.02)
        print(f"  version {version} in force after {time.monotonic() - since:.2f} s")


def document_that_takes_longer_than_a_call_on_a_slow_link_is_read_from_the_store():
    with Fleet(ARGUMENTS.bin, gateways=0) as fleet:
        fleet.store.put("config", "main", large_configuration(3, ROUTES))
        link = SlowLink(LINK_BYTES_PER_S)
        fleet.add_gateway("slow", store=link.in_front_of(fleet.store.address, fleet.ports.address()))
        began = time.monotonic()
        fleet.gateways[0].start()
        while not fleet.events("config_in_force"):
            if time.monotonic() > began + BOUND_S:
                raise Failure(f"the configuration is not in force {BOUND_S} s after the start: {len(fleet.events('store_lost'))} times store_lost")
            time.sleep(0.05)


def reads_from_peers_do_not_keep_each_other_from_ending_on_a_slow_link():
    with SlowFleet(compresses=False) as slow:
        slow.start()
        slow.store.cut = True
        slow.link.drop_connections()
        wait_until(lambda: any(line["subject"] == "config" for line in slow.fleet.events("store_lost", "slow")), "the store is lost")
        began = time.monotonic()
        slow.announce(large_configuration(3, ROUTES))
        slow.expect_in_time(3, began)
        expect(max(peer.most_open for peer in slow.peers), 1, "reads under way at one peer")


def peers_that_serve_an_older_version_than_they_announce_are_not_read_without_a_pause():
    with SlowFleet() as slow:
        slow.start()
        slow.store.cut = True
        slow.link.drop_connections()
        for peer in slow.peers:
            peer.reads, peer.version = 0, 3
        time.sleep(OUTDATED_S)
        reads = sum(peer.reads for peer in slow.peers)
        if reads > MOST_READS:
            raise Failure(f"{reads} reads in {OUTDATED_S} s")


def versions_in_a_row_are_in_force_in_time_although_the_store_answers_late():
    with SlowFleet() as slow:
        slow.start()
        slow.store.delay_s = LATE_S
        acknowledged = {}
        for version in (3, 4, 5):
            document = large_configuration(version, ROUTES)
            acknowledged[version] = time.monotonic()
            slow.fleet.store.put("config", "main", document)
            slow.announce(document)
            time.sleep(0.5)
        for version, since in acknowledged.items():
            slow.expect_in_time(version, since)


if __name__ == "__main__":
    run_cases([document_that_takes_longer_than_a_call_on_a_slow_link_is_read_from_the_store,
               reads_from_peers_do_not_keep_each_other_from_ending_on_a_slow_link,
               peers_that_serve_an_older_version_than_they_announce_are_not_read_without_a_pause,
               versions_in_a_row_are_in_force_in_time_although_the_store_answers_late])
    sys.exit(0)
