"""Suspensions: overrides compared with a model, the file truncated at any byte, and changes that cannot be saved."""

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
from stoatgw.suspension.overrides import EndpointOverrides, SuspensionSource
from stoatgw.suspension.service import StillSuspendedError, SuspensionNotPersistedError, SuspensionService
from stoatgw.suspension.store import FILE_NAME, SuspensionStore, SuspensionStoreError, decode, encode
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog
from tests.controller_harness import ControllerHarness, run_with_harness
from tests.test_discovery import entry, page

FIXED = settings(derandomize=True, deadline=None, max_examples=200)
NAMES = st.sampled_from(["a", "b"])
STATES = st.sampled_from([Lifecycle.ACTIVE, Lifecycle.DRAINING, Lifecycle.REMOVED])
STEP = st.one_of(
    st.tuples(st.just("list"), NAMES, STATES, st.booleans()),
    st.tuples(st.sampled_from(["suspend", "resume"]), NAMES, st.just(Lifecycle.ACTIVE), st.just(False)),
)


@FIXED
@given(st.lists(STEP, max_size=20))
def test_no_endpoint_list_makes_a_suspended_server_active(steps: list[tuple[str, str, Lifecycle, bool]]) -> None:
    overrides = EndpointOverrides()
    now_us = 1_000
    listed = {name: Endpoint(name) for name in "ab"}
    suspended: dict[str, int] = {}
    # For each resumed server whose restart no list has reported yet: the start of its suspension.
    unconfirmed: dict[str, int] = {}
    for step, name, state, is_restarted in steps:
        now_us += 10
        if step == "list":
            started_us = now_us if is_restarted else listed[name].started_us
            listed[name] = Endpoint(name, state, started_us=started_us)
        elif step == "suspend":
            suspended.setdefault(name, now_us)
        elif name in suspended:
            unconfirmed[name] = suspended.pop(name)
        overrides.replace(suspended, now_us)
        for endpoint in listed.values():
            overridden = overrides.apply(endpoint)
            if endpoint.name in suspended:
                assert overridden.lifecycle is not Lifecycle.ACTIVE
            else:
                assert overridden.lifecycle is endpoint.lifecycle
                is_confirmed = endpoint.started_us >= unconfirmed.get(endpoint.name, 0)
                assert (overridden.started_us == endpoint.started_us) == is_confirmed
                assert overridden.started_us >= endpoint.started_us


def test_a_file_truncated_or_changed_at_any_byte_is_reported_and_not_used(tmp_path: Path) -> None:
    complete = encode({"s-1": 5, "s-2": 6})
    store = SuspensionStore(tmp_path)
    assert store.load() == {}
    assert store.version() is None
    for position in range(len(complete)):
        (tmp_path / FILE_NAME).write_bytes(complete[:position])
        with pytest.raises(SuspensionStoreError, match=FILE_NAME):
            store.load()
        with pytest.raises(SuspensionStoreError, match=FILE_NAME):
            store.suspend("s-3", 7)
        assert (tmp_path / FILE_NAME).read_bytes() == complete[:position]
        changed = complete[:position] + bytes([complete[position] ^ 1]) + complete[position + 1 :]
        with pytest.raises(ValueError, match=r"cut off$|wrong checksum$"):
            decode(changed)
    (tmp_path / FILE_NAME).write_bytes(complete)
    assert store.load() == {"s-1": 5, "s-2": 6}
    assert decode(complete) == {"s-1": 5, "s-2": 6}


def test_two_processes_change_one_file(tmp_path: Path) -> None:
    first = SuspensionStore(tmp_path)
    second = SuspensionStore(tmp_path)
    assert first.suspend("a", 1) == {"a": 1}
    assert second.suspend("b", 2) == {"a": 1, "b": 2}
    assert first.suspend("a", 9) == {"a": 1, "b": 2}  # the time of the first call stays
    assert second.resume("a") == {"b": 2}
    assert first.load() == {"b": 2}


class RecordingQueue:
    def __init__(self) -> None:
        self.messages: list[Message] = []

    def post(self, message: Message) -> None:
        self.messages.append(message)


