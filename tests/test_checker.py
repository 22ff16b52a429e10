"""The checker detects violations of each rule: in runs of a faulty policy or proxy, and in hand-written event logs."""

from __future__ import annotations

from typing import Any

import pytest

from stoatgw.backends.backend import Backend
from stoatgw.clients.session_state import EndReason
from stoatgw.controller.attempts import AttemptTracker
from stoatgw.controller.messages import RequestState
from stoatgw.controller.policy import DecisionPolicy, PolicyFactory
from stoatgw.controller.requests import RequestTable
from stoatgw.decisions import interface as api
from stoatgw.emulator.checker.checker import Checker
from stoatgw.emulator.checker.rules import CheckerLimits, Rule
from stoatgw.emulator.virtual.session_model import Session
from stoatgw.emulator.world.events import Event, EventKind
from stoatgw.emulator.world.world_state import WorldState
from tests.test_emulator import load_named_scenario, run_scenario


def rules_broken(name: str, *changes: str, policy: Any = None, seed: int = 1) -> set[Rule]:
    scenario = load_named_scenario(name, *changes)
    _, checker, _ = run_scenario(scenario, seed, policy) if policy else run_scenario(scenario, seed)
    return {each.rule for each in checker.violations}


class FixedServerPolicy:
    """Sends every request to the server that `pick` chooses from the endpoint list, regardless of its state."""

    def __init__(self, pick: Any) -> None:
        self._pick = pick
        self._listed: dict[str, api.Endpoint] = {}

    def start(self, now_us: int) -> list[api.Action]:
        return []

    def handle(self, event: api.Event, now_us: int) -> list[api.Action]:
        if isinstance(event, api.EndpointUpdate):
            self._listed |= {entry.name: entry for entry in event.endpoints}
        if isinstance(event, api.Request):
            return [api.Send(event.request_id, self._pick(self._listed), 0)]
        if isinstance(event, api.AttemptOutcome) and not event.is_final:
            return [api.Fail(event.request_id)]
        return []


def always_send_to(pick: Any) -> Any:
    def policy(_: WorldState) -> PolicyFactory:
        def create_policy(settings: api.Settings, seed: int) -> DecisionPolicy:
            return FixedServerPolicy(pick)

        return create_policy

    return policy


def test_a_proxy_that_forgets_an_answer_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Session, "reject", lambda self, advice_us: self._finish(EndReason.ANSWERED))
    monkeypatch.setattr(Session, "fail", lambda self: self._finish(EndReason.ANSWERED))
    monkeypatch.setattr("stoatgw.emulator.virtual.driver.VirtualDriver.time_out", lambda self, session: None)
    assert Rule.SINGLE_ANSWER in rules_broken("shrink")


def test_a_proxy_that_answers_twice_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    original_answer = Session._answer

    def answer_twice(self: Session, kind: str, advice_us: int) -> None:
        original_answer(self, kind, advice_us)
        original_answer(self, kind, advice_us)

    monkeypatch.setattr(Session, "_answer", answer_twice)
    assert Rule.SINGLE_ANSWER in rules_broken("calm")


def test_a_proxy_that_answers_late_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    original_reject = Session.reject

    def reject_late(self: Session, advice_us: int) -> None:
        at_us = self._scheduler.now_us() + 2_500_000
        self._scheduler.call_at(at_us, lambda: original_reject(self, advice_us))

    monkeypatch.setattr(Session, "reject", reject_late)
    monkeypatch.setattr("stoatgw.emulator.virtual.driver.VirtualDriver.time_out", lambda self, session: None)
    assert Rule.ANSWER_IN_TIME in rules_broken("shrink")


