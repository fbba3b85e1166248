"""A rare model is asked for at every gateway of a larger fleet while the only runner that holds it is cold."""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from fleet import BROKEN, HELD, TROUBLE, Fleet, Target, configuration, main, wait_until  # noqa: E402

GATEWAYS = 31              # edge machines of Quetzal's grown deployment
REQUESTS_EACH = 1
COLD_MS = 3000             # cold_start_s
COLD_PER_S, COLD_OVER, COLD_SLACK = 13.0, 1.5, 5
BOUND = COLD_PER_S * COLD_OVER + COLD_SLACK
KNOWN_S = 1.2              # from the entry that says that the runner is cold to the burst


class ColdRunner(Target):
    """Crashes, with all that it runs, if it gets more requests in a second than the bound."""
    cold_until, crashed = 0.0, False

    def stream(self, call, signed):
        now = time.monotonic()
        recent = sum(1 for at in list(self.run_started_at) if now - at < 1.0)
        if now < self.cold_until and recent > BOUND:
            self.crashed = True
        return super().stream(call, signed)

    def mark(self, call, weights):
        if self.crashed:
            raise ConnectionResetError("the runner has crashed")
        return super().mark(call, weights)


def play(record):
    with Fleet(GATEWAYS) as fleet:
        runner = fleet.target("i-cold", "engine", kind=ColdRunner, models=["m1"], on_disk=["m0", "m2", "m3", "m4"])
        other = fleet.target("i-other", "engine", models=["m0"], on_disk=["m2", "m3", "m4"])
        runner.event_pause_s = 0.1
        fleet.start()
        fleet.wait_for_contact(60)
        fleet.order_giver()
        time.sleep(2.0)
        if TROUBLE:
            runner.cold_ms, runner.cold_until = COLD_MS, time.monotonic() + COLD_MS / 1000
            runner.register()
            record.note(f"the store has acknowledged that i-cold is cold for {COLD_MS} ms")
        time.sleep(KNOWN_S)
        answers, threads = {}, []

        def ask(gateway, request_id):
            record.note(f"{request_id} sent to {gateway.name}")
            answer = fleet.ask(gateway, "/dossier/1", fleet.headers(request_id, 8000, Model="m1", Token_Count="60,40",
                                                                    Prompt_Prefix="aa:40,bb:20"), timeout=12)
            answers[request_id] = answer if isinstance(answer, str) else str(answer.status)
            record.note(f"{request_id} answered by {gateway.name}: {answers[request_id]}")

        for _ in range(REQUESTS_EACH):
            for gateway in fleet.gateways:
                threads.append(threading.Thread(target=ask, args=(gateway, fleet.new_id()), daemon=True))
        for thread in threads:
            thread.start()
        wait_until(lambda: len(answers) == len(threads), "all requests are answered", 20)
        began = list(runner.run_started_at)
        for (request_id, _, _), at in zip(list(runner.runs), began):
            record.note(f"{request_id} reaches i-cold", at)
        cold = [at for at in began if at < runner.cold_until]
        most = max((sum(1 for at in cold if first <= at < first + 1.0) for first in cold), default=0)
        cut = sum(1 for request_id, _, _ in runner.runs if answers.get(request_id) != "200")
        record.note(f"requests that reached i-cold within one second while it was cold: {most}; the bound is {BOUND}")
        record.note(f"{cut} of {len(began)} requests that began to run were not answered whole; the runner crashed: {runner.crashed}")
        print(f"{most} requests in one second at the cold runner (bound {BOUND}); {len(began)} ran, {cut} of them were cut")
        assert not other.runs
        return BROKEN if most > BOUND else HELD


main(play, FOLDER)
