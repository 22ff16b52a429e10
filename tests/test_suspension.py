"""Servers out by hand: the overlay against a plain model, the file cut at every byte, and calls that cannot be kept."""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stoatgw.backends.backend import BackendRegistry
from stoatgw.clock import Clock
from stoatgw.config.deployment import Address
from stoatgw.controller.messages import EndpointsUpdated, EvacuateServer, Message, SessionRestored
from stoatgw.decisions.interface import Endpoint, Lifecycle
from stoatgw.discovery.backoff import Backoff
from stoatgw.discovery.client import DiscoveryClient
from stoatgw.discovery.endpoint_list import EndpointListParser
from stoatgw.discovery.publisher import EndpointPublisher
from stoatgw.suspension.applier import EVACUATION_DURATION_US, SuspensionApplier
from stoatgw.suspension.overrides import EndpointOverrides
from stoatgw.suspension.service import SuspensionService
from stoatgw.suspension.store import NAME, SuspensionStore, SuspensionStoreError, decode, encode
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog
from tests.controller_harness import ControllerHarness, run_with_harness
from tests.test_discovery import entry, page

FIXED = settings(derandomize=True, deadline=None, max_examples=200)
NAMES = st.sampled_from(["a", "b"])
STATES = st.sampled_from([Lifecycle.ACTIVE, Lifecycle.DRAINING, Lifecycle.REMOVED])
STEP = st.one_of(
    st.tuples(st.just("list"), NAMES, STATES, st.booleans()),
    st.tuples(st.sampled_from(["out", "back"]), NAMES, st.just(Lifecycle.ACTIVE), st.just(False)),
)


@FIXED
@given(st.lists(STEP, max_size=20))
def test_nothing_that_discovery_says_makes_a_banned_server_ready(steps: list[tuple[str, str, Lifecycle, bool]]) -> None:
    overlay, now_us = EndpointOverrides(), 1_000
    listed = {name: Endpoint(name) for name in "ab"}
    out: dict[str, int] = {}
    unproved = dict[str, int]()  # banned since, for those back whose restart no list has told yet
    for word, name, state, restarted in steps:
        now_us += 10
        if word == "list":
            start_us = now_us if restarted else listed[name].started_us
            listed[name] = Endpoint(name, state, started_us=start_us)
        elif word == "out":
            out.setdefault(name, now_us)
        elif name in out:
            unproved[name] = out.pop(name)
        overlay.replace(out, now_us)
        for each in listed.values():
            seen = overlay.apply(each)
            if each.name in out:
                assert seen.lifecycle is not Lifecycle.ACTIVE
            else:
                assert seen.lifecycle is each.lifecycle
                told = each.started_us >= unproved.get(each.name, 0)
                assert (seen.started_us == each.started_us) == told
                assert seen.started_us >= each.started_us


def test_the_file_cut_or_changed_at_any_byte_is_told_and_not_believed(tmp_path: Path) -> None:
    whole, store = encode({"s-1": 5, "s-2": 6}), SuspensionStore(tmp_path)
    assert store.load() == {} and store.seen() is None
    for place in range(len(whole)):
        (tmp_path / NAME).write_bytes(whole[:place])
        with pytest.raises(SuspensionStoreError, match=NAME):
            store.load()
        with pytest.raises(SuspensionStoreError, match=NAME):
            store.change("s-3", 7)
        assert (tmp_path / NAME).read_bytes() == whole[:place]
        with pytest.raises(ValueError):
            decode(whole[:place] + bytes([whole[place] ^ 1]) + whole[place + 1 :])
    (tmp_path / NAME).write_bytes(whole)
    assert store.load() == {"s-1": 5, "s-2": 6} == decode(whole)


def test_two_processes_change_one_file(tmp_path: Path) -> None:
    one, two = SuspensionStore(tmp_path), SuspensionStore(tmp_path)
    assert one.change("a", 1) == {"a": 1}
    assert two.change("b", 2) == {"a": 1, "b": 2}
    assert one.change("a", 9) == {"a": 1, "b": 2}  # out since the first call
    assert two.change("a", None) == {"b": 2} == one.load()


