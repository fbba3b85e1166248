"""A request that crashes each runner comes again now and then, while the gateways are restarted in turn twice."""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from fleet import BROKEN, CONTACT_S, GRACE_S, HELD, TROUBLE, Fleet, Target, main, wait_until  # noqa: E402

GATEWAYS, RUNNERS = 3, 4
POISON = b"poison"
PAUSE_S = 3.5              # between two attempts of the caller
LONG_PAUSE_S = 6.0         # before a rolling restart
DOWN_S = 1.0               # until a crashed runner is back
ALLOWED_RETRIES = 3        # later than contact_ms after the third crash


class Runner(Target):
    """A plain runner that crashes, with all that it runs, when it begins to run the poisoned request."""
    crashes, down_until = 0, 0.0
    work_s = 0.2

    def serve(self, call):
        if time.monotonic() < self.down_until:
            call.close_connection = True
            return call.connection.close()
        return super().serve(call)

    def plain_answer(self, call, data, fields):
        if data.endswith(POISON):
            self.crash_now()
        before = self.crashes
        time.sleep(0 if data.endswith(POISON) else self.work_s)
        if data.endswith(POISON) or before != self.crashes:
            call.close_connection = True
            return call.connection.close()
        return super().plain_answer(call, data, fields)

    def crash_now(self):
        self.crashes += 1
        self.down_until = time.monotonic() + DOWN_S
        threading.Timer(DOWN_S, self.come_back).start()

    def come_back(self):
        self.store.remove("servers", self.name)
        self.name, self.born = self.name + "+", int(time.time() * 1000)
        self.register()


def play(record):
    with Fleet(GATEWAYS) as fleet:
        runners = [fleet.target(f"i-{number}", "ledger", kind=Runner) for number in range(RUNNERS)]
        fleet.target("i-engine", "engine", models=["m0"], on_disk=["m1", "m2", "m3", "m4"])
        fleet.start()
        fleet.wait_for_contact()
        ready_since = {gateway.name: time.monotonic() for gateway in fleet.gateways}
        reached, lost, number = [], [0, 0], [0]

        def bystander(gateway):
            def send():
                if not gateway.running() or time.monotonic() - ready_since[gateway.name] < 0.5:
                    return
                request_id = fleet.new_id()
                answer = fleet.ask(gateway, f"/cert/{request_id}", fleet.headers(request_id, 1500), body=b"own", timeout=3)
                lost[0] += 1
                lost[1] += 0 if getattr(answer, "status", 0) == 200 else 1
                if getattr(answer, "status", 0) != 200:
                    record.note(f"bystander {request_id} at {gateway.name}: {answer if isinstance(answer, str) else answer.status}")
            return send

        def attempt():
            gateway = fleet.gateways[number[0] % GATEWAYS]
            number[0] += 1
            request_id, before = fleet.new_id(), sum(runner.crashes for runner in runners)
            sent_at = time.monotonic()
            record.note(f"poisoned request {request_id} sent to {gateway.name}")
            answer = fleet.ask(gateway, "/cert/poisoned", fleet.headers(request_id, 1500), body=POISON, timeout=3)
            crashed = sum(runner.crashes for runner in runners) - before
            record.note(f"{request_id} answered: {answer if isinstance(answer, str) else answer.status}; runners crashed: {crashed}")
            for _ in range(crashed):
                reached.append((sent_at, sent_at - ready_since[gateway.name] > CONTACT_S))

        def attempts(count):
            for _ in range(count):
                attempt()
                time.sleep(PAUSE_S)

        def restart_in_turn():
            if not TROUBLE:
                return time.sleep(LONG_PAUSE_S + CONTACT_S)
            time.sleep(LONG_PAUSE_S)
            for gateway in fleet.gateways:
                record.note(f"SIGTERM to {gateway.name}")
                code = gateway.stop(GRACE_S)
                gateway.start()
                wait_until(lambda gateway=gateway: fleet.readiness(gateway) == 200, f"{gateway.name} is ready", 20)
                ready_since[gateway.name] = time.monotonic()
                record.note(f"{gateway.name} ended with {code} and is ready again")
            fleet.wait_for_contact()
            return time.sleep(CONTACT_S + 0.5)

        for gateway in fleet.gateways:
            fleet.run_regularly(bystander(gateway), 0.15)
        time.sleep(CONTACT_S + 0.5)
        attempts(2)
        restart_in_turn()
        attempts(2)
        restart_in_turn()
        attempts(5)
        third = reached[2][0] if len(reached) > 2 else float("inf")
        late = [sent_at for sent_at, in_touch in reached[3:] if in_touch and sent_at > third + CONTACT_S]
        record.note(f"crashes: {len(reached)}; sent later than {CONTACT_S} s after the third, by machines in touch: {len(late)}")
        record.note(f"bystanders: {lost[0]}, of them not answered with success: {lost[1]}")
        print(f"{len(reached)} crashes; {len(late)} retries later than {CONTACT_S:.0f} s after the third ({ALLOWED_RETRIES} are allowed); "
              f"{lost[1]} of {lost[0]} other requests lost")
        return BROKEN if len(late) > ALLOWED_RETRIES else HELD


main(play, FOLDER)
