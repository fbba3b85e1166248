#!/usr/bin/env python3
"""waxwing-gateway whose view of the targets is old: streams that began at a version which it doesn't know."""
import concurrent.futures
import contextlib
import os
import signal
import sys
import time

from gateway_fleet import expect, outcome
from gateway_standins import StoreLink
from harness import Failure, arguments, run_cases, wait_until
from version_fleet import BREAK_AFTER, STREAMS, TOLD_S, break_streams, broken_stream, name_software, start_fleet, stream, versions_in

ARGUMENTS = arguments(__doc__)
PROMPT_S = 1.0               # a refusal that needs no other process
STILL_S = 4.0
STOPPED_S = 1.0              # by then the gateway does nothing any more


def take_up(fleet, begun, gateway, named=True):
    """The caller takes its stream up. Returns (status, seconds); at another version is a failure."""
    request_id, version = begun
    more = {"Resumes": request_id} if named else {}
    headers = fleet.headers("m0", Last_Event_Id=str(BREAK_AFTER), Prompt_Prefix=f"p{fleet.number}:9", **more)
    began = time.monotonic()
    status, text = outcome(fleet, "/notes/1", headers, gateway, str(fleet.number))
    if status == 200 and versions_in(text) != {version}:
        raise Failure(f"{request_id} began at {version} and went on at {versions_in(text)}")
    return status, time.monotonic() - began


def statuses(taken):
    return [status for status, _ in taken]


def broken_streams(fleet, engines, gateway):
    break_streams(engines, BREAK_AFTER)
    begun = [broken_stream(fleet, gateway) for _ in range(STREAMS)]
    break_streams(engines, None)
    return begun


def later_target(fleet):
    later = fleet.target("t9", "engine", models=["m0"])
    name_software(later, 2)
    later.register()
    return later


def start_unknown_gateway(fleet):
    """Starts a gateway that knows both targets, and no other gateway. Returns its index."""
    for kind, name in list(fleet.store.objects):
        if kind not in ("config", "servers"):
            fleet.store.remove(kind, name)
    fleet.add_gateway("g3")
    fleet.gateways[-1].start()
    wait_until(lambda: fleet.readiness(fleet.gateways[-1]) == 200, "g3 is ready")
    wait_until(lambda: len(fleet.events("target_changed", "g3")) >= 2, "g3 knows both targets")
    return len(fleet.gateways) - 1


@contextlib.contextmanager
def standing_still(gateway):
    """The process is stopped, and goes on some seconds after the end of the context."""
    os.kill(gateway.process.pid, signal.SIGSTOP)
    yield
    time.sleep(STILL_S)
    os.kill(gateway.process.pid, signal.SIGCONT)


def fleet_with_gateway_behind_a_cut():
    """Gateway 1 knows v1 and is cut off; v2 comes and streams begin at both versions through gateway 2."""
    fleet, engines = start_fleet(ARGUMENTS.bin, name_software, [1], gateways=1)
    link = StoreLink(fleet.store, fleet.ports.address())
    fleet.add_gateway("cut", store=link.address)
    fleet.gateways[1].start()
    wait_until(lambda: fleet.readiness(fleet.gateways[1]) == 200, "the gateway is ready")
    wait_until(lambda: fleet.events("target_changed", "cut"), "it knows the first target")
    fleet.wait_for_contact()
    link.cut = True
    fleet.gateways[0].kill()
    engines.append(later_target(fleet))
    other = start_unknown_gateway(fleet)
    return fleet, link, broken_streams(fleet, engines, other)


def stream_of_a_version_that_joined_behind_a_cut_does_not_go_on_at_another():
    fleet, _, begun = fleet_with_gateway_behind_a_cut()
    with fleet:
        taken = [take_up(fleet, each, 1) for each in begun]
        expect(statuses(taken), [503] * STREAMS, "refused, as its origin can't be known")
        expect([seconds for _, seconds in taken if seconds > PROMPT_S], [], "refused at once")


def stream_without_name_of_a_version_that_joined_behind_a_cut_does_not_go_on_at_another():
    fleet, _, begun = fleet_with_gateway_behind_a_cut()
    with fleet:
        expect(statuses(take_up(fleet, each, 1, named=False) for each in begun), [503] * STREAMS, "refused")


def stream_of_a_version_that_came_and_went_behind_a_cut_does_not_go_on_at_another():
    fleet, link, begun = fleet_with_gateway_behind_a_cut()
    with fleet:
        fleet.store.remove("servers", "t9")
        time.sleep(STILL_S)
        link.cut = False
        wait_until(lambda: {line["subject"] for line in fleet.events("store_regained", "cut")} >= {"servers"}, "it reads targets")
        for each in begun:
            take_up(fleet, each, 1, named=False)


def stream_of_a_version_that_joined_while_the_gateway_stood_still_does_not_go_on_at_another():
    fleet, engines = start_fleet(ARGUMENTS.bin, name_software, [1], gateways=2)
    with fleet:
        with standing_still(fleet.gateways[1]):
            engines.append(later_target(fleet))
            wait_until(lambda: len(fleet.events("target_changed", "g1")) >= 2, "gateway 0 knows the new target")
            begun = broken_streams(fleet, engines, 0)
        for each in begun:
            take_up(fleet, each, 1, named=False)


def stream_of_a_version_that_came_and_went_while_the_gateway_stood_still_does_not_go_on_at_another():
    fleet, engines = start_fleet(ARGUMENTS.bin, name_software, [1], gateways=1)
    with fleet:
        with standing_still(fleet.gateways[0]):
            later, other = later_target(fleet), start_unknown_gateway(fleet)
            begun = broken_streams(fleet, [*engines, later], other)
            fleet.store.remove("servers", "t9")
        for each in begun:
            take_up(fleet, each, 0, named=False)


def request_that_came_while_the_gateway_stood_still_is_not_thrown_away():
    fleet, _ = start_fleet(ARGUMENTS.bin, name_software, [1])
    with fleet, concurrent.futures.ThreadPoolExecutor(STREAMS) as callers:
        with standing_still(fleet.gateways[0]):
            time.sleep(STOPPED_S)
            asked = [callers.submit(stream, fleet) for _ in range(STREAMS)]
        expect([each.result()[0] for each in asked], [200] * STREAMS, "served")


def stream_of_unknown_origin_goes_on_where_all_targets_have_one_version():
    fleet, engines = start_fleet(ARGUMENTS.bin, name_software, [1, 1], gateways=2)
    with fleet:
        begun = broken_streams(fleet, engines, 0)
        time.sleep(TOLD_S)
        expect(statuses(take_up(fleet, each, 1, named=False) for each in begun), [200] * STREAMS, "it goes on")


if __name__ == "__main__":
    run_cases([stream_of_a_version_that_joined_behind_a_cut_does_not_go_on_at_another,
               stream_without_name_of_a_version_that_joined_behind_a_cut_does_not_go_on_at_another,
               stream_of_a_version_that_came_and_went_behind_a_cut_does_not_go_on_at_another,
               stream_of_a_version_that_joined_while_the_gateway_stood_still_does_not_go_on_at_another,
               stream_of_a_version_that_came_and_went_while_the_gateway_stood_still_does_not_go_on_at_another,
               request_that_came_while_the_gateway_stood_still_is_not_thrown_away,
               stream_of_unknown_origin_goes_on_where_all_targets_have_one_version])
    sys.exit(0)
