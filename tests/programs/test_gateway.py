#!/usr/bin/env python3
"""waxwing-gateway on stand-ins of the users' platform: requests, refusals, faults, and finding the cause of a failed
request from the logs alone."""
import concurrent.futures
import http.client
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from prometheus_client.parser import text_string_to_metric_families

from gateway_fleet import KEY, Fleet, expect, expect_contains
from gateway_standins import configuration
from harness import STOP_LIMIT_S, Failure, arguments, request, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
COLD_PER_S, COLD_TOLERANCE, COLD_SLACK = 13, 1.5, 5      # bound: COLD_PER_S * COLD_TOLERANCE + COLD_SLACK a second
# Of a datagram to a peer that neither gives orders nor lacks the store: 5 % of a link of 10 Mbit/s, in a fleet of 31
# gateways that each send every 350 ms.
MAX_MEAN_DATAGRAM_BYTES = 10_000_000 / 8 * 0.05 * 0.35 / 30


def requests_reach_their_targets_with_the_right_headers():
    with Fleet(ARGUMENTS.bin) as fleet:
        engine, ledger = fleet.target("t1", "engine", models=["m0"]), fleet.target("l1", "ledger", slots=6)
        fleet.start()
        wait_until(lambda: len(fleet.events("target_changed")) >= 2, "both targets are known")
        headers = fleet.headers("m0", Tenant="forged", Kv_From="forged", Hold="forged")
        answer = fleet.ask("/notes/1?q=2", headers)
        expect(answer.status, 200, "the stream")
        expect(answer.text.count("data:"), 10, "events")
        expect(answer.headers["response-signature"], "sig-" + headers["Request-Id"], "the signature")
        seen = {name.lower(): value for name, value in engine.runs[0][1].items()}
        expect(seen["tenant"], "norte", "the customer's name")
        expect(seen["target-instance"], "t1", "the instance")
        for name in ("x-api-key", "kv-from", "hold"):
            expect(seen.get(name), None, name)
        if not 0 < int(seen["deadline-remaining"]) <= 10000:
            raise Failure(f"deadline passed on as {seen['deadline-remaining']}")
        expect(fleet.ask("/cert/1", fleet.headers(), b"lot").text, "recorded lot", "the registration")
        expect(len(ledger.runs), 1, "runs of the registration")
        logs = fleet.gateways[0].log_text()
        for secret in (KEY, "recorded lot", "piece 3"):
            if secret in logs:
                raise Failure(f"{secret!r} stands in the log")


def requests_that_the_configuration_does_not_allow_are_refused():
    with Fleet(ARGUMENTS.bin) as fleet:
        fleet.target("l1", "ledger", slots=6)
        fleet.start()
        expect(fleet.ask("/elsewhere/", fleet.headers()).status, 404, "unknown path")
        expect(fleet.ask("/cert/1", fleet.headers(Host="other.example")).status, 404, "unknown host")
        expect(fleet.ask("/cert/1", fleet.headers(X_Api_Key="stolen")).status, 401, "unknown key")
        expect(fleet.ask("/notes/1", fleet.headers("m99")).status, 503, "a model that the configuration does not have")
        expect(fleet.ask("/cert/1", fleet.headers(Deadline_Remaining="soon")).status, 400, "malformed deadline")
        expect(fleet.ask("/cert/1", fleet.headers(), b"x" * 70_000).status, 413, "a large body")
        expect(fleet.ask("/cert/1", fleet.headers(X_Long="x" * 20_000)).status, 431, "a large header")
        fleet.store.put("config", "main", configuration(version=5, keys=("k-new",)))
        wait_until(lambda: fleet.ask("/cert/1", fleet.headers()).status == 401, "the key is withdrawn")
        expect(fleet.ask("/cert/1", fleet.headers(X_Api_Key="k-new")).status, 200, "the new key")
        fleet.store.put("config", "main", configuration(version=4))
        fleet.store.put("servers", "odd", {"service": 4})
        wait_until(lambda: fleet.events("target_ignored"), "the odd registration is read")
        expect(fleet.ask("/cert/1", fleet.headers()).status, 401, "an older configuration")


