"""The line protocol: random cuts of valid messages, and random garbage."""

from __future__ import annotations

import itertools
import string

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stoatgw.line_protocol.grammar import (
    Keyword,
    MalformedRequest,
    SessionRequest,
    encode_busy,
    field_pattern,
    parse_reply,
    parse_session_request,
)
from stoatgw.line_protocol.splitter import MAX_LINE_BYTES, LineSplitter

LINE = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=2000,g=5c0f6e1a2b3d4c59"
FIXED = settings(derandomize=True, deadline=None, max_examples=150)


def cut(data: bytes, places: list[int]) -> list[bytes]:
    ends = sorted({place % (len(data) + 1) for place in places} | {0, len(data)})
    return [data[start:end] for start, end in itertools.pairwise(ends)]


@FIXED
@given(st.lists(st.text(string.printable.replace("\n", "").replace("\r", ""))), st.lists(st.integers(0, 999)))
def test_lines_are_the_same_however_they_are_cut(texts: list[str], places: list[int]) -> None:
    splitter, lines = LineSplitter(), [text.encode() for text in texts]
    data = b"".join(line + b"\r\n" for line in lines) + b"rest"
    assert [line for part in cut(data, places) for line in splitter.receive_data(part)] == lines
    assert splitter.trailing_data == b"rest"


@FIXED
@given(st.lists(st.binary(max_size=6000), max_size=4))
def test_the_splitter_keeps_no_more_than_a_line(parts: list[bytes]) -> None:
    splitter = LineSplitter()
    for part in parts:
        assert all(len(line) < MAX_LINE_BYTES for line in splitter.receive_data(part))
        assert len(splitter.trailing_data) <= MAX_LINE_BYTES


def test_a_line_over_the_cap_is_never_given() -> None:
    splitter = LineSplitter()
    assert splitter.receive_data(b"a\r\n" + b"x" * MAX_LINE_BYTES + b"\r\nb\r\n") == [b"a"]
    assert splitter.is_overlong and splitter.receive_data(b"c\r\n") == []


@FIXED
@given(st.binary(max_size=200))
def test_garbage_is_malformed_never_an_exception(garbage: bytes) -> None:
    assert isinstance(parse_session_request(garbage), MalformedRequest)
    assert isinstance(parse_session_request(b"OPEN " + garbage), MalformedRequest)
    parse_reply(garbage)


@FIXED
@given(st.integers(0, len(LINE) - 1), st.integers(0, 255))
def test_a_byte_changed_is_read_or_malformed(place: int, byte: int) -> None:
    changed = LINE[:place] + bytes([byte]) + LINE[place + 1 :]
    opened = parse_session_request(changed)
    if isinstance(opened, SessionRequest):
        assert opened.encode(opened.timeout_ms).startswith(b"OPEN ") and len(opened.request_id) == 16


def test_only_d_changes_on_the_way() -> None:
    opened = parse_session_request(LINE + b",again=1,h=3.5,x=y")
    assert isinstance(opened, SessionRequest)
    assert (opened.class_name, opened.timeout_ms, opened.is_returning, opened.is_client_retry) == (
        "chat",
        2000,
        True,
        False,
    )
    assert opened.encode(750) == LINE.replace(b"d=2000", b"d=750") + b",again=1,h=3.5,x=y\r\n"


@pytest.mark.parametrize(
    "line",
    [
        LINE.replace(b"c=chat,", b""),
        LINE.replace(b"d=2000", b"d=-1"),
        LINE.replace(b"d=2000", b"d=2000,d=3"),
        LINE.replace(b"9b1f", b"9b1"),
        LINE.replace(b"g=5", b"g=x"),
        LINE + b",h=nan",
        LINE + b",at=\x00",
        LINE.replace(b"OPEN", b"SHUT"),
    ],
)
def test_malformed_lines(line: bytes) -> None:
    assert isinstance(parse_session_request(line), MalformedRequest)


def test_the_tenant_is_read_by_name_and_may_be_missing() -> None:
    named, bare = parse_session_request(LINE + b",t=sabah"), parse_session_request(LINE)
    assert isinstance(named, SessionRequest) and isinstance(bare, SessionRequest)
    assert (named.tenant, bare.tenant) == ("sabah", "")


ODD = ('Ticket "open"', "a,b", "øre", "x")


@pytest.mark.parametrize("name", ODD)
def test_names_of_the_settings_are_read_whatever_they_hold(name: str) -> None:
    # Guards against every client of a tenant called "north east" being answered ERR.
    head, fields = LINE.rpartition(b" ")[0], f"c={name},t={name},d=20,g=5c"
    opened = parse_session_request(head + b" " + fields.encode(), field_pattern(ODD))
    assert isinstance(opened, SessionRequest)
    assert (opened.class_name, opened.tenant, opened.timeout_ms) == (name, name, 20)
    assert opened.encode(7) == head + b" " + fields.replace("d=20", "d=7").encode() + b"\r\n"


@pytest.mark.parametrize("name", ["north east", "a,b c", "ører", 'Ticket "open" d=5', "a,b,", "a,,b"])
def test_no_other_value_holds_blanks_commas_or_more_than_ascii(name: str) -> None:
    head = LINE.rpartition(b" ")[0]
    for fields in (f"c={name},d=20", f"c=x,d=20,t={name}", f"c=x,d=20,g={name}"):
        assert isinstance(parse_session_request(head + b" " + fields.encode(), field_pattern(ODD)), MalformedRequest)


def test_replies() -> None:
    assert parse_reply(b"UP 77f").keyword is Keyword.UP
    assert parse_reply(b"BUSY inflight=7,util=0.61").load_report == {"inflight": 7, "util": 0.61}
    assert parse_reply(b"UPPER").keyword is Keyword.OTHER
    assert parse_reply(b"BYE a=nan,=3,b,c=1e999,d=2").load_report == {"d": 2}
    assert (encode_busy(0), encode_busy(1_500_000), encode_busy(1)) == (b"BUSY\r\n", b"BUSY 1500\r\n", b"BUSY 1\r\n")
