#!/usr/bin/env python3
"""waxwing-gateway and targets whose models or adapters differ in version: a stream goes on only at what began it."""
import sys
import time

from gateway_fleet import expect
from harness import Failure, arguments, run_cases
from version_fleet import (BREAK_AFTER, STREAMS, TOLD_S, break_streams, expect_taken_up_anywhere, expect_unknown_ones_not_mixed, start_fleet,
                           stream, take_up, versions_in)

ARGUMENTS = arguments(__doc__)
CUT_WITHIN_S = 0.3           # of the break: a stream that can't go on anywhere isn't held


def fleet_of_weights(weights, states=True, **more):
    def prepare(engine, version):
        engine.weights, engine.states_weights, engine.marks = version, states, "weights"
    return start_fleet(ARGUMENTS.bin, prepare, weights, **more)


def fleet_of_adapters(versions):
    def prepare(engine, version):
        engine.adapter_versions, engine.marks, engine.models["m0"] = {"a1": version}, "adapter", {"a1"}
    return start_fleet(ARGUMENTS.bin, prepare, versions)


def expect_resumed_at_one_version(fleet, statuses, model="m0"):
    seen = set()
    for _ in range(STREAMS):
        status, text, _ = stream(fleet, model)
        expect(len(versions_in(text)), 1, f"versions in {status}: {text}")
        seen.add(status)
    expect(seen, statuses, "answers")


def stream_resumed_within_one_answer_does_not_go_on_at_other_weights():
    fleet, engines = fleet_of_weights([1, 2, 1, 2])
    with fleet:
        break_streams(engines[:2], BREAK_AFTER)
        expect_resumed_at_one_version(fleet, {200})
        if not fleet.events("request_retried"):
            raise Failure("no stream was resumed")


def stream_does_not_go_on_at_a_target_that_has_loaded_newer_weights_since_its_registration():
    fleet, engines = fleet_of_weights([1, 1])
    with fleet:
        break_streams(engines[:1], BREAK_AFTER)
        engines[1].weights = 2
        expect_resumed_at_one_version(fleet, {200, "IncompleteRead"})


def stream_of_weights_that_targets_name_only_in_answers_does_not_go_on_at_others():
    fleet, engines = fleet_of_weights([1, 2, 1, 2], states=False)
    with fleet:
        for _ in range(STREAMS):                 # whole streams: the targets' answers are known
            stream(fleet)
        break_streams(engines[:2], BREAK_AFTER)
        expect_resumed_at_one_version(fleet, {200})


def stream_of_weights_that_only_registrations_name_does_not_go_on_at_others():
    fleet, engines = fleet_of_weights([1, 2, 1, 2])
    with fleet:
        break_streams(engines[:2], BREAK_AFTER)
        for engine in engines:
            engine.answers_with_weights = False
        expect_resumed_at_one_version(fleet, {200})


def stream_whose_weights_no_other_target_has_is_cut_at_once():
    fleet, engines = fleet_of_weights([1, 2])
    with fleet:
        break_streams(engines[:1], BREAK_AFTER)
        expect_resumed_at_one_version(fleet, {200, "IncompleteRead"})
        silent = [line["silent_ms"] for line in fleet.events("request_cut")]
        if not silent or max(silent) > 1000 * CUT_WITHIN_S:
            raise Failure(f"streams were held for {silent} ms after they broke")


def target_that_refuses_other_weights_still_gets_new_streams():
    fleet, engines = fleet_of_weights([1, 1])
    with fleet:
        break_streams(engines[:1], BREAK_AFTER)
        engines[1].weights, engines[1].states_weights = 2, False
        for _ in range(STREAMS):
            stream(fleet)
        expect(engines[1].other_weights_asked > 0, True, "it refused streams that expect other weights")
        expect([line["why"] for line in fleet.events("request_waiting")], [], "streams that waited for the model")


def stream_taken_up_by_its_caller_anywhere_goes_on_at_its_weights():
    fleet, engines = fleet_of_weights([1, 2, 1, 2], gateways=3)
    with fleet:
        expect_taken_up_anywhere(fleet, engines, {"w1", "w2"})


def stream_of_unknown_weights_is_refused_while_there_are_several():
    fleet, engines = fleet_of_weights([1, 2, 1, 2], gateways=2)
    with fleet:
        expect_unknown_ones_not_mixed(fleet, engines)


def stream_whose_weights_change_inside_goes_on_at_the_newer_ones():
    fleet, engines = fleet_of_weights([1, 1, 2])
    with fleet:
        break_streams(engines[:1], BREAK_AFTER)
        engines[0].new_weights_after = BREAK_AFTER // 2
        ends = []
        for _ in range(STREAMS):
            status, text, _ = stream(fleet)
            if "weight-versions: 2" in text and "piece 5 of w1" in text:
                raise Failure(f"it went back to the earlier weights: {text}")
            ends.append("weight-versions: 2" in text and status == 200)
        expect(any(ends), True, "a stream went on after its weights changed")


def stream_taken_up_after_its_weights_changed_goes_on_at_the_newer_ones():
    fleet, engines = fleet_of_weights([1, 1, 2], gateways=2)
    with fleet:
        break_streams(engines, BREAK_AFTER)
        engines[0].new_weights_after = BREAK_AFTER // 2
        changed = []
        for _ in range(STREAMS):
            status, text, request_id = stream(fleet)
            if "weight-versions: 2" in text:
                changed.append((request_id, "w2"))
        break_streams(engines, None)
        time.sleep(TOLD_S)
        expect([take_up(fleet, each, 1) for each in changed], [True] * len(changed), "it goes on")
        expect(bool(changed), True, "a stream's weights changed")


def stream_does_not_go_on_at_another_version_of_its_adapter():
    fleet, engines = fleet_of_adapters([1, 2, 1, 2])
    with fleet:
        break_streams(engines[:2], BREAK_AFTER)
        expect_resumed_at_one_version(fleet, {200}, "m0/a1")


def stream_does_not_go_on_at_an_adapter_that_has_come_anew_since_its_target_registered():
    fleet, engines = fleet_of_adapters([1, 1])
    with fleet:
        break_streams(engines[:1], BREAK_AFTER)
        engines[1].adapter_versions = {"a1": 2}
        expect_resumed_at_one_version(fleet, {200, "IncompleteRead"}, "m0/a1")


if __name__ == "__main__":
    run_cases([stream_resumed_within_one_answer_does_not_go_on_at_other_weights,
               stream_does_not_go_on_at_a_target_that_has_loaded_newer_weights_since_its_registration,
               stream_of_weights_that_targets_name_only_in_answers_does_not_go_on_at_others,
               stream_of_weights_that_only_registrations_name_does_not_go_on_at_others,
               stream_whose_weights_no_other_target_has_is_cut_at_once, target_that_refuses_other_weights_still_gets_new_streams,
               stream_taken_up_by_its_caller_anywhere_goes_on_at_its_weights, stream_of_unknown_weights_is_refused_while_there_are_several,
               stream_whose_weights_change_inside_goes_on_at_the_newer_ones,
               stream_taken_up_after_its_weights_changed_goes_on_at_the_newer_ones, stream_does_not_go_on_at_another_version_of_its_adapter,
               stream_does_not_go_on_at_an_adapter_that_has_come_anew_since_its_target_registered])
    sys.exit(0)
