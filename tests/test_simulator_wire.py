"""The simulator's lines in both directions, and the host that answers batches of them."""

from __future__ import annotations

import io
import subprocess
import sys
from typing import get_args

import pytest

from stoatgw.config.settings import read_settings
from stoatgw.decisions.interface import (
    Action,
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
from stoatgw.simulator_wire.decoder import Decoder
from stoatgw.simulator_wire.encoder import encode
from stoatgw.simulator_wire.errors import WireError
from stoatgw.simulator_wire.host import serve
from stoatgw.simulator_wire.messages import Delivery, Start

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
START_LINE = "NEW_INSTANCE\t0\t7\t" + "\t".join(f"{path}={value}" for path, value in PAIRS.items())


def decode(line: str) -> object:
    message = Decoder().decode(line, 1)
    assert isinstance(message, Delivery)
    return message.event


def test_a_request_line_is_decoded() -> None:
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
    assert bare.is_client_retry
    assert bare.is_mid_flow
    assert bare.is_returning
    assert not bare.hint_valid


def test_lines_are_decoded_into_events() -> None:
    assert decode("BEGUN\t3\taa\t9250\t0\tserver.x") == AttemptEstablished("aa", 0, "server.x", 9250)
    assert decode("CHANGE\t3\taa\t0\tserver.x\t1\t0.5") == SessionMetric(
        "aa", 0, "server.x", SessionMetricKind.LOAD, 0.5
    )
    ended = decode("COMPLETED\t3\taa\t0\tserver.x\tdelivered\t18500\t1\t0.5,-,2")
    assert ended == AttemptOutcome("aa", 0, "server.x", AttemptStatus.DELIVERED, 18500, True, (0.5, None, 2.0))
    existing = "EXISTING\t3\t11\t0\t0\t45\t240000\t12000\t40\t1\tserver.x"
    assert getattr(decode(existing), "server", None) == "server.x"


def test_an_update_refers_to_the_latest_list_of_its_number() -> None:
    """A list number may be redefined in a batch: an update before it has the old list, one after it the new one."""
    decoder = Decoder()
    lines = ["POOL\t0\t1", "ROW\t1.5\ton\t0\tserver.a\t61\t0\t1", "DIRECTORY_UPDATE\t3\tdisk\t41\t0"]
    lines += ["POOL\t0\t1", "ROW\t-\tfading\t-\tserver.b\t-\t0\t2", "DIRECTORY_UPDATE\t3\tdiff\t42\t0"]
    lines += ["POOL\t1\t0", "DIRECTORY_UPDATE\t3\tsnapshot\t43\t1"]
    updates = []
    for number, line in enumerate(lines, 1):
        message = decoder.decode(line, number)
        if isinstance(message, Delivery) and isinstance(message.event, EndpointUpdate):
            updates.append(message.event.endpoints)
    assert [len(entries) for entries in updates] == [1, 1, 0]
    assert updates[0][0].started_us == 61
    assert updates[1][0].lifecycle is Lifecycle.DRAINING
    assert updates[1][0].weight == 1.0


def test_settings_are_parsed_from_pairs() -> None:
    start = Decoder().decode(START_LINE, 1)
    assert isinstance(start, Start)
    assert start.seed == 7
    settings = start.settings
    assert (settings.balancers, settings.rank, settings.zone, settings.max_attempts) == (3, 1, 2, 4)
    assert settings.report_columns == ("utilization", "outstanding", "x0")
    assert settings.tenant_quota_connections == (323.0, float("inf"))
    assert settings.profiles[0].message_aim_us == 100_000


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


def test_actions_are_encoded_as_lines() -> None:
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


def test_each_action_has_its_own_keyword() -> None:
    samples: dict[type, Action] = {
        Send: Send("aa", "s", 1),
        Cancel: Cancel("aa", 1),
        Reject: Reject("aa"),
        Fail: Fail("aa"),
        Migrate: Migrate("aa"),
        Subscribe: Subscribe(False),
        FetchEndpoints: FetchEndpoints(),
        SetTimer: SetTimer(1, 2),
        CheckHealth: CheckHealth("s"),
        CloseIdle: CloseIdle("s"),
        Gossip: Gossip(1, b""),
        Log: Log("text"),
    }
    assert samples.keys() == set(get_args(Action))
    keywords = {encode(0, action).split("\t")[0] for action in samples.values()}
    assert len(keywords) == len(samples)


def run_host(*lines: str) -> str:
    sink = io.StringIO()
    serve(io.StringIO("".join(line + "\n" for line in lines)), sink)
    return sink.getvalue()


def test_an_empty_batch_is_answered() -> None:
    assert run_host("TURN\t8412250", "GO") == "DONE\n"


@pytest.mark.parametrize(
    ("line", "reason"),
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
def test_the_error_for_a_malformed_line_names_line_and_field(line: str, reason: str) -> None:
    with pytest.raises(WireError) as caught:
        run_host("TURN\t1", line, "GO")
    assert reason in str(caught.value)


def test_the_process_reports_errors_on_standard_error_only() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "stoatgw.simulator_wire"],
        input="TURN\t1\nGO\nTURN\t2\nHANGUP\t0\n",
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert done.stdout == "DONE\n"
    assert "line 4: HANGUP" in done.stderr
    assert len(done.stderr.splitlines()) == 1


def run_instances(instances: list[int]) -> dict[int, list[str]]:
    """Run instances in one host and return the action lines of each."""
    lines = ["TURN\t1000000", "POOL\t0\t3"]
    lines += [f"ROW\t1\ton\t0\tserver.{name}\t-\t0\t{zone}" for name, zone in (("a", 1), ("b", 1), ("c", 2))]
    for instance in instances:
        lines.append(START_LINE.replace("NEW_INSTANCE\t0\t7", f"NEW_INSTANCE\t{instance}\t{instance + 40}"))
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
    for line in run_host(*lines).splitlines():
        if line != "DONE":
            actions[int(line.split("\t")[1])].append(line)
    return actions


def test_instances_in_one_host_do_not_affect_each_other() -> None:
    together = run_instances([0, 1, 2])
    apart = run_instances([0]) | run_instances([1]) | run_instances([2])
    assert together == apart
    assert any("TRANSMIT" in line for line in together[0])


def test_a_stopped_instance_keeps_no_state() -> None:
    endpoint_lines = ["POOL\t0\t1", "ROW\t1\ton\t0\tserver.a\t-\t0\t2", "DIRECTORY_UPDATE\t0\tdisk\t1\t0"]
    request = "ACCEPT\t0\taa\t-\t0\t0\t900000\t-\t0\t-"
    answer = run_host("TURN\t1", START_LINE, *endpoint_lines, "STOP\t0", START_LINE, request, "GO")
    assert "SHED\t0\taa" in answer
    assert "TRANSMIT" not in answer
