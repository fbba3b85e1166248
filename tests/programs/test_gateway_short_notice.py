#!/usr/bin/env python3
"""waxwing-gateway and targets whose registrations announce that they are gone after a time (remaining_ms)."""
import re
import sys
import threading
import time

from gateway_fleet import Fleet, expect, outcome
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
LONG_STREAM = 200             # events, 6 s


def in_background(fleet, path, headers, gateway=0):
    """Sends a request from a thread; the list gets its outcome."""
    got = []
    thread = threading.Thread(target=lambda: got.append(outcome(fleet, path, headers, gateway=gateway)), daemon=True)
    thread.start()
    return thread, got


def announce(target, remaining_ms):
    target.remaining_ms = remaining_ms
    target.register("draining")
    return time.monotonic()


def engines(fleet, **more):
    first, second = (fleet.target(name, "engine", models=["m0"], **more) for name in ("e1", "e2"))
    fleet.start()
    fleet.wait_for_target()
    return first, second


def begin_stream(fleet, targets, events, gateway=0):
    """A stream of so many events, after a short one that shows how many events tokens make. Returns its target first."""
    expect(fleet.ask("/notes/1", fleet.headers("m0"), gateway=gateway).status, 200, "a short stream")
    for target in targets:
        target.runs.clear()
        target.run_started_at.clear()
        target.events = events
    thread, got = in_background(fleet, "/notes/1", fleet.headers("m0", Token_Count=f"100,{events * 4}"), gateway)
    wait_until(lambda: any(target.runs for target in targets), "the stream runs")
    time.sleep(0.3)
    leaving, staying = sorted(targets, key=lambda target: not target.runs)
    return leaving, staying, thread, got


def expect_whole(got, events):
    status, text = got[0]
    expect(status, 200, "status")
    expect([int(number) for number in re.findall(r"^id: (\d+)$", text, re.M)], list(range(1, events + 1)), "events")


def decisions(fleet):
    return [(line["decision"], line["result"]) for line in fleet.events("request_on_notice")]


def stream_that_cannot_end_in_time_goes_on_elsewhere_before_its_target_is_gone():
    with Fleet(ARGUMENTS.bin) as fleet:
        leaving, staying, thread, got = begin_stream(fleet, engines(fleet), LONG_STREAM)
        told = announce(leaving, 3_000)
        wait_until(lambda: staying.runs, "the stream is taken up by the other target")
        closed_at = wait_until(lambda: leaving.streams_left_at, "the first exchange was closed")[0][0]
        if closed_at > told + 3.0:
            raise Failure("the first exchange was closed after its target was gone")
        thread.join(15)
        expect_whole(got, LONG_STREAM)
        if staying.run_started_at[0] > told + 2.0:
            raise Failure(f"moved {staying.run_started_at[0] - told:.2f} s after the notice: not when the end was foreseen")
        if int(staying.runs[0][1]["Last-Event-Id"]) < 1:
            raise Failure("the stream began anew")
        expect(decisions(fleet), [("cannot_end_in_time", "moved")], "decisions")
        expect([line["subject"] for line in fleet.events("target_ending")], [leaving.name], "notices")
        expect(len(leaving.runs) + len(staying.runs), 2, "runs")


def stream_that_ends_in_time_is_not_interrupted():
    with Fleet(ARGUMENTS.bin) as fleet:
        leaving, staying, thread, got = begin_stream(fleet, engines(fleet), 40)
        announce(leaving, 6_000)
        wait_until(lambda: fleet.events("target_ending"), "the notice is read")
        expect(fleet.ask("/notes/1", fleet.headers("m0", Token_Count="100,160")).status, 200, "a later request")
        thread.join(10)
        expect_whole(got, 40)
        expect((len(leaving.runs), len(staying.runs)), (1, 1), "runs: the later request goes to the other target")
        expect(decisions(fleet), [("ends_in_time", "stays")], "decisions")


