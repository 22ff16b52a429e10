"""Session rules that need no socket: one answer, no attempt for a disconnected client, and how ends are reported."""

from __future__ import annotations

import pytest

from stoatgw.clients.session_state import EndReason, SessionEnd, SessionState
from stoatgw.controller.messages import AttemptStage
from stoatgw.decisions.interface import AttemptStatus


def ended(reason: EndReason) -> SessionState:
    state = SessionState()
    assert state.finish(SessionEnd(reason))
    return state


def test_the_first_end_wins() -> None:
    state = SessionState()
    first = SessionEnd(EndReason.ANSWERED, b"BUSY\r\n")
    assert not state.has_ended
    assert state.finish(first)
    assert not state.finish(SessionEnd(EndReason.CLIENT_DISCONNECTED))
    assert state.has_ended
    assert state.end is first


def test_no_answer_follows_up() -> None:
    state = SessionState()
    assert state.can_answer()
    state.establish()
    assert not state.can_answer()


@pytest.mark.parametrize("reason", EndReason)
def test_an_ended_session_allows_no_answer_no_attempt_and_no_establishment(reason: EndReason) -> None:
    state = ended(reason)
    assert not state.can_answer()
    refused = state.refuse_attempt()
    assert refused is not None
    assert (refused.status, refused.stage) == (AttemptStatus.REVOKED, AttemptStage.CONNECTING)
    refused = state.refuse_establishment()
    assert refused is not None
    assert (refused.status, refused.stage) == (AttemptStatus.REVOKED, AttemptStage.ESTABLISHED)


def test_an_open_session_allows_an_attempt_and_its_establishment() -> None:
    state = SessionState()
    assert state.refuse_attempt() is None
    assert state.refuse_establishment() is None


def test_an_outcome_is_counted_once() -> None:
    state = SessionState()
    assert state.claim_outcome()
    assert not state.claim_outcome()


def test_no_outcome_is_counted_for_a_client_that_disconnected_before_it() -> None:
    assert not ended(EndReason.CLIENT_DISCONNECTED).claim_outcome()


@pytest.mark.parametrize("stage", AttemptStage)
def test_an_interrupted_attempt_is_revoked_unless_its_server_was_unresponsive(stage: AttemptStage) -> None:
    state = SessionState()
    assert state.interrupted_attempt(stage).status is AttemptStatus.REVOKED
    state.record_unresponsive_server()
    assert state.interrupted_attempt(stage).status is AttemptStatus.DROPPED
    assert state.interrupted_attempt(stage).stage is stage


@pytest.mark.parametrize("reason", EndReason)
@pytest.mark.parametrize("was_reset", [False, True])
def test_lines_in_flight_are_sent_after_an_orderly_end_and_none_after_the_last_line(
    reason: EndReason, was_reset: bool
) -> None:
    state = SessionState()
    assert state.may_send_to_client()
    state.finish(SessionEnd(reason, was_reset=was_reset))
    may_be_in_flight = reason in (EndReason.CLIENT_DISCONNECTED, EndReason.MIGRATED)
    assert state.may_send_to_client() == (may_be_in_flight and not was_reset)
    state.is_closed_to_client = True
    assert not state.may_send_to_client()


@pytest.mark.parametrize(
    ("reason", "is_reported"),
    [
        (EndReason.ANSWERED, False),
        (EndReason.CLIENT_DISCONNECTED, True),
        (EndReason.PROTOCOL_VIOLATED, True),
        (EndReason.SERVER_ENDED, False),
        (EndReason.MIGRATED, False),
    ],
)
def test_the_controller_is_notified_of_ends_that_it_did_not_cause(reason: EndReason, is_reported: bool) -> None:
    assert ended(reason).must_report_disconnect() == is_reported


def test_an_end_without_a_reason_is_reported() -> None:
    """The task of a connection is cancelled while its session is open."""
    assert SessionState().must_report_disconnect()


@pytest.mark.parametrize("reason", EndReason)
def test_only_answered_and_protocol_violated_ends_are_answers(reason: EndReason) -> None:
    assert SessionEnd(reason).is_answer == (reason in (EndReason.ANSWERED, EndReason.PROTOCOL_VIOLATED))
