#!/usr/bin/env python3
"""waxwing-gateway and streams that break off, with what the next target answers: an error, no stream, or another one."""
import http.client
import sys

from gateway_fleet import Fleet, expect
from gateway_standins import Script
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
RESUMABLE, SINGLE = "/notes/", "/dossier/"       # routes: two targets at most and resumable; one target
ERROR = b"upstream failure\n\n"


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def events(first, last):
    return b"".join(event(number) for number in range(first, last + 1))


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"


def head(status="200 OK", *more, signature="sig-1", version="1.1"):
    signed = ["Response-Signature: " + signature] if signature else []
    fields = ["Request-Id: REQUEST_ID", *signed, *more]
    return "".join(f"{line}\r\n" for line in [f"HTTP/{version} {status}", *fields, ""]).encode()


def chunked(body, status="200 OK", *more, ended=True, signature="sig-1"):
    return head(status, "Transfer-Encoding: chunked", *more, signature=signature) + chunk(body) + (LAST_CHUNK if ended else b"")


def measured(body, status="200 OK", *more, length=None, signature="sig-1", version="1.1"):
    field = f"Content-Length: {len(body) if length is None else length}"
    return head(status, field, *more, signature=signature, version=version) + body


def open_ended(body, status="200 OK", *more, signature="sig-1", version="1.1"):
    return head(status, "Connection: close", *more, signature=signature, version=version) + body


STREAM = "Content-Type: text/event-stream"
FIRST_FOUR = (chunked(events(1, 4), "200 OK", STREAM, ended=False), "closed")
NOTHING = (chunked(b"", "200 OK", STREAM, ended=False), "closed")
REST = events(5, 10)
HEAD_AS_TEXT = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 16\r\n\r\n" + ERROR


class Answer:
    """An answer as its client reads it. `whole` is False if it broke off."""

    def __init__(self, connection):
        answer = connection.getresponse()
        self.status, self.signature = answer.status, answer.getheader("Response-Signature")
        if answer.status in (204, 304) and answer.getheader("Transfer-Encoding"):
            raise Failure(f"{answer.status} has no body, and here one in chunks")
        try:
            self.body, self.whole = answer.read(), True
        except http.client.IncompleteRead as error:
            self.body, self.whole = error.partial, False

    def seen(self):
        return self.status, self.body.decode(errors="replace"), self.whole


