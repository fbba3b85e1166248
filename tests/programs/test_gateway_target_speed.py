#!/usr/bin/env python3
"""waxwing-gateway with dispatch.learn_speeds: what targets state of their load, and speeds that gateways learn."""
import sys
import threading

from gateway_fleet import Fleet, expect
from harness import Failure, arguments, request, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
ODD_LOADS = ("", "-1,0,6", "many", "1,0", "1,0,6,nan", "1,0,6,-3", "1,0,6,1e99", "1,0,6,100,7")


def ask_with_odd_loads(fleet):
    ledger = fleet.target("l1", "ledger", slots=6)
    fleet.start()
    fleet.wait_for_target()
    for value in ODD_LOADS + ("1,0,6", "1,0,6,130"):
        ledger.load = value
        expect(fleet.ask("/cert/1", fleet.headers()).status, 200, f"Server-Load: {value}")


def odd_loads_are_logged_and_counted_and_have_no_effect():
    with Fleet(ARGUMENTS.bin, dispatch={"learn_speeds": True}) as fleet:
        ask_with_odd_loads(fleet)
        expect(len(fleet.events("target_load_ignored")), len(ODD_LOADS), "lines")
        page = request(fleet.gateways[0].settings["metrics"], "GET", "/metrics").text
        counted = [line for line in page.splitlines() if line.startswith("waxwing_target_loads_ignored_total")]
        expect([float(line.rsplit(" ", 1)[1]) for line in counted], [float(len(ODD_LOADS))], "metric")


def without_the_setting_loads_are_not_read():
    with Fleet(ARGUMENTS.bin) as fleet:
        ask_with_odd_loads(fleet)
        expect(len(fleet.events("target_load_ignored")), 0, "lines")
        expect(len(fleet.events("target_notice_ignored")), 0, "lines")


def send_streams(fleet, callers, each):
    def send():
        for _ in range(each):
            answer = fleet.ask("/dossier/1", fleet.headers("m0", Prompt_Prefix=f"s{fleet.number}:9"))
            if answer.status != 200:
                raise Failure(f"status {answer.status}")
    threads = [threading.Thread(target=send) for _ in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def a_slow_engine_is_noticed_by_the_gateway_that_uses_it_and_by_its_peer():
    with Fleet(ARGUMENTS.bin, gateways=2, dispatch={"learn_speeds": True}) as fleet:
        engines = [fleet.target(f"t{number}", "engine", models=["m0"]) for number in range(4)]
        for engine in engines:
            engine.load = "1,0,64"
        engines[0].event_pause_s *= 4
        fleet.start()
        wait_until(lambda: len(fleet.events("target_changed")) >= 8, "the targets are known")
        fleet.wait_for_contact()
        send_streams(fleet, callers=8, each=12)        # all to the first gateway
        for gateway in ("g1", "g2"):
            wait_until(lambda gateway=gateway: any(line["subject"] == "t0" and line["speed"] < 0.8
                                                   for line in fleet.events("target_speed_changed", gateway)),
                       f"{gateway} knows that t0 is slow")
        expect([line["own_samples"] for line in fleet.events("target_speed_changed", "g2") if line["subject"] == "t0"][0], 0,
               "samples of its own")


if __name__ == "__main__":
    run_cases([odd_loads_are_logged_and_counted_and_have_no_effect, without_the_setting_loads_are_not_read,
               a_slow_engine_is_noticed_by_the_gateway_that_uses_it_and_by_its_peer])
    sys.exit(0)
