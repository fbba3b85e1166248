#!/usr/bin/env python3
"""waxwing-gateway in a fleet of several groups: what one group knows reaches the others through their speakers."""
import json
import socket
import sys
import time

from gateway_fleet import Fleet, expect
from gateway_standins import configuration
from harness import arguments, request, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
CENTRES = ("a", "b", "c")
EACH = 3                # gateways of a data centre; two of them speak
SMALL = 6               # smaller machines beside two larger ones
SPREAD_S = 2.0          # bound of the platform for a configuration, a departure: drain_ms, config_ms
MALFORMED = (b"", b"x", b"\x00" * 60, b"\xff" * 1_400, b"\x82" * 60_000)


def grouped_fleet():
    fleet = Fleet(ARGUMENTS.bin, gateways=0, exchange={"single_group": 2, "processor_share": 0.5})
    for centre in CENTRES:
        for number in range(EACH):
            fleet.add_gateway(f"{centre}{number + 1}", centre)
    return fleet


def target_to_leave(fleet):
    """One of two equal targets, which serves all while it is there."""
    # Of idle targets those in the gateways' own data centre serve first, then the first one.
    leaving, staying = fleet.target("b-leaving", "ledger"), fleet.target("c-staying", "ledger")
    for target in (leaving, staying):
        target.zone = "z"
        target.register()
    return leaving


def metric(gateway, name):
    lines = request(gateway.settings["metrics"], "GET", "/metrics").text.splitlines()
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines if line.split("{")[0] == name)


def all_groups_are_in_contact_and_orders_of_one_are_known_in_all():
    with grouped_fleet() as fleet:
        fleet.target("t1", "engine", models=["m0"], on_disk=["m1", "m2", "m3", "m4"])
        fleet.start()
        fleet.wait_for_contact()
        fleet.wait_for_orders()
        for number in range(len(fleet.gateways)):
            wait_until(lambda number=number: fleet.ask("/dossier/1", fleet.headers("m1"), gateway=number).status == 200,
                       f"gateway {number} knows of the loaded model")


def changes_reach_all_groups_although_all_speakers_are_killed():
    with grouped_fleet() as fleet:
        leaving = target_to_leave(fleet)
        fleet.start()
        fleet.wait_for_contact()
        # Who speaks is decided by hashes of the names: of each group all but one are killed.
        survivors = [number for number, gateway in enumerate(fleet.gateways) if gateway.name.endswith("1")]
        for number, gateway in enumerate(fleet.gateways):
            if number not in survivors:
                gateway.kill()
        for number in survivors:
            wait_until(lambda number=number: metric(fleet.gateways[number], "waxwing_gateways_heard") == len(survivors) - 1,
                       "the survivors hear each other")
            expect(round(metric(fleet.gateways[number], "waxwing_rate_part"), 6), round(len(survivors) / len(fleet.gateways), 6),
                   "part of each rate")
        fleet.store.put("config", "main", configuration(3, keys=["k-norte", "k-new"]))
        fleet.store.remove("servers", "b-leaving")
        time.sleep(SPREAD_S)
        before = len(leaving.runs)
        for number in survivors:
            expect(fleet.ask("/cert/1", fleet.headers(X_Api_Key="k-new"), gateway=number).status, 200, f"the new key at {number}")
        expect(len(leaving.runs), before, "requests at the target that left")


def departures_are_passed_on_to_groups_that_do_not_hear_who_saw_them():
    with grouped_fleet() as fleet:
        leaving = target_to_leave(fleet)
        fleet.start()
        fleet.wait_for_contact()
        fleet.wait_for_orders()
        time.sleep(SPREAD_S)   # until only the order giver watches the store closely
        leaving.register(state="draining")
        time.sleep(SPREAD_S)
        before = len(leaving.runs)
        for number in range(len(fleet.gateways)):
            expect(fleet.ask("/cert/1", fleet.headers(), gateway=number).status, 200, f"service at {number}")
        expect(len(leaving.runs), before, "requests at the leaving target")


def larger_machines_take_over_the_orders():
    with Fleet(ARGUMENTS.bin, gateways=0) as fleet:
        fleet.target("t1", "engine", models=["m0"], on_disk=["m1", "m2", "m3", "m4"])
        for name in ("large1", "large2"):
            fleet.add_gateway(name, exchange={"processor_share": 0.5})
        for number in range(SMALL):
            fleet.add_gateway(f"small{number}", exchange={"processor_share": 0.09})
        fleet.start()
        fleet.wait_for_contact()
        first = fleet.wait_for_orders()[0]
        next(gateway for gateway in fleet.gateways if gateway.name == first["process"]).kill()

        def taken_since():
            return [line["process"] for line in fleet.events("lease_taken") if line["unix_ms"] > first["unix_ms"]]
        wait_until(taken_since, "another gateway takes the lease")
        expect([name[:5] for name in taken_since()], ["large"], "who takes it")


def malformed_messages_cost_a_log_line_and_nothing_else():
    with grouped_fleet() as fleet:
        fleet.target("t1", "ledger")
        fleet.start()
        fleet.wait_for_contact()
        hit = fleet.gateways[0]
        host, port = hit.settings["peers"].split(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for datagram in MALFORMED:
                sender.sendto(datagram, (host, int(port)))
        # An empty datagram carries nothing that could be logged.
        wait_until(lambda: len(fleet.events("datagram_ignored", hit.name)) >= len(MALFORMED) - 1, "they are logged")
        expect(fleet.ask("/cert/1", fleet.headers()).status, 200, "service")
        fleet.wait_for_contact()


def gateways_of_an_earlier_version_report_to_all():
    """Their registrations state no data centre: both sides report to each other, in whatever group."""
    with grouped_fleet() as fleet:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as old:
            old.bind(("127.0.0.1", 0))
            old.settimeout(5)
            address = f"127.0.0.1:{old.getsockname()[1]}"
            fleet.store.put("waxwinglb-routers", "old", {"address": address, "boot": 1, "era": 0})
            fleet.start()
            heard = set()

            def all_report():
                datagram = old.recv(65_536)
                heard.update(gateway.name for gateway in fleet.gateways if gateway.settings["peers"].encode() in datagram)
                return len(heard) == len(fleet.gateways)
            wait_until(all_report, "every gateway reports to the one of an earlier version")


def messages_are_small_between_groups():
    """Those who don't speak get no datagrams from other groups."""
    with grouped_fleet() as fleet:
        fleet.start()
        fleet.wait_for_contact()
        before = [metric(gateway, "waxwing_peer_bytes_total") for gateway in fleet.gateways]
        time.sleep(4)
        sent = [after - earlier for after, earlier in zip(
            (metric(gateway, "waxwing_peer_bytes_total") for gateway in fleet.gateways), before)]
        print("        bytes a second of each gateway:", json.dumps([round(value / 4) for value in sent]))
        least = min(sent[index] for index in range(len(sent)))
        expect(least < max(sent), True, "a member sends less than a speaker")


if __name__ == "__main__":
    run_cases([all_groups_are_in_contact_and_orders_of_one_are_known_in_all,
               changes_reach_all_groups_although_all_speakers_are_killed,
               departures_are_passed_on_to_groups_that_do_not_hear_who_saw_them,
               larger_machines_take_over_the_orders,
               malformed_messages_cost_a_log_line_and_nothing_else,
               gateways_of_an_earlier_version_report_to_all,
               messages_are_small_between_groups])
    sys.exit(0)
