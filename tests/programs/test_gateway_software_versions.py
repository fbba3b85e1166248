#!/usr/bin/env python3
"""waxwing-gateway and targets of several software versions in one service: a stream goes on only at the one that began it."""
import sys
import time

from gateway_fleet import expect
from harness import Failure, arguments, run_cases, wait_until
from version_fleet import (BREAK_AFTER, STREAMS, TOLD_S, break_streams, broken_stream, expect_taken_up_anywhere, expect_unknown_ones_not_mixed, start_fleet,
                           stream, take_up, versions_in)

ARGUMENTS = arguments(__doc__)


def fleet_of_versions(versions, **more):
    def prepare(engine, version):
        engine.version, engine.marks = version, "software"
    return start_fleet(ARGUMENTS.bin, prepare, versions, **more)


def stream_resumed_within_one_answer_stays_at_its_version():
    fleet, engines = fleet_of_versions(["v1", "v2", "v1", "v2"])
    with fleet:
        break_streams(engines[:2], BREAK_AFTER)
        for _ in range(STREAMS):
            status, text, _ = stream(fleet)
            expect((status, len(versions_in(text))), (200, 1), f"whole, and of one version: {text}")
        if not fleet.events("request_retried"):
            raise Failure("no stream was resumed")


def stream_does_not_go_on_at_a_target_that_has_started_again_with_other_software_unnoticed():
    fleet, engines = fleet_of_versions(["v1", "v1"])
    with fleet:
        break_streams(engines[:1], BREAK_AFTER)
        engines[1].version, engines[1].born = "v2", engines[1].born + 1      # its registration hasn't come
        for _ in range(STREAMS):
            status, text, _ = stream(fleet)
            expect(len(versions_in(text)), 1, f"versions in {status}: {text}")
        if not fleet.events("request_retried"):
            raise Failure("no stream was resumed")


def stream_whose_version_has_no_other_target_is_cut_not_mixed():
    fleet, engines = fleet_of_versions(["v1", "v2"])
    with fleet:
        break_streams(engines[:1], BREAK_AFTER)
        seen = set()
        for _ in range(STREAMS):
            status, text, _ = stream(fleet)
            expect(len(versions_in(text)), 1, f"versions in {text}")
            seen.add(status)
        expect(seen, {200, "IncompleteRead"}, "answers")


def stream_taken_up_by_its_caller_anywhere_goes_on_at_its_version():
    fleet, engines = fleet_of_versions(["v1", "v2", "v1", "v2"], gateways=3)
    with fleet:
        expect_taken_up_anywhere(fleet, engines, {"v1", "v2"})


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
        expect_unknown_ones_not_mixed(fleet, engines)


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
