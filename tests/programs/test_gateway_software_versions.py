#!/usr/bin/env python3
"""waxwing-gateway and targets of several software versions in one service: a stream goes on only at the one that began it."""
import re
import sys
import time

from gateway_fleet import Fleet, expect, outcome
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
STREAMS = 16
BREAK_AFTER = 4              # events
TOLD_S = 1.2                 # by then a gateway's streams are known to those that it is in contact with


def fleet_of_versions(versions, gateways=1, **settings):
    """A fleet and its engines, which all hold the same model; their events name their version."""
    fleet = Fleet(ARGUMENTS.bin, gateways=gateways, **settings)
    engines = []
    for number, version in enumerate(versions):
        engine = fleet.target(f"t{number}", "engine", models=["m0"])
        engine.version, engine.marks_version = version, True
        engine.register()
        engines.append(engine)
    fleet.start()
    wait_until(lambda: len(fleet.events("target_changed")) >= len(versions) * gateways, "the targets are known")
    fleet.wait_for_contact()
    return fleet, engines


def versions_in(text):
    return set(re.findall(r" of (\S+)", text))


def break_streams(engines, after):
    for engine in engines:
        engine.break_stream_after = after


def broken_stream(fleet, gateway=0):
    """A stream that its target broke off, so that its caller got some events. Returns its request id and version."""
    headers = fleet.headers("m0", Prompt_Prefix=f"p{fleet.number}:9")
    status, text = outcome(fleet, "/notes/1", headers, gateway, str(fleet.number))  # equal ones would be quarantined
    expect(status, "IncompleteRead", "the stream breaks")
    expect(len(versions_in(text)), 1, f"versions in {text}")
    return headers["Request-Id"], versions_in(text).pop()


def take_up(fleet, begun, gateway):
    """The caller takes its stream up. Returns whether it went on; at another version is a failure."""
    request_id, version = begun
    headers = fleet.headers("m0", Resumes=request_id, Last_Event_Id=str(BREAK_AFTER), Prompt_Prefix=f"p{fleet.number}:9")
    status, text = outcome(fleet, "/notes/1", headers, gateway, str(fleet.number))
    if status == 200 and versions_in(text) != {version}:
        raise Failure(f"{request_id} began at {version} and went on at {versions_in(text)}")
    if status not in (200, 503):
        raise Failure(f"{request_id} got {status}: not run, so 503 would be true")
    return status == 200


def stream_resumed_within_one_answer_stays_at_its_version():
    fleet, engines = fleet_of_versions(["v1", "v2", "v1", "v2"])
    with fleet:
        break_streams(engines[:2], BREAK_AFTER)
        for _ in range(STREAMS):
            status, text = outcome(fleet, "/notes/1", fleet.headers("m0", Prompt_Prefix=f"p{fleet.number}:9"), body=str(fleet.number))
            expect((status, len(versions_in(text))), (200, 1), f"whole, and of one version: {text}")
        if not fleet.events("request_retried"):
            raise Failure("no stream was resumed")


def stream_does_not_go_on_at_a_target_that_has_started_again_with_other_software_unnoticed():
    fleet, engines = fleet_of_versions(["v1", "v1"])
    with fleet:
        break_streams(engines[:1], BREAK_AFTER)
        engines[1].version, engines[1].born = "v2", engines[1].born + 1      # its registration hasn't come
        for _ in range(STREAMS):
            status, text = outcome(fleet, "/notes/1", fleet.headers("m0", Prompt_Prefix=f"p{fleet.number}:9"), body=str(fleet.number))
            expect(len(versions_in(text)), 1, f"versions in {status}: {text}")
        if not fleet.events("request_retried"):
            raise Failure("no stream was resumed")


def stream_whose_version_has_no_other_target_is_cut_not_mixed():
    fleet, engines = fleet_of_versions(["v1", "v2"])
    with fleet:
        break_streams(engines[:1], BREAK_AFTER)
        seen = set()
        for _ in range(STREAMS):
            status, text = outcome(fleet, "/notes/1", fleet.headers("m0", Prompt_Prefix=f"p{fleet.number}:9"), body=str(fleet.number))
            expect(len(versions_in(text)), 1, f"versions in {text}")
            seen.add(status)
        expect(seen, {200, "IncompleteRead"}, "answers")


def stream_taken_up_by_its_caller_anywhere_goes_on_at_its_version():
    fleet, engines = fleet_of_versions(["v1", "v2", "v1", "v2"], gateways=3)
    with fleet:
        break_streams(engines, BREAK_AFTER)
        begun = [broken_stream(fleet, number % 3) for number in range(STREAMS)]
        expect({version for _, version in begun}, {"v1", "v2"}, "versions that began streams")
        break_streams(engines, None)
        time.sleep(TOLD_S)
        expect([take_up(fleet, each, (number + 1) % 3) for number, each in enumerate(begun)], [True] * STREAMS, "it goes on")


def stream_goes_on_although_the_gateway_that_began_it_is_gone_and_others_restarted():
    fleet, engines = fleet_of_versions(["v1", "v2", "v1", "v2"], gateways=3)
    with fleet:
        break_streams(engines, BREAK_AFTER)
        begun = [broken_stream(fleet) for number in range(STREAMS)]
        break_streams(engines, None)
        time.sleep(TOLD_S)
        fleet.gateways[0].kill()
        fleet.gateways[1].kill()
        fleet.gateways[1].start()
        wait_until(lambda: fleet.readiness(fleet.gateways[1]) == 200, "the restarted gateway is ready")
        time.sleep(TOLD_S)
        went_on = [take_up(fleet, each, 1 + number % 2) for number, each in enumerate(begun)]
        if sum(went_on) < STREAMS * 3 / 4:
            raise Failure(f"{sum(went_on)} of {STREAMS} streams went on")


def stream_of_an_unknown_version_is_refused_while_there_are_several():
    fleet, engines = fleet_of_versions(["v1", "v2", "v1", "v2"], gateways=2)
    with fleet:
        break_streams(engines, BREAK_AFTER)
        begun = [broken_stream(fleet, number % 2) for number in range(STREAMS)]
        break_streams(engines, None)
        for gateway in fleet.gateways:           # power lost by all
            gateway.kill()
        for gateway in fleet.gateways:
            gateway.start()
        for gateway in fleet.gateways:
            wait_until(lambda gateway=gateway: fleet.readiness(gateway) == 200, "ready")
        for number, each in enumerate(begun):
            take_up(fleet, each, number % 2)


def stream_goes_on_after_all_gateways_restarted_if_there_is_one_version():
    fleet, engines = fleet_of_versions(["v1", "v1"], gateways=2)
    with fleet:
        break_streams(engines, BREAK_AFTER)
        begun = broken_stream(fleet)
        break_streams(engines, None)
        for gateway in fleet.gateways:
            gateway.kill()
            gateway.start()
            wait_until(lambda gateway=gateway: fleet.readiness(gateway) == 200, "ready")
        wait_until(lambda: take_up(fleet, begun, 1), "it goes on")


if __name__ == "__main__":
    run_cases([stream_resumed_within_one_answer_stays_at_its_version,
               stream_does_not_go_on_at_a_target_that_has_started_again_with_other_software_unnoticed, stream_whose_version_has_no_other_target_is_cut_not_mixed,
               stream_taken_up_by_its_caller_anywhere_goes_on_at_its_version,
               stream_goes_on_although_the_gateway_that_began_it_is_gone_and_others_restarted,
               stream_of_an_unknown_version_is_refused_while_there_are_several,
               stream_goes_on_after_all_gateways_restarted_if_there_is_one_version])
    sys.exit(0)