def test_two_attempts_at_the_same_time_are_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def send_again(self: AttemptTracker, action: api.Send) -> None:
        request = self._requests.get(action.request_id)
        assert request is not None
        for attempt in (request.attempts, request.attempts + 1):
            request.begin_attempt(action.server, self._decisions.now_us)
            request.handler.start_attempt(attempt, action.server, request.deadline_us)

    original_start_attempt = Session.start_attempt

    def start_second_attempt(self: Session, attempt: int, server: str, cut_at_us: int) -> None:
        first_server = self.server
        original_start_attempt(self, attempt, server, cut_at_us)
        if first_server is not None:  # the first attempt continues beside the second
            self._world.log(EventKind.ATTEMPT_SENT, self.proxy.name, self.name, first_server.name, attempt - 1)

    monkeypatch.setattr(AttemptTracker, "perform_send", send_again)
    monkeypatch.setattr(Session, "start_attempt", start_second_attempt)
    assert Rule.SINGLE_ATTEMPT in rules_broken("calm")


def test_sending_to_a_draining_server_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Backend, "accepts_new_sessions", lambda self, now_us, grace_us: True)
    draining = always_send_to(
        lambda listed: next(
            (name for name, entry in listed.items() if entry.lifecycle is api.Lifecycle.DRAINING), "s-0000"
        )
    )
    # Draining takes longer than the grace period, so the server still responds after it.
    assert Rule.NO_SEND_TO_DRAINING in rules_broken("shrink", "fleet.drain_s=[20, 30]", policy=draining)


def test_overloading_a_server_in_slow_start_is_caught() -> None:
    newest = always_send_to(lambda listed: max(listed.values(), key=lambda entry: entry.started_us).name)
    assert Rule.SLOW_START_BUDGET in rules_broken("grow", policy=newest)


def test_a_proxy_that_ends_without_move_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Session, "migrate", lambda self: None)
    assert Rule.NO_BROKEN_SESSION in rules_broken("restarts")


def test_a_proxy_that_leaks_requests_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def keep_request(self: RequestTable, request: RequestState) -> None:
        pass

    monkeypatch.setattr(RequestTable, "remove_if_complete", keep_request)
    assert Rule.NO_LEAKED_REQUEST in rules_broken("calm")


def test_a_policy_that_raises_is_caught() -> None:
    def fail(listed: Any) -> str:
        raise RuntimeError("broken on purpose")

    found = rules_broken("calm", policy=always_send_to(fail))
    assert Rule.NO_PROGRAM_FAULT in found
    assert Rule.SINGLE_ANSWER not in found  # the controller still answers the requests


# Hand-written event logs.

LIMITS = CheckerLimits(drain_grace_us=3_000_000, slow_start_multiple=4.0, slow_start_window_us=1_000_000)


def check(*rows: tuple[Any, ...], end_us: int = 10_000_000) -> list[Rule]:
    checker = Checker(LIMITS)
    for row in rows:
        checker.feed(Event(*row))
    return [each.rule for each in checker.finish(end_us)]


RECEIVED = (0, EventKind.REQUEST_RECEIVED, "n0", "r", "", 2_000_000)
BUSY = (5, EventKind.REQUEST_ANSWERED, "n0", "r", "", 0, "busy")


