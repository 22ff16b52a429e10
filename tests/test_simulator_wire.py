"""The codec, both ways, and the adapter's loop."""

from __future__ import annotations

import io
import subprocess
import sys

import pytest

from stoatgw.config.settings import read_settings
from stoatgw.decisions.interface import (
    AttemptEstablished,
    AttemptOutcome,
    AttemptStatus,
    Cancel,
    CheckHealth,
    CloseIdle,
    EndpointUpdate,
    Fail,
    FetchEndpoints,
    Gossip,
    Lifecycle,
    Log,
    Migrate,
    Reject,
    Request,
    Send,
    SessionMetric,
    SessionMetricKind,
    SetTimer,
    SettingsError,
    Subscribe,
)
from stoatgw.simulator_wire.codec import Decoder, Delivery, Start, WireError, encode
from stoatgw.simulator_wire.host import serve

PAIRS = {
    "balancers": "3",
    "rank": "1",
    "locality": "2",
    "bounds.max_attempts": "4",
    "bounds.probes": "true",
    "profiles.count": "1",
    "profiles.0.deadline_us": "1200000",
    "profiles.0.on_time_us": "300000",
    "profiles.0.idempotency": "retryable",
    "profiles.0.worth": "5.0",
    "domain.message_aim_us": "100000.0",
    "domain.tenant_quota_connections": "323.0,null",
    "report.via": "on_probe",
    "report.columns": "utilization,outstanding,x0",
    "rules.drain_grace_us": "1000000",
    "rules.cold_from": "0.3",
    "rules.fall_multiple": "2.5",
    "some.unknown.key": "whatever",
}
NEW = "NEW_INSTANCE\t0\t7\t" + "\t".join(f"{path}={value}" for path, value in PAIRS.items())


def decode(line: str) -> object:
    message = Decoder().message(line, 1)
    assert isinstance(message, Delivery)
    return message.event


def test_request_line() -> None:
    line = "ACCEPT\t3\t1f7a7d575d3a91c4\t12000\t1\t0\t240000\t4050608788307276\t0\t4569004829183723"
    assert decode(line) == Request(
        request_id="1f7a7d575d3a91c4",
        request_class=0,
        time_left_us=240_000,
        tenant=0,
        idempotency_key=4569004829183723,
        group=4050608788307276,
        hint_us=12_000,
        hint_valid=True,
    )
    bare = decode("ACCEPT\t3\t1f7a7d575d3a91c4\t-\t26\t-\t240000\t-\t1\t-")
    assert isinstance(bare, Request)
    assert (bare.hint_us, bare.idempotency_key, bare.tenant, bare.request_class) == (None, None, 0, 1)
    assert bare.is_client_retry and bare.is_mid_flow and bare.is_returning and not bare.hint_valid


def test_event_lines() -> None:
    assert decode("BEGUN\t3\taa\t9250\t0\tserver.x") == AttemptEstablished("aa", 0, "server.x", 9250)
    assert decode("CHANGE\t3\taa\t0\tserver.x\t1\t0.5") == SessionMetric(
        "aa", 0, "server.x", SessionMetricKind.LOAD, 0.5
    )
    ended = decode("COMPLETED\t3\taa\t0\tserver.x\tdelivered\t18500\t1\t0.5,-,2")
    assert ended == AttemptOutcome("aa", 0, "server.x", AttemptStatus.DELIVERED, 18500, True, (0.5, None, 2.0))
    existing = "EXISTING\t3\t11\t0\t0\t45\t240000\t12000\t40\t1\tserver.x"
    assert getattr(decode(existing), "server", None) == "server.x"


def test_lists_resolve_by_event_order() -> None:
    decoder = Decoder()
    lines = ["POOL\t0\t1", "ROW\t1.5\ton\t0\tserver.a\t61\t0\t1", "DIRECTORY_UPDATE\t3\tdisk\t41\t0"]
    lines += ["POOL\t0\t1", "ROW\t-\tfading\t-\tserver.b\t-\t0\t2", "DIRECTORY_UPDATE\t3\tdiff\t42\t0"]
    lines += ["POOL\t1\t0", "DIRECTORY_UPDATE\t3\tsnapshot\t43\t1"]
    updates = []
    for number, line in enumerate(lines, 1):
        message = decoder.message(line, number)
        if isinstance(message, Delivery) and isinstance(message.event, EndpointUpdate):
            updates.append(message.event.endpoints)
    assert [len(entries) for entries in updates] == [1, 1, 0]
    assert updates[0][0].started_us == 61
    assert updates[1][0].lifecycle is Lifecycle.DRAINING and updates[1][0].weight == 1.0


def test_settings() -> None:
    start = Decoder().message(NEW, 1)
    assert isinstance(start, Start) and start.seed == 7
    got = start.settings
    assert (got.balancers, got.rank, got.zone, got.max_attempts) == (3, 1, 2, 4)
    assert got.report_columns == ("utilization", "outstanding", "x0")
    assert got.tenant_quota_connections == (323.0, float("inf"))
    assert got.profiles[0].message_aim_us == 100_000


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("balancers", None),
        ("balancers", "0"),
        ("profiles.0.deadline_us", "-5"),
        ("profiles.0.deadline_us", None),
        ("profiles.0.idempotency", "maybe"),
        ("rules.cold_from", "nan"),
        ("rules.fall_multiple", "-1"),
        ("bounds.max_attempts", "many"),
    ],
)
def test_settings_errors_name_the_setting(path: str, value: str | None) -> None:
    pairs = {key: text for key, text in PAIRS.items() if key != path}
    if value is not None:
        pairs[path] = value
    with pytest.raises(SettingsError, match=path.replace(".", r"\.")):
        read_settings(pairs)