class Clients:
    """Sends requests whose runs are scripted. Each has its own path, body and prompt."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.targets = [fleet.target(f"t{number}", "engine", models=["m0"]) for number in range(3)]
        fleet.target("l1", "ledger", slots=6)
        fleet.start()
        wait_until(lambda: len(fleet.events("target_changed")) >= 4, "the targets are known")

    def ask(self, route, *answers, **headers):
        """Returns the answer. The connection must then be in order, which a second request shows."""
        script = Script(answers)
        for target in self.targets:
            target.script = script
        sent = self.fleet.headers("m0", Prompt_Prefix=f"a{self.fleet.number}:9", Deadline_Remaining="4000", **headers)
        host, port = self.fleet.gateways[0].settings["http"].split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        try:
            connection.request("POST", f"{route}{self.fleet.number}", str(self.fleet.number).encode(), sent)
            answer = Answer(connection)
            if answer.whole:
                self.check_next_answer(connection)
            return answer
        finally:
            connection.close()

    def check_next_answer(self, connection):
        connection.request("POST", "/lookup/1", b"next", self.fleet.headers())
        expect(Answer(connection).seen(), (200, "recorded next", True), "the next answer on the connection")


def clients():
    return Fleet(ARGUMENTS.bin, retries={"slack": 1000})


def check(cases, expected, fleet, callers):
    """Each case: name, route and answers. Reports all that fail."""
    failed = []
    for name, route, *answers in cases:
        try:
            expect(callers.ask(route, *answers).seen(), expected, name)
        except (Failure, OSError, http.client.HTTPException) as error:
            failed.append(f"{name}: {error!r}")
    if failed:
        raise Failure("\n    ".join(["", *failed]))


FAILURES = {"500 with length": (measured(ERROR, "500 Internal Server Error"), "kept"),
            "500 in chunks": (chunked(ERROR, "500 Internal Server Error"), "kept"),
            "500 until the connection's end": (open_ended(ERROR, "500 Internal Server Error"), "closed"),
            "500 of HTTP/1.0": (open_ended(ERROR, "500 Internal Server Error", version="1.0"), "closed"),
            "500 without signature": (measured(ERROR, "500 Internal Server Error", signature=None), "kept"),
            "500 broken off in its length": (measured(ERROR, "500 Internal Server Error", length=99), "closed"),
            "500 broken off in its chunks": (chunked(ERROR, "500 Internal Server Error", ended=False), "reset"),
            "500 broken off in its head": (b"HTTP/1.1 500 Internal Server Error\r\nContent-Le", "closed"),
            "500 in the form of events": (chunked(REST, "500 Internal Server Error", STREAM), "kept"),
            "502": (measured(ERROR, "502 Bad Gateway"), "kept"),
            "503": (measured(ERROR, "503 Service Unavailable"), "kept"),
            "503 not run": (measured(ERROR, "503 Service Unavailable", "Not-Executed: 1"), "kept"),
            "421": (measured(ERROR, "421 Misdirected Request"), "kept"),
            "429": (measured(ERROR, "429 Too Many Requests"), "kept"),
            "429 not run": (measured(ERROR, "429 Too Many Requests", "Not-Executed: 1"), "kept"),
            "404": (measured(ERROR, "404 Not Found"), "kept"),
            "400 not run": (measured(ERROR, "400 Bad Request", "Not-Executed: 1"), "kept"),
            "304": (head("304 Not Modified"), "kept"),
            "206": (chunked(REST, "206 Partial Content", STREAM), "kept"),
            "200 without signature": (chunked(REST, "200 OK", STREAM, signature=None), "kept"),
            "200 with a coding": (chunked(REST, "200 OK", STREAM, "Content-Encoding: gzip"), "kept"),
            "no answer": (b"", "closed"),
            "no HTTP": (ERROR, "closed")}
NO_EVENTS = {"JSON": (measured(b'{"error":"failure"}', "200 OK", "Content-Type: application/json"), "kept"),
             "JSON and an empty line": (measured(b'{"error":"failure"}\n\n', "200 OK", "Content-Type: application/json"), "kept"),
             "text with length": (measured(ERROR, "200 OK", "Content-Type: text/plain"), "kept"),
             "text in chunks": (chunked(ERROR, "200 OK", STREAM), "kept"),
             "text until the connection's end": (open_ended(ERROR, "200 OK", STREAM), "closed"),
             "a head in a chunk": (chunked(HEAD_AS_TEXT, "200 OK", STREAM), "kept"),
             "a head in place of a chunk": (head("200 OK", STREAM, "Transfer-Encoding: chunked") + HEAD_AS_TEXT, "kept"),
             "a head until the connection's end": (open_ended(HEAD_AS_TEXT, "200 OK", STREAM), "closed"),
             "a head inside an event": (open_ended(b"id: 5\ndata: pie" + HEAD_AS_TEXT, "200 OK", STREAM), "closed"),
             "an event without id": (chunked(b"event: error\ndata: failure\n\n", "200 OK", STREAM), "kept")}
EMPTY = {"204": (head("204 No Content"), "kept"),
         "205": (measured(b"", "205 Reset Content"), "kept"),
         "empty with length": (measured(b"", "200 OK", STREAM), "kept"),
         "empty in chunks": (chunked(b"", "200 OK", STREAM), "kept"),
         "empty until the connection's end": (open_ended(b"", "200 OK", STREAM), "closed")}
OUT_OF_ORDER = {"from the first event on": (chunked(events(1, 10), "200 OK", STREAM), "kept"),
                "with the last event again": (chunked(events(4, 10), "200 OK", STREAM), "kept"),
                "without the next event": (chunked(events(6, 10), "200 OK", STREAM), "kept")}
FOUR_THEN_CUT = (200, events(1, 4).decode(), False)


def stream_that_broke_off_is_cut_when_the_next_target_answers_with_an_error():
    with clients() as fleet:
        callers = Clients(fleet)
        check([(name, RESUMABLE, FIRST_FOUR, answer) for name, answer in FAILURES.items()], FOUR_THEN_CUT, fleet, callers)


def stream_that_broke_off_is_cut_when_the_next_target_sends_text_without_events():
    with clients() as fleet:
        callers = Clients(fleet)
        check([(name, RESUMABLE, FIRST_FOUR, answer) for name, answer in NO_EVENTS.items()], FOUR_THEN_CUT, fleet, callers)


def stream_that_broke_off_is_cut_not_complete_when_the_next_answer_is_empty():
    with clients() as fleet:
        callers = Clients(fleet)
        check([(name, RESUMABLE, FIRST_FOUR, answer) for name, answer in EMPTY.items()], FOUR_THEN_CUT, fleet, callers)


def stream_that_broke_off_is_cut_when_the_next_answer_repeats_or_skips_events():
    with clients() as fleet:
        callers = Clients(fleet)
        check([(name, RESUMABLE, FIRST_FOUR, answer) for name, answer in OUT_OF_ORDER.items()], FOUR_THEN_CUT, fleet, callers)


def stream_that_broke_off_is_whole_when_the_next_answer_has_the_rest():
    rests = {"in chunks": (chunked(REST, "200 OK", STREAM, signature="sig-2"), "kept"),
             "with length": (measured(REST, "200 OK", STREAM, signature="sig-2"), "kept"),
             "until the connection's end": (open_ended(REST, "200 OK", STREAM), "closed"),
             "of HTTP/1.0": (open_ended(REST, "200 OK", STREAM, version="1.0"), "closed"),
             "after 100 Continue with an id": (head("100 Continue", signature=None) + chunked(REST, "200 OK", STREAM), "kept"),
             "after 103": ([head("103 Early Hints", "Link: </a>", signature=None), chunked(REST, "200 OK", STREAM)], "kept"),
             "after 100 Continue": (b"HTTP/1.1 100 Continue\r\n\r\n" + chunked(REST, "200 OK", STREAM), "kept"),
             "with comments": (chunked(b": ping\n\n" + REST + b": end\n\n", "200 OK", STREAM), "kept"),
             "with the version of its weights": (chunked(b"weight-versions: 2\n" + REST, "200 OK", STREAM), "kept")}
    firsts = {"after an event": FIRST_FOUR,
              "inside an event": (chunked(events(1, 4) + b"id: 5\nda", "200 OK", STREAM, ended=False), "closed"),
              "by a reset": (chunked(events(1, 4), "200 OK", STREAM, ended=False), "reset"),
              "with a head in place of a chunk": ([chunked(events(1, 4), "200 OK", STREAM, ended=False), HEAD_AS_TEXT], "kept"),
              "with a head in a chunk": (chunked(events(1, 4) + HEAD_AS_TEXT, "200 OK", STREAM), "kept"),
              "in its length": (measured(events(1, 4), "200 OK", STREAM, length=999), "closed")}
    with clients() as fleet:
        callers = Clients(fleet)
        failed = []
        for first_name, first in firsts.items():
            for name, rest in rests.items():
                answer = callers.ask(RESUMABLE, first, rest)
                added = [part for part in (b": ping\n\n", b": end\n\n", b"weight-versions: 2\n") if part in answer.body]
                body = answer.body
                for part in added:
                    body = body.replace(part, b"")
                if (answer.status, body, answer.whole, answer.signature) != (200, events(1, 10), True, "sig-1"):
                    failed.append(f"{first_name}, {name}: {answer.seen()}, {answer.signature}")
        expect(failed, [], "streams that are not whole, once, and under the head of their first target")


def stream_of_one_target_is_cut_where_it_broke_off():
    firsts = {"after an event": FIRST_FOUR,
              "inside an event": (chunked(events(1, 4) + b"id: 5\nda", "200 OK", STREAM, ended=False), "closed"),
              "by a reset": (chunked(events(1, 4), "200 OK", STREAM, ended=False), "reset"),
              "with a head in place of a chunk": ([chunked(events(1, 4), "200 OK", STREAM, ended=False), HEAD_AS_TEXT], "kept"),
              "with a head in a chunk": (chunked(events(1, 4) + HEAD_AS_TEXT, "200 OK", STREAM), "kept"),
              "with a head at the connection's end": (open_ended(events(1, 4) + HEAD_AS_TEXT, "200 OK", STREAM), "closed"),
              "with text in a chunk": (chunked(events(1, 4) + ERROR, "200 OK", STREAM), "kept"),
              "with an event twice": (chunked(events(1, 4) + event(4), "200 OK", STREAM), "kept"),
              "in its length": (measured(events(1, 4), "200 OK", STREAM, length=999), "closed")}
    with clients() as fleet:
        callers = Clients(fleet)
        check([(name, SINGLE, first) for name, first in firsts.items()], FOUR_THEN_CUT, fleet, callers)


def stream_that_broke_off_after_its_last_event_is_not_complete():
    last = (chunked(events(1, 10), "200 OK", STREAM, ended=False), "closed")
    with clients() as fleet:
        callers = Clients(fleet)
        check([("one target", SINGLE, last), ("an error", RESUMABLE, last, FAILURES["500 with length"])],
              (200, events(1, 10).decode(), False), fleet, callers)


def stream_without_an_event_yet_is_the_next_targets_answer_under_its_own_head():
    nexts = {"stream": (chunked(events(1, 10), "200 OK", STREAM, signature="sig-2"), "kept", events(1, 10)),
             "empty stream": (chunked(b"", "200 OK", STREAM, signature="sig-2"), "kept", b""),
             "empty stream with length": (measured(b"", "200 OK", STREAM, signature="sig-2"), "kept", b""),
             "500": (measured(ERROR, "500 Internal Server Error", signature="sig-2"), "kept", ERROR),
             "404": (measured(ERROR, "404 Not Found", signature="sig-2"), "kept", ERROR),
             "400": (chunked(ERROR, "400 Bad Request", signature="sig-2"), "kept", ERROR),
             "204": (head("204 No Content", signature="sig-2"), "kept", b""),
             "304": (head("304 Not Modified", signature="sig-2"), "kept", b"")}
    with clients() as fleet:
        callers = Clients(fleet)
        failed = []
        for name, (data, after, body) in nexts.items():
            try:
                answer = callers.ask(RESUMABLE, NOTHING, (data, after))
            except (Failure, OSError, http.client.HTTPException) as error:
                failed.append(f"{name}: {error!r}")
                continue
            status = int(data.split(b" ")[1])
            if (answer.status, answer.body, answer.whole, answer.signature) != (status, body, True, "sig-2"):
                failed.append(f"{name}: {answer.seen()}, {answer.signature}")
        expect(failed, [], "answers that are not those of the second target")


def stream_route_answered_without_a_body_leaves_the_connection_in_order():
    answers = {"204": head("204 No Content"), "205": measured(b"", "205 Reset Content"), "200": chunked(b"", "200 OK", STREAM)}
    with clients() as fleet:
        callers = Clients(fleet)
        for status, answer in answers.items():
            expect(callers.ask(SINGLE, (answer, "kept")).seen(), (int(status), "", True), status)


def stream_without_an_event_yet_is_answered_with_a_failure_that_promises_nothing():
    with clients() as fleet:
        callers = Clients(fleet)
        cases = [(name, RESUMABLE, NOTHING, FAILURES[name]) for name in
                 ("500 broken off in its length", "500 broken off in its chunks", "500 broken off in its head", "503 not run",
                  "429 not run", "421", "200 without signature", "200 with a coding", "no answer", "no HTTP")]
        cases += [(f"one target: {name}", SINGLE, first) for name, first in
                  (("no event", NOTHING), ("no answer", (b"", "closed")), ("inside an event", (chunked(b"id: 1\nda", ended=False), "closed")))]
        check(cases, (502, "", True), fleet, callers)


def stream_that_its_client_takes_up_brings_no_event_twice():
    with clients() as fleet:
        callers = Clients(fleet)
        again = (chunked(events(1, 10), "200 OK", STREAM), "kept")
        rest = (chunked(REST, "200 OK", STREAM), "kept")
        expect(callers.ask(RESUMABLE, again, rest, Last_Event_Id="4").seen(), (200, REST.decode(), True), "the rest, from the next target")
        expect(callers.ask(RESUMABLE, again, Last_Event_Id="4").seen(), (502, "", True), "no target has the rest")


def resumed_stream_asks_for_what_follows_the_last_event_passed_on():
    asked = []
    with clients() as fleet:
        callers = Clients(fleet)
        for broken_after in range(1, 10):
            first = (chunked(events(1, broken_after) + b"id: %d\nda" % (broken_after + 1), "200 OK", STREAM, ended=False), "closed")
            rest = (chunked(events(broken_after + 1, 10), "200 OK", STREAM), "kept")
            expect(callers.ask(RESUMABLE, first, rest).seen(), (200, events(1, 10).decode(), True), f"broken after {broken_after}")
        for target in callers.targets:
            asked += [int(headers["Last-Event-Id"]) for _, headers, _ in target.runs if headers.get("Last-Event-Id")]
    expect(sorted(asked), list(range(1, 10)), "Last-Event-Id of the second runs")


if __name__ == "__main__":
    run_cases([stream_that_broke_off_is_cut_when_the_next_target_answers_with_an_error,
               stream_that_broke_off_is_cut_when_the_next_target_sends_text_without_events,
               stream_that_broke_off_is_cut_not_complete_when_the_next_answer_is_empty,
               stream_that_broke_off_is_cut_when_the_next_answer_repeats_or_skips_events,
               stream_that_broke_off_is_whole_when_the_next_answer_has_the_rest,
               stream_of_one_target_is_cut_where_it_broke_off,
               stream_that_broke_off_after_its_last_event_is_not_complete,
               stream_without_an_event_yet_is_the_next_targets_answer_under_its_own_head,
               stream_route_answered_without_a_body_leaves_the_connection_in_order,
               stream_without_an_event_yet_is_answered_with_a_failure_that_promises_nothing,
               stream_that_its_client_takes_up_brings_no_event_twice,
               resumed_stream_asks_for_what_follows_the_last_event_passed_on])
    sys.exit(0)
