"""Encodes the actions of the decisions as lines for the simulator."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from stoatgw.decisions.interface import (
    Action,
    Cancel,
    CheckHealth,
    CloseIdle,
    Fail,
    FetchEndpoints,
    Gossip,
    Log,
    Migrate,
    Reject,
    Send,
    SetTimer,
    Subscribe,
)
from stoatgw.simulator_wire.fields import ABSENT, SEPARATOR

ActionT = TypeVar("ActionT", bound=Action)
ALL_PEERS = "*"
Fields = tuple[str | int, ...]


def encode(instance: int, action: Action) -> str:
    """Encode an action of an instance as a line without its line end."""
    keyword, fields = _ENCODINGS[type(action)]
    return SEPARATOR.join([keyword, str(instance), *map(str, fields(action))])


def encode_crash(instance: int, reason: str) -> str:
    """Encode the line that reports an exception in an instance's decisions."""
    return f"FATAL\t{instance}\t{_one_line(reason)}"


def _one_line(text: str) -> str:
    return " ".join(text.split())


def _gossip_fields(gossip: Gossip) -> Fields:
    peer = ALL_PEERS if gossip.peer is None else gossip.peer
    return peer, gossip.payload.hex() or ABSENT


def _encoding(
    kind: type[ActionT], keyword: str, fields: Callable[[ActionT], Fields]
) -> tuple[type, tuple[str, Callable[[Any], Fields]]]:
    """Return an entry of the encoding table; lets the type checker match `fields` with the type of action."""
    return kind, (keyword, fields)


_ENCODINGS: dict[type, tuple[str, Callable[[Any], Fields]]] = dict(
    [
        _encoding(Send, "TRANSMIT", lambda send: (send.request_id, send.server, send.deadline_us)),
        _encoding(Cancel, "CANCEL", lambda cancel: (cancel.request_id, cancel.attempt)),
        _encoding(Reject, "SHED", lambda reject: (reject.request_id, reject.retry_after_us)),
        _encoding(Fail, "LOSE", lambda fail: (fail.request_id,)),
        _encoding(Migrate, "EVICT", lambda migrate: (migrate.request_id,)),
        _encoding(Subscribe, "KEEP_INFORMED", lambda subscribe: (int(subscribe.is_wanted),)),
        _encoding(FetchEndpoints, "GET_LIST", lambda _: ()),
        _encoding(SetTimer, "WAKE_ME", lambda timer: (timer.at_us, timer.token)),
        _encoding(CheckHealth, "HEALTH_CHECK", lambda check: (check.server,)),
        _encoding(CloseIdle, "CLOSE_IDLE", lambda close: (close.server,)),
        _encoding(Gossip, "TELL", _gossip_fields),
        _encoding(Log, "NOTE_DOWN", lambda log: (_one_line(log.message),)),
    ]
)
