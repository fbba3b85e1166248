#!/usr/bin/env python3
"""Turns at which gateways send prompts to one engine: prompts of all gateways are paced, and a scheduler (the gateway
that grants the turns) that does not answer delays no request for long."""
import sys
import threading

from gateway_fleet import Fleet, expect
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
PROMPT_TOKENS, TOKENS_PER_SECOND = 100, 500      # prompt tokens of one request; a turn every 0.2 s
TURNS = {"prompt_tokens_per_second": TOKENS_PER_SECOND}


def send_concurrently(fleet, requests):
    """Statuses of concurrent requests, given as (gateway, headers)."""
    answers = []
    callers = [threading.Thread(target=lambda gateway=gateway, headers=headers: answers.append(
        fleet.ask("/dossier/1", headers, gateway=gateway).status)) for gateway, headers in requests]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    return answers


def prompts_of_all_gateways_for_one_engine_are_paced():
    count = 8
    with Fleet(ARGUMENTS.bin, gateways=3, dispatch=TURNS) as fleet:
        engine = fleet.target("t1", "engine", models=["m0"])
        fleet.start()
        fleet.wait_for_target()
        fleet.wait_for_contact()
        requests = [(number % 3, fleet.headers("m0", Prompt_Prefix=f"s{number}:9")) for number in range(count)]
        expect(send_concurrently(fleet, requests), [200] * count, "answers")
        # All but the first wait for turns. A slow machine only increases the spacing.
        least = (count - 1) * PROMPT_TOKENS / TOKENS_PER_SECOND / 2
        span = max(engine.run_started_at) - min(engine.run_started_at)
        if span < least:
            raise Failure(f"{count} prompts came within {span:.3f} s, expected {least:.3f} s or more")
        expect(fleet.events("turn_missed"), [], "turns missed because the scheduler did not answer")


def prompts_are_sent_if_the_scheduler_does_not_answer():
    with Fleet(ARGUMENTS.bin, gateways=2, dispatch=TURNS) as fleet:
        models = [f"m{number}" for number in range(5)]
        for number, model in enumerate(models):
            fleet.target(f"t{number}", "engine", models=[model])
        fleet.start()
        wait_until(lambda: len(fleet.events("target_changed", "g1")) >= len(models), "the targets are known")
        fleet.wait_for_contact()
        fleet.gateways[1].freeze()
        answers = send_concurrently(fleet, [(0, fleet.headers(model)) for model in models])
        expect(answers, [200] * len(models), "answers while a scheduler is silent")
        wait_until(lambda: fleet.events("turn_missed", "g1"), "the missed turn is logged")
        fleet.gateways[1].thaw()


if __name__ == "__main__":
    run_cases([prompts_of_all_gateways_for_one_engine_are_paced, prompts_are_sent_if_the_scheduler_does_not_answer])
    sys.exit(0)