class Inbox:
    def __init__(self) -> None:
        self.told: list[Message] = []

    def post(self, message: Message) -> None:
        self.told.append(message)


class Side:
    """One process's keeper and director, with an inbox in the owner's place."""

    def __init__(self, folder: Path) -> None:
        self.inbox, self.overlay, clock, log = Inbox(), EndpointOverrides(), Clock(), EventLog("test")
        self.director = DiscoveryClient(
            Address("127.0.0.1", 1),
            EndpointListParser(("a", "b"), ()),
            EndpointPublisher(
                BackendRegistry(), self.inbox, clock, log, on_draining=lambda _: None, override=self.overlay.apply
            ),
            Backoff(1, random.Random(1)),
            log,
            Counters(),
        )
        self.outs = SuspensionApplier(self.overlay, self.director.publisher, self.inbox, clock, log)
        self.keeper = SuspensionService(str(folder), self.outs, self.director, clock, log)
        self.keeper.start()
        self.director.load_snapshot(page(entry()))

    def state(self) -> Lifecycle:
        listed = [message for message in self.inbox.told if isinstance(message, EndpointsUpdated)]
        return listed[-1].update.endpoints[-1].lifecycle


def in_a_loop(test: Callable[[Path, pytest.MonkeyPatch], None]) -> Callable[[Path, pytest.MonkeyPatch], None]:
    def run(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        async def play() -> None:
            test(tmp_path, monkeypatch)

        asyncio.run(play())

    return run


@in_a_loop
def test_a_ban_binds_both_processes_and_the_next_and_is_called_back_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    old, new = Side(tmp_path), Side(tmp_path)
    assert old.state() is Lifecycle.ACTIVE and not old.keeper.has_server("s-9")
    assert old.keeper.suspend("s-1") == old.keeper.suspend("s-1") == ""
    assert old.state() is Lifecycle.DRAINING and EvacuateServer("s-1", True, EVACUATION_DURATION_US) in old.inbox.told
    new.keeper.poll()
    assert new.state() is Lifecycle.DRAINING
    old.director.load_snapshot(page(entry(startedAtMs=9)))  # restarted, and listed whole once more
    assert old.state() is Lifecycle.DRAINING
    assert Side(tmp_path).state() is Lifecycle.DRAINING
    assert new.keeper.resume("s-1") == ""
    old.keeper.poll()
    assert old.state() is new.state() is Side(tmp_path).state() is Lifecycle.ACTIVE


@in_a_loop
def test_what_cannot_be_kept_is_no_yes_and_errs_on_the_safe_side(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    side = Side(tmp_path)

    def full(self: Path, data: bytes) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(Path, "write_bytes", full)
        assert "No space" in side.keeper.suspend("s-1") and side.state() is Lifecycle.DRAINING
    assert side.keeper.suspend("s-1") == ""
    with monkeypatch.context() as patch:
        patch.setattr(Path, "write_bytes", full)
        assert "No space" in side.keeper.resume("s-1") and side.state() is Lifecycle.DRAINING
    (tmp_path / NAME).write_bytes(b"not ours")
    side.keeper.poll()
    assert side.state() is Lifecycle.DRAINING and "none of ours" in side.keeper.resume("s-1")
    assert sorted(path.name for path in tmp_path.iterdir()) == [NAME, f"{NAME}.lock"]


def test_clients_on_a_banned_server_are_moved_and_on_one_called_back_are_not() -> None:
    async def play(harness: ControllerHarness) -> None:
        await harness.list_servers("a", "b")
        reqs = [harness.new_request() for _ in range(3)]
        stood = SessionRestored(reqs[0][0], "a"), SessionRestored(reqs[1][0], "b")
        await harness.deliver(*stood, EvacuateServer("a", True), EvacuateServer("b", True), EvacuateServer("b", False))
        await asyncio.sleep(0.01)
        await harness.deliver(SessionRestored(reqs[2][0], "a"))
        assert [handler.calls for _, handler in reqs] == [["migrate"], [], ["migrate"]]

    run_with_harness(play)