@pytest.mark.parametrize(
    ("rows", "rules"),
    [
        ([RECEIVED, BUSY], []),
        ([RECEIVED], [Rule.SINGLE_ANSWER]),
        ([RECEIVED, (9, EventKind.CLIENT_DISCONNECTED, "n0", "r")], []),
        ([RECEIVED, BUSY, (6, EventKind.REQUEST_ANSWERED, "n0", "r", "", 0, "err")], [Rule.SINGLE_ANSWER]),
        ([RECEIVED, (2_050_001, *BUSY[1:])], [Rule.ANSWER_IN_TIME]),
        ([RECEIVED, (2_050_000, *BUSY[1:])], []),
        ([RECEIVED, (9, EventKind.PROXY_STATE_CHANGED, "n0", "", "", 0, "killed")], []),
        ([RECEIVED, (9, EventKind.PROXY_STATE_CHANGED, "n0", "", "", 0, "stopped")], [Rule.SINGLE_ANSWER]),
        (
            [
                RECEIVED,
                (1, EventKind.ATTEMPT_SENT, "n0", "r", "a", 0),
                (2, EventKind.ATTEMPT_SENT, "n0", "r", "b", 1),
                (3, *BUSY[1:]),
            ],
            [Rule.SINGLE_ATTEMPT],
        ),
        (
            [
                RECEIVED,
                (1, EventKind.ATTEMPT_SENT, "n0", "r", "a", 0),
                (2, EventKind.ATTEMPT_ENDED, "n0", "r", "a", 0, "shed"),
                (2, EventKind.ATTEMPT_SENT, "n0", "r", "b", 1),
                (3, *BUSY[1:]),
            ],
            [],
        ),
        (
            [
                (0, EventKind.ENDPOINT_NOTIFIED, "n0", "", "a", 0, "DRAINING"),
                (1, EventKind.ENDPOINT_NOTIFIED, "n0", "", "a", 0, "DELETED"),
                (3_000_001, EventKind.ATTEMPT_SENT, "n0", "r", "a", 0),
            ],
            [Rule.NO_SEND_TO_DRAINING],
        ),
        (
            [
                (0, EventKind.ENDPOINT_NOTIFIED, "n0", "", "a", 0, "DRAINING"),
                (3_000_000, EventKind.ATTEMPT_SENT, "n0", "r", "a", 0),
            ],
            [],
        ),
        (
            [
                (0, EventKind.ENDPOINT_NOTIFIED, "n0", "", "a", 0, "DRAINING"),
                (1, EventKind.ENDPOINT_NOTIFIED, "n0", "", "a", 0, "SERVING"),
                (9_000_000, EventKind.ATTEMPT_SENT, "n0", "r", "a", 0),
            ],
            [],
        ),
        (
            [(0, EventKind.SESSION_ESTABLISHED, "n0", "r", "a"), (1, EventKind.SESSION_BROKEN, "n0", "r")],
            [Rule.NO_BROKEN_SESSION],
        ),
        (
            [
                (0, EventKind.SESSION_ESTABLISHED, "n0", "r", "a"),
                (1, EventKind.SERVER_UNRESPONSIVE, "", "", "a"),
                (2, EventKind.SESSION_BROKEN, "n0", "r"),
            ],
            [],
        ),
        ([(0, EventKind.SESSION_ESTABLISHED, "n0", "r", "a"), (1, EventKind.SESSION_MIGRATED, "n0", "r")], []),
        ([(0, EventKind.REQUESTS_LEAKED, "n0", "", "", 0)], []),
        ([(0, EventKind.REQUESTS_LEAKED, "n0", "", "", 2)], [Rule.NO_LEAKED_REQUEST]),
        ([(0, EventKind.PROGRAM_FAULT, "n0", "", "", 0, "fault")], [Rule.NO_PROGRAM_FAULT]),
    ],
)
def test_a_log_is_checked(rows: list[tuple[Any, ...]], rules: list[Rule]) -> None:
    assert check(*rows) == rules


@pytest.mark.parametrize(
    ("units", "is_notified", "rules"), [(1, True, []), (2, True, [Rule.SLOW_START_BUDGET]), (2, False, [])]
)
def test_the_slow_start_budget_is_checked(units: int, is_notified: bool, rules: list[Rule]) -> None:
    """50 units fill the server in 24 s: 4 x 0.2 x 50 / 24 are allowed within a second, and a tolerance of 3."""
    rows: list[tuple[Any, ...]] = [(0, EventKind.SERVER_STARTED, "", "", "a", 50_000, "0.2,24000000")]
    rows += [(1, EventKind.ENDPOINT_NOTIFIED, "n0", "", "a", 0, "SERVING")] if is_notified else []
    rows += [(10 + number, EventKind.ATTEMPT_EXECUTED, "n0", f"r{number}", "a", 0, str(units)) for number in range(4)]
    assert check(*rows) == rules