class SuspendingProcess:
    """One process's suspension service and discovery client; a recording queue replaces the controller."""

    def __init__(self, folder: Path) -> None:
        self.queue = RecordingQueue()
        overrides = EndpointOverrides()
        clock = Clock()
        log = EventLog("test")
        publisher = EndpointPublisher(
            BackendRegistry(), self.queue, clock, log, on_draining=lambda _: None, override=overrides.apply
        )
        self.discovery = DiscoveryClient(
            Address("127.0.0.1", 1),
            EndpointListParser(("a", "b"), ()),
            publisher,
            Backoff(1, random.Random(1)),
            log,
            Counters(),
        )
        self.applier = SuspensionApplier(overrides, publisher, self.queue, clock, log)
        self.service = SuspensionService(str(folder), self.applier, publisher, clock, log)
        self.service.start()
        self.discovery.load_snapshot(page(entry()))

    def last_state(self) -> Lifecycle:
        """Return the server's state as it was last reported to the controller."""
        updates = [message for message in self.queue.messages if isinstance(message, EndpointsUpdated)]
        return updates[-1].update.endpoints[-1].lifecycle


def with_event_loop(test: Callable[[Path, pytest.MonkeyPatch], None]) -> Callable[[Path, pytest.MonkeyPatch], None]:
    def run(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        async def run_test() -> None:
            test(tmp_path, monkeypatch)

        asyncio.run(run_test())

    return run


@with_event_loop
def test_a_suspension_applies_to_all_processes_until_one_of_them_resumes_the_server(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    old = SuspendingProcess(tmp_path)
    new = SuspendingProcess(tmp_path)
    assert old.last_state() is Lifecycle.ACTIVE
    assert not old.service.has_server("s-9")
    old.service.suspend("s-1")
    old.service.suspend("s-1")  # a repeated call is not an error
    assert old.last_state() is Lifecycle.DRAINING
    assert EvacuateServer("s-1", True, EVACUATION_DURATION_US) in old.queue.messages
    new.service.poll()
    assert new.last_state() is Lifecycle.DRAINING
    old.discovery.load_snapshot(page(entry(startedAtMs=9)))  # the server has restarted and is listed again
    assert old.last_state() is Lifecycle.DRAINING
    assert SuspendingProcess(tmp_path).last_state() is Lifecycle.DRAINING
    new.service.resume("s-1")
    old.service.poll()
    assert old.last_state() is Lifecycle.ACTIVE
    assert new.last_state() is Lifecycle.ACTIVE
    assert SuspendingProcess(tmp_path).last_state() is Lifecycle.ACTIVE


@with_event_loop
def test_a_change_that_cannot_be_saved_is_an_error_and_leaves_the_server_suspended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    process = SuspendingProcess(tmp_path)

    def fail_with_disk_full(self: Path, data: bytes) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(Path, "write_bytes", fail_with_disk_full)
        with pytest.raises(SuspensionNotPersistedError, match="No space"):
            process.service.suspend("s-1")
        assert process.last_state() is Lifecycle.DRAINING
    process.service.suspend("s-1")
    with monkeypatch.context() as patch:
        patch.setattr(Path, "write_bytes", fail_with_disk_full)
        with pytest.raises(StillSuspendedError, match="No space"):
            process.service.resume("s-1")
        assert process.last_state() is Lifecycle.DRAINING
    (tmp_path / FILE_NAME).write_bytes(b"another file")
    process.service.poll()
    assert process.last_state() is Lifecycle.DRAINING
    with pytest.raises(StillSuspendedError, match="none of ours"):
        process.service.resume("s-1")
    assert sorted(path.name for path in tmp_path.iterdir()) == [FILE_NAME, f"{FILE_NAME}.lock"]


@with_event_loop
def test_a_server_that_a_maintenance_has_suspended_is_not_resumed_by_an_operator(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    process = SuspendingProcess(tmp_path)
    process.service.suspend("s-1")
    process.applier.apply({"s-1": 1}, SuspensionSource.MAINTENANCE)
    with pytest.raises(StillSuspendedError, match=r"^the maintenance has it out$"):
        process.service.resume("s-1")
    assert process.last_state() is Lifecycle.DRAINING
    process.applier.apply({}, SuspensionSource.MAINTENANCE)
    assert process.last_state() is Lifecycle.ACTIVE


def test_clients_of_a_suspended_server_are_migrated_and_those_of_a_resumed_one_are_not() -> None:
    async def run(harness: ControllerHarness) -> None:
        await harness.list_servers("a", "b")
        requests = [harness.new_request() for _ in range(3)]
        restored = SessionRestored(requests[0][0], "a"), SessionRestored(requests[1][0], "b")
        await harness.deliver(
            *restored, EvacuateServer("a", True), EvacuateServer("b", True), EvacuateServer("b", False)
        )
        await asyncio.sleep(0.01)
        await harness.deliver(SessionRestored(requests[2][0], "a"))
        assert [handler.calls for _, handler in requests] == [["migrate"], [], ["migrate"]]

    run_with_harness(run)