def stream_goes_on_where_it_is_while_no_other_target_has_room_and_moves_at_the_last_moment():
    with Fleet(ARGUMENTS.bin) as fleet:
        both = engines(fleet)
        leaving, staying, thread, got = begin_stream(fleet, both, LONG_STREAM)
        staying.register("draining")          # no target is left
        wait_until(lambda: len(fleet.events("target_changed")) >= 3, "that is known")
        told = announce(leaving, 2_500)
        wait_until(lambda: decisions(fleet), "the notice is read")
        time.sleep(1.0)
        expect(len(staying.runs), 0, "runs at the other target")
        expect(decisions(fleet), [("no_room_elsewhere", "stays")], "decisions")
        wait_until(lambda: len(decisions(fleet)) == 2, "the last moment")
        if time.monotonic() > told + 2.5:
            raise Failure("moved after the target was gone")
        staying.register("ready")
        thread.join(15)
        expect_whole(got, LONG_STREAM)


def plain_call_of_unknown_length_moves_at_the_last_moment_unless_it_may_run_only_once():
    with Fleet(ARGUMENTS.bin) as fleet:
        leaving, staying = (fleet.target(name, "ledger", slots=6) for name in ("l1", "l2"))
        fleet.start()
        fleet.wait_for_target()
        staying.register("draining")
        wait_until(lambda: len(fleet.events("target_changed")) >= 3, "only one target is used")
        leaving.hold.clear()
        repeated, looked_up = in_background(fleet, "/lookup/1", fleet.headers())
        once, certified = in_background(fleet, "/cert/1", fleet.headers())
        wait_until(lambda: len(leaving.runs) == 2, "both run")
        staying.register("ready")
        told = announce(leaving, 2_000)
        wait_until(lambda: staying.runs, "one is sent to the other target")
        if time.monotonic() > told + 2.0:
            raise Failure("moved after the target was gone")
        repeated.join(5)
        expect(looked_up[0][0], 200, "the call that may be repeated")
        leaving.hold.set()
        once.join(5)
        expect(certified[0][0], 200, "the call that may not")
        expect(len(staying.runs), 1, "runs at the other target")
        expect(sorted(set(decisions(fleet))),
               [("ends_in_time", "stays"), ("last_moment", "moved"), ("last_moment", "stays")], "decisions")


def calls_lost_with_their_target_are_not_blocked_as_its_cause():
    with Fleet(ARGUMENTS.bin) as fleet:
        target = fleet.target("l1", "ledger", slots=6)
        fleet.start()
        fleet.wait_for_target()
        for _ in range(4):
            target.hold.clear()
            before = len(target.runs)
            thread, got = in_background(fleet, "/cert/1", fleet.headers())
            wait_until(lambda: len(target.runs) > before, "it runs")
            notices = len(fleet.events("target_ending"))
            announce(target, 300)
            wait_until(lambda: len(fleet.events("target_ending")) > notices, "the notice is read")
            time.sleep(0.5)
            target.break_all = True
            target.hold.set()
            thread.join(5)
            expect(got[0][0], 502, "the call is lost")
            target.break_all, target.remaining_ms, target.born = False, None, target.born + 1
            target.register()
            wait_until(lambda: fleet.ask("/lookup/2", fleet.headers()).status == 200, "the next start serves")
        expect(fleet.ask("/cert/1", fleet.headers()).status, 200, "an equal call afterwards")


def end_that_makes_no_sense_leaves_the_target_draining_without_one():
    with Fleet(ARGUMENTS.bin) as fleet:
        targets = engines(fleet)
        for value in (-5, "soon", 1e300):
            leaving, staying, thread, got = begin_stream(fleet, targets, 60)
            announce(leaving, value)
            wait_until(lambda: any(str(value)[:4] in line["fields"] for line in fleet.events("target_notice_ignored")), "the value is logged")
            expect(fleet.ask("/notes/1", fleet.headers("m0")).status, 200, "a later request")
            expect(len(leaving.runs), 1, "runs at the leaving target")
            thread.join(10)
            expect_whole(got, 60)
            leaving.remaining_ms = None
            leaving.register("ready")
            time.sleep(0.5)
        expect(fleet.events("target_ending") + fleet.events("request_on_notice"), [], "effects")