def test_actions() -> None:
    assert encode(3, Send("aa", "server.x", 99)) == "TRANSMIT\t3\taa\tserver.x\t99"
    assert encode(3, Cancel("aa", 1)) == "CANCEL\t3\taa\t1"
    assert encode(3, Reject("aa", 250_000)) == "SHED\t3\taa\t250000"
    assert encode(3, Fail("aa")) == "LOSE\t3\taa"
    assert encode(3, Migrate("aa")) == "EVICT\t3\taa"
    assert encode(3, Subscribe(True)) == "KEEP_INFORMED\t3\t1"
    assert encode(3, FetchEndpoints()) == "GET_LIST\t3"
    assert encode(3, SetTimer(8, 77)) == "WAKE_ME\t3\t8\t77"
    assert encode(3, CheckHealth("server.x")) == "HEALTH_CHECK\t3\tserver.x"
    assert encode(3, CloseIdle("server.x")) == "CLOSE_IDLE\t3\tserver.x"
    assert encode(3, Gossip(None, b"hi")) == "TELL\t3\t*\t6869"
    assert encode(3, Gossip(2, b"")) == "TELL\t3\t2\t-"
    assert encode(3, Log("two\tservers\nknown")) == "NOTE_DOWN\t3\ttwo servers known"


def play(*lines: str) -> str:
    sink = io.StringIO()
    serve(io.StringIO("".join(line + "\n" for line in lines)), sink)
    return sink.getvalue()


def test_an_empty_batch() -> None:
    assert play("TURN\t8412250", "GO") == "DONE\n"


@pytest.mark.parametrize(
    ("line", "complaint"),
    [
        ("NONSENSE\t0", "line 2: unknown message"),
        ("HANGUP\t0", "line 2: HANGUP has 1 fields where 2 belong"),
        ("HANGUP\tx\taa", "line 2: HANGUP: field i: "),
        ("BEGUN\t0\taa\t1\t-\tserver.x", "line 2: BEGUN: field go: "),
        ("COMPLETED\t0\taa\t0\ts\tvanished\t1\t1\t-", "line 2: COMPLETED: field outcome: "),
        ("COMPLETED\t0\taa\t0\ts\tshed\t1\tyes\t-", "line 2: COMPLETED: field final: "),
        ("DIRECTORY_UPDATE\t0\tdiff\t1\t9", "line 2: DIRECTORY_UPDATE: field page: "),
        ("ROW\t1\ton\t0\ts\t-\t0\t0", "line 2: ROW outside"),
        ("HANGUP\t5\taa", "line 2: field i: no instance 5"),
        ("STOP\t5", "line 2: field i: no instance 5"),
        ("NEW_INSTANCE\t0\t7\tbalancers=3", "field settings: setting profiles.count is missing"),
    ],
)
def test_malformed_lines_are_named(line: str, complaint: str) -> None:
    with pytest.raises(WireError) as caught:
        play("TURN\t1", line, "GO")
    assert complaint in str(caught.value)


def test_the_adapter_process_complains_on_standard_error_only() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "stoatgw.simulator_wire"],
        input="TURN\t1\nGO\nTURN\t2\nHANGUP\t0\n",
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert done.stdout == "DONE\n"
    assert "line 4: HANGUP" in done.stderr and len(done.stderr.splitlines()) == 1


def day(instances: list[int]) -> dict[int, list[str]]:
    """The actions of some instances that live in one process."""
    lines = ["TURN\t1000000", "POOL\t0\t3"]
    lines += [f"ROW\t1\ton\t0\tserver.{name}\t-\t0\t{zone}" for name, zone in (("a", 1), ("b", 1), ("c", 2))]
    for instance in instances:
        lines.append(NEW.replace("NEW_INSTANCE\t0\t7", f"NEW_INSTANCE\t{instance}\t{instance + 40}"))
        lines.append(f"DIRECTORY_UPDATE\t{instance}\tdisk\t1\t0")
    lines.append("GO")
    for step in range(1, 30):
        lines.append(f"TURN\t{1_000_000 + step * 200_000}")
        for instance in instances:
            request = f"{instance:08x}{step:08x}"
            lines.append(f"ACCEPT\t{instance}\t{request}\t-\t0\t0\t900000\t-\t0\t-")
            if step % 5 == 0:
                lines.append(f"DUE\t{instance}\t0")
                load = f"0.{step},{10 + step},0.{step + instance}"
                lines.append(f"HEALTH_RESULT\t{instance}\tserver.b\tdelivered\t500\t{load}")
        lines.append("GO")
    actions: dict[int, list[str]] = {instance: [] for instance in instances}
    for line in play(*lines).splitlines():
        if line != "DONE":
            actions[int(line.split("\t")[1])].append(line)
    return actions


def test_instances_act_alike_together_and_apart() -> None:
    together = day([0, 1, 2])
    apart = day([0]) | day([1]) | day([2])
    assert together == apart
    assert any("TRANSMIT" in line for line in together[0])


def test_a_stopped_instance_forgets_everything() -> None:
    list_lines = ["POOL\t0\t1", "ROW\t1\ton\t0\tserver.a\t-\t0\t2", "DIRECTORY_UPDATE\t0\tdisk\t1\t0"]
    ask = "ACCEPT\t0\taa\t-\t0\t0\t900000\t-\t0\t-"
    out = play("TURN\t1", NEW, *list_lines, "STOP\t0", NEW, ask, "GO")
    assert "SHED\t0\taa" in out and "TRANSMIT" not in out