def request_is_abandoned_when_its_caller_disconnects():
    with Fleet(ARGUMENTS.bin) as fleet:
        ledger = fleet.target("l1", "ledger", slots=6)
        fleet.start()
        ledger.hold.clear()
        host, port = fleet.gateways[0].settings["http"].split(":")
        caller = http.client.HTTPConnection(host, int(port))
        caller.request("POST", "/cert/1", b"x", fleet.headers())
        wait_until(lambda: ledger.runs, "the request runs")
        caller.close()
        wait_until(lambda: fleet.events("request_abandoned"), "the gateway notices")
        ledger.hold.set()
        expect(fleet.ask("/cert/2", fleet.headers()).status, 200, "another caller")


def broken_stream_resumes_at_another_target():
    with Fleet(ARGUMENTS.bin) as fleet:
        first = fleet.target("t1", "engine", models=["m0"])
        fleet.start()
        wait_until(lambda: fleet.events("target_changed"), "the target is known")
        first.break_stream_after = 4
        second = fleet.target("t2", "engine", models=["m0"])
        wait_until(lambda: len(fleet.events("target_changed")) >= 2, "the other target is known")
        for _ in range(6):   # until one reaches the target that breaks streams
            answer = fleet.ask("/notes/1", fleet.headers("m0", Prompt_Prefix=f"a{fleet.number}:9"))
            expect(answer.text, "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 11)), "the whole stream, once")
        if not any(headers.get("Last-Event-Id") for _, headers, _ in second.runs):
            raise Failure("no stream was resumed at the other target")


def logs_show_the_cause_of_a_rate_refusal():
    with Fleet(ARGUMENTS.bin) as fleet:
        fleet.target("l1", "ledger", slots=6)
        fleet.start()
        fleet.store.put("config", "main", configuration(version=3, rate=100))
        wait_until(lambda: any(line["subject"] == "3" for line in fleet.events("config_in_force")), "the lower rate")
        wait_until(lambda: fleet.ask("/cert/1", fleet.headers()).status == 429, "the rate is used up")
        headers = fleet.headers()
        refused = fleet.ask("/cert/1", headers)
        expect(refused.status, 429, "beyond the rate")
        if not 0 < float(refused.headers["retry-after"]) < 10:
            raise Failure(f"Retry-After: {refused.headers['retry-after']}")
        expect_contains(fleet.timeline(headers["Request-Id"]), "rate_refused", "status=429 retry_ms=", "cause: Its customer had used up its rate and burst over all gateways.")


def requests_that_wait_hold_no_tokens_of_their_customers_rate():
    """Customers were refused inside their rate while requests of theirs that never ran held its tokens."""
    settings = configuration(version=3)
    settings["tenants"][0].update(rate_per_s=10, burst=1000)   # a start grants 500 tokens, and a plain request costs 200
    with Fleet(ARGUMENTS.bin) as fleet:
        fleet.store.put("config", "main", settings)
        fleet.start()                                          # without a target of the service: requests wait in vain
        with concurrent.futures.ThreadPoolExecutor(6) as callers:
            asked = [callers.submit(fleet.ask, "/lookup/1", fleet.headers()) for _ in range(6)]
            expect({answer.result().status for answer in asked}, {503}, "statuses while no target is there")


def logs_show_the_cause_of_a_cut_stream_at_a_change_of_order_giver():
    with Fleet(ARGUMENTS.bin, gateways=2) as fleet:
        target = fleet.target("t1", "engine", models=["m0"])
        fleet.start()
        taken = fleet.wait_for_orders()
        holder = next(gateway for gateway in fleet.gateways if gateway.name == taken[0]["process"])
        other = next(number for number, gateway in enumerate(fleet.gateways) if gateway is not holder)
        wait_until(lambda: fleet.events("target_changed", fleet.gateways[other].name), "the target is known")
        target.hold.clear()
        target.break_stream_after = 2
        headers, answers = fleet.headers("m0"), []

        def ask():
            try:
                answers.append(fleet.ask("/dossier/1", headers, gateway=other).status)
            except (OSError, http.client.HTTPException) as error:
                answers.append(type(error).__name__)
        caller = threading.Thread(target=ask)
        caller.start()
        wait_until(lambda: target.runs, "the request runs")
        holder.kill()
        wait_until(lambda: len(fleet.events("lease_taken")) == 2, "the other gateway gives orders")
        target.hold.set()
        caller.join()
        expect(answers, ["IncompleteRead"], "a broken stream must not look complete")
        expect_contains(fleet.timeline(headers["Request-Id"]), "lease_taken", "cause: The connection to its target broke while it may have been running.")


def restarted_order_giver_gives_orders_without_waiting():
    with Fleet(ARGUMENTS.bin) as fleet:
        fleet.target("t1", "engine", models=["m0"])
        fleet.start()
        fleet.wait_for_orders()
        wait_until(lambda: "orders_under" in json.dumps(list(fleet.store.objects.values())), "the lease record shows that orders were given")
        fleet.gateways[0].kill()
        fleet.gateways[0].start()
        wait_until(lambda: len(fleet.events("lease_taken")) == 2, "the gateway gives orders again")
        again = fleet.events("lease_taken")[1]
        expect((again["orders_in_ms"], again["fencing"]), (0, 2), "no wait: no other gateway can have given orders")


def logs_show_the_cause_of_a_refusal_after_waiting_for_a_model():
    with Fleet(ARGUMENTS.bin) as fleet:
        fleet.target("t1", "engine", models=["m0"])
        fleet.start()
        fleet.wait_for_orders()
        headers = fleet.headers("m3", Deadline_Remaining="4000")
        refused = fleet.ask("/dossier/1", headers)
        expect(refused.status, 503, "a model that only the weight store has")
        expect_contains(fleet.timeline(headers["Request-Id"]), "operation=load_model model=m3", "status=503 retry_ms=", "cause: Its model was still being loaded when its time ran out, or could not be loaded in time.")
        expect(fleet.ask("/dossier/1", fleet.headers("m0")).status, 200, "a loaded model meanwhile")


def request_is_refused_at_once_if_its_model_cannot_be_loaded_in_time():
    with Fleet(ARGUMENTS.bin) as fleet:
        fleet.target("t1", "engine", models=["m0"])
        fleet.start()
        fleet.wait_for_orders()
        headers = fleet.headers("m3", Deadline_Remaining="1000")
        refused = fleet.ask("/dossier/1", headers)
        expect(refused.status, 503, "a model that takes two seconds to load, needed within one")
        if not 1.9 <= float(refused.headers["retry-after"]) < 2.5:
            raise Failure(f"Retry-After: {refused.headers['retry-after']}")
        if "request_waiting" in fleet.timeline(headers["Request-Id"]):
            raise Failure("the request was queued")


def model_on_disk_and_its_adapter_are_loaded_on_demand():
    with Fleet(ARGUMENTS.bin) as fleet:
        fleet.target("t1", "engine", models=["m0", "m1", "m2"], on_disk=["m3", "m4"])
        fleet.start()
        expect(fleet.ask("/dossier/1", fleet.headers("m4")).status, 200, "a model that is not loaded")
        expect(fleet.ask("/notes/1", fleet.headers("m4/a2")).status, 200, "an adapter of it")


def gateway_without_store_gets_configuration_and_registrations_from_a_peer():
    with Fleet(ARGUMENTS.bin, gateways=2) as fleet:
        fleet.target("l1", "ledger", slots=6)
        fleet.start()
        fleet.wait_for_target()
        fleet.gateways[1].kill()
        settings = dict(fleet.gateways[1].settings, store="127.0.0.1:1")
        fleet.gateways[1].config.write_text(json.dumps(settings))
        fleet.gateways[1].start()
        wait_until(lambda: fleet.ask("/cert/1", fleet.headers(), gateway=1).status == 200,
                   "configuration and registrations have come from the peer")


def status_messages_to_an_idle_peer_are_small():
    with Fleet(ARGUMENTS.bin) as fleet:
        for number in range(20):
            fleet.target(f"engine-{number}", "engine", models=[f"model-{number}-{letter}" for letter in "abc"])
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listener:
            listener.bind(("127.0.0.1", 0))
            listener.settimeout(10)
            fleet.store.put("waxwinglb-routers", "listener", {"address": "127.0.0.1:%d" % listener.getsockname()[1], "boot": 1})
            fleet.start()
            fleet.wait_for_orders()
            reported = set()

            def all_are_reported():
                datagram = listener.recv(65536)
                reported.update(number for number in range(20) if b"model-%d-c" % number in datagram)
                return len(reported) == 20

            wait_until(all_are_reported, "the models of all targets have been reported")
            sizes = [len(listener.recv(65536)) for _ in range(30)]
            if sum(sizes) / len(sizes) > MAX_MEAN_DATAGRAM_BYTES:
                raise Failure(f"mean of {sum(sizes) / len(sizes):.0f} bytes, expected at most {MAX_MEAN_DATAGRAM_BYTES:.0f}")
            if b"model-7-c" not in b"".join(listener.recv(65536) for _ in range(30)):
                raise Failure("the models of targets are not reported again")


def request_that_breaks_its_targets_is_quarantined_at_all_gateways():
    with Fleet(ARGUMENTS.bin, gateways=2) as fleet:
        ledger = fleet.target("l1", "ledger", slots=6)
        ledger.break_on_body = b"poison"
        fleet.start()
        fleet.wait_for_target()
        answers = [fleet.ask("/cert/1", fleet.headers(), b"poison", gateway=0).status for _ in range(3)]
        expect(answers, [502, 502, 502], "it may have run, so the status must not promise otherwise")
        expect(fleet.ask("/cert/1", fleet.headers(), b"poison", gateway=0).status, 503, "the fourth request is not run")
        wait_until(lambda: fleet.ask("/cert/1", fleet.headers(), b"poison", gateway=1).status == 503, "the peer knows of the quarantine")
        runs = len(ledger.runs)
        for gateway in (0, 1):
            expect(fleet.ask("/cert/1", fleet.headers(), b"poison", gateway=gateway).status, 503, "it stays quarantined")
        expect(len(ledger.runs), runs, "runs after all gateways know")
        expect(fleet.ask("/cert/1", fleet.headers(), b"harmless", gateway=1).status, 200, "other requests are served")


def cold_target_gets_at_most_its_rate():
    with Fleet(ARGUMENTS.bin) as fleet:
        configuration_ = configuration()
        configuration_["services"][1]["cold_per_s"] = COLD_PER_S
        fleet.store.put("config", "main", configuration_)
        ledger = fleet.target("l1", "ledger", slots=64)
        ledger.cold_ms = 60_000
        ledger.register()
        fleet.start()
        callers = [threading.Thread(target=lambda: [fleet.ask("/lookup/1", fleet.headers()) for _ in range(10)])
                   for _ in range(8)]
        begun = time.monotonic()
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        lasted = time.monotonic() - begun
        most = COLD_PER_S * (lasted + 1) * COLD_TOLERANCE + COLD_SLACK
        if not 0 < len(ledger.runs) <= most:
            raise Failure(f"{len(ledger.runs)} runs within {lasted:.1f} s, expected 1 to {most:.0f}")


def sigterm_completes_open_requests_and_ends_the_process():
    with Fleet(ARGUMENTS.bin) as fleet:
        ledger = fleet.target("l1", "ledger", slots=6)
        fleet.start()
        ledger.hold.clear()
        answers = []
        caller = threading.Thread(target=lambda: answers.append(fleet.ask("/cert/1", fleet.headers()).status))
        caller.start()
        wait_until(lambda: ledger.runs, "the request runs")
        fleet.gateways[0].terminate()
        wait_until(lambda: fleet.readiness(fleet.gateways[0]) == 503, "the gateway is not ready")
        ledger.hold.set()
        caller.join()
        expect(answers, [200], "the request that ran")
        expect(fleet.gateways[0].process.wait(STOP_LIMIT_S), 0, "exit code")
        for event in ("process_stopping", "process_stopped"):
            expect(len(fleet.events(event)), 1, event)


def invalid_settings_are_reported_by_name():
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "wrong.yaml"
        path.write_text('name: g1\ndata_centre: a\nhttp: nowhere\nlease_term: 5\nsurplus: 1\n')
        binary = str(pathlib.Path(ARGUMENTS.bin) / "waxwing-gateway")
        got = subprocess.run([binary, "--config", str(path), "--check"], capture_output=True, text=True, check=False)
        expect(got.returncode, 3, "exit code")
        for part in ("http", "lease_term", "surplus", "store"):
            if part not in got.stderr:
                raise Failure(f"{part!r} is not named in {got.stderr!r}")


def changed_settings_are_reloaded_and_invalid_ones_refused():
    with Fleet(ARGUMENTS.bin) as fleet:
        fleet.target("l1", "ledger", slots=6)
        fleet.start()
        gateway = fleet.gateways[0]
        gateway.config.write_text(json.dumps(dict(gateway.settings, lease_term="soon")))
        gateway.process.send_signal(signal.SIGHUP)
        wait_until(lambda: fleet.events("settings_refused"), "the invalid settings are logged")
        if "lease_term" not in fleet.events("settings_refused")[0]["why"]:
            raise Failure(fleet.events("settings_refused")[0])
        gateway.config.write_text(json.dumps(dict(gateway.settings, drain="5s", placing={"settle": "2s"})))
        wait_until(lambda: fleet.events("settings_reloaded"), "the change is noticed without a signal")
        expect(fleet.ask("/cert/1", fleet.headers()).status, 200, "service goes on")


def request_log_lines_are_limited_to_a_rate_and_the_rest_is_counted():
    calls, per_second = 40, 5
    with Fleet(ARGUMENTS.bin, log={"request_lines_per_second": per_second}) as fleet:
        fleet.target("l1", "ledger", slots=6)
        fleet.start()
        begun = time.monotonic()
        for _ in range(calls):
            expect(fleet.ask("/cert/1", fleet.headers()).status, 200, "service")
        seconds = int(time.monotonic() - begun) + 1
        fleet.gateways[0].terminate()
        wait_until(lambda: not fleet.gateways[0].running(), "the gateway has ended")
        for event in ("request_sent", "request_answered"):
            written = len(fleet.events(event))
            left_out = [line for line in fleet.events("lines_left_out") if line["subject"] == event]
            expect(written + sum(line["count"] for line in left_out), calls, f"{event}, written and left out")
            if not 0 < written <= per_second * (seconds + 1) or any(line["per_second"] != per_second for line in left_out):
                raise Failure(f"{event}: {written} lines in {seconds} s, left out: {left_out}")
        expect(len(fleet.events("process_stopped")), 1, "other lines are not limited")


def metrics_are_valid_prometheus_text():
    with Fleet(ARGUMENTS.bin, gateways=2) as fleet:
        fleet.target("l1", "ledger", slots=6)
        fleet.start()
        expect(fleet.ask("/cert/1", fleet.headers()).status, 200, "service")
        expect(fleet.ask("/cert/1", fleet.headers(X_Api_Key="k-unknown")).status, 401, "an unknown key")
        page = request(fleet.gateways[0].settings["metrics"], "GET", "/metrics").text
        families = {family.name: family for family in text_string_to_metric_families(page)}
        served = [sample for sample in families["waxwing_requests"].samples if sample.labels["outcome"] == "answered"]
        expect([(sample.labels["service"], sample.labels["data_centre"], sample.value) for sample in served], [("ledger", "a", 1)], "counted")
        for name in ("waxwing_request_wait_seconds", "waxwing_first_byte_seconds"):
            expect(families[name].type, "histogram", name)
        ages = {sample.labels["kind"]: sample.value for sample in families["waxwing_watch_age_seconds"].samples}
        if len(ages) != 4 or not all(0 <= age < 30 for age in ages.values()):
            raise Failure(f"ages of the watches: {ages}")
        for name in ("waxwing_rate_part", "waxwing_gateways_heard", "waxwing_order_lease_held", "waxwing_config_version"):
            expect(families[name].type, "gauge", name)
        unnamed = [name for name, family in families.items() if not family.documentation]
        expect(unnamed, [], "families without a description")


if __name__ == "__main__":
    run_cases([requests_reach_their_targets_with_the_right_headers,
               requests_that_the_configuration_does_not_allow_are_refused,
               request_is_abandoned_when_its_caller_disconnects,
               broken_stream_resumes_at_another_target,
               logs_show_the_cause_of_a_rate_refusal,
               requests_that_wait_hold_no_tokens_of_their_customers_rate,
               logs_show_the_cause_of_a_cut_stream_at_a_change_of_order_giver,
               restarted_order_giver_gives_orders_without_waiting,
               logs_show_the_cause_of_a_refusal_after_waiting_for_a_model,
               request_is_refused_at_once_if_its_model_cannot_be_loaded_in_time,
               model_on_disk_and_its_adapter_are_loaded_on_demand,
               gateway_without_store_gets_configuration_and_registrations_from_a_peer,
               status_messages_to_an_idle_peer_are_small,
               request_that_breaks_its_targets_is_quarantined_at_all_gateways,
               cold_target_gets_at_most_its_rate,
               sigterm_completes_open_requests_and_ends_the_process,
               invalid_settings_are_reported_by_name,
               changed_settings_are_reloaded_and_invalid_ones_refused,
               request_log_lines_are_limited_to_a_rate_and_the_rest_is_counted,
               metrics_are_valid_prometheus_text])
    sys.exit(0)