def gateways_that_do_not_watch_the_store_closely_learn_of_the_end_from_their_peers():
    with Fleet(ARGUMENTS.bin, gateways=4) as fleet:
        targets = [fleet.target(name, "engine", models=["m0"]) for name in ("e1", "e2")]
        fleet.start()                         # a gateway may know of them from a peer first, and then has no line
        fleet.wait_for_contact()
        fleet.wait_for_orders()
        time.sleep(2.5)                       # two gateways watch closely, the others look every 10 s
        streams = []
        for gateway in range(4):
            expect(fleet.ask("/notes/1", fleet.headers("m0"), gateway=gateway).status, 200, "a short stream")
        for target in targets:
            target.runs.clear()
            target.run_started_at.clear()
            target.events = LONG_STREAM
        for gateway in range(4):
            headers = fleet.headers("m0", Token_Count=f"100,{LONG_STREAM * 4}")
            streams.append((headers["Request-Id"], *in_background(fleet, "/notes/1", headers, gateway)))
        wait_until(lambda: sum(len(target.runs) for target in targets) == 4, "the streams run")
        leaving, staying = targets
        at_leaving = {run[0] for run in leaving.runs}
        told_unix_ms = time.time() * 1000
        told = announce(leaving, 3_000)
        for request_id, thread, got in streams:
            thread.join(15)
            expect_whole(got, LONG_STREAM)
        known_after = {line["process"]: round(line["unix_ms"] - told_unix_ms) for line in fleet.events("target_ending")}
        if len(known_after) < 4 or max(known_after.values()) > 2_000:
            raise Failure(f"known after, in ms: {known_after}")
        late = [at - told for (request_id, _, _), at in zip(staying.runs, staying.run_started_at) if request_id in at_leaving and at > told + 3.0]
        expect(late, [], "streams that moved after their target was gone")
        expect(at_leaving <= {run[0] for run in staying.runs}, True, "all were moved")


def model_that_only_the_leaving_target_holds_is_loaded_elsewhere_before_a_request_waits_for_it():
    with Fleet(ARGUMENTS.bin) as fleet:
        leaving = fleet.target("e1", "engine", models=["m0"])
        staying = fleet.target("e2", "engine", models=["m1"], on_disk=[f"m{number}" for number in range(5)])
        fleet.start()
        fleet.wait_for_target()
        fleet.wait_for_orders()
        for _ in range(3):
            expect(fleet.ask("/notes/1", fleet.headers("m0")).status, 200, "a request for the model")
        announce(leaving, 8_000)
        wait_until(lambda: any(line["subject"] == "e2" and line["model"] == "m0" for line in fleet.events("order_sent")), "it is loaded at the other target", 7)
        expect([line for line in fleet.events("request_waiting")], [], "waits")
        wait_until(lambda: "m0" in staying.models, "it is loaded")
        expect(fleet.ask("/notes/1", fleet.headers("m0")).status, 200, "it serves there")


if __name__ == "__main__":
    run_cases([stream_that_cannot_end_in_time_goes_on_elsewhere_before_its_target_is_gone,
               stream_that_ends_in_time_is_not_interrupted,
               stream_goes_on_where_it_is_while_no_other_target_has_room_and_moves_at_the_last_moment,
               plain_call_of_unknown_length_moves_at_the_last_moment_unless_it_may_run_only_once,
               calls_lost_with_their_target_are_not_blocked_as_its_cause,
               end_that_makes_no_sense_leaves_the_target_draining_without_one,
               gateways_that_do_not_watch_the_store_closely_learn_of_the_end_from_their_peers,
               model_that_only_the_leaving_target_holds_is_loaded_elsewhere_before_a_request_waits_for_it])
    sys.exit(0)
