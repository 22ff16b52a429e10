"""The line protocol: valid messages split at random positions, random garbage, and invalid fields."""

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
LINE_HEAD = LINE.rpartition(b" ")[0]
SPECIAL_NAMES = ('Ticket "open"', "a,b", "øre", "x")
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=150)


def split_at(data: bytes, positions: list[int]) -> list[bytes]:
    ends = sorted({position % (len(data) + 1) for position in positions} | {0, len(data)})
    return [data[start:end] for start, end in itertools.pairwise(ends)]


@DETERMINISTIC
@given(st.lists(st.text(string.printable.replace("\n", "").replace("\r", ""))), st.lists(st.integers(0, 999)))
def test_lines_are_the_same_however_the_stream_is_split(texts: list[str], positions: list[int]) -> None:
    splitter = LineSplitter()
    lines = [text.encode() for text in texts]
    data = b"".join(line + b"\r\n" for line in lines) + b"rest"
    assert [line for piece in split_at(data, positions) for line in splitter.receive_data(piece)] == lines
    assert splitter.trailing_data == b"rest"


@DETERMINISTIC
@given(st.lists(st.binary(max_size=6000), max_size=4))
def test_the_splitter_buffers_at_most_one_line(pieces: list[bytes]) -> None:
    splitter = LineSplitter()
    for piece in pieces:
        assert all(len(line) < MAX_LINE_BYTES for line in splitter.receive_data(piece))
        assert len(splitter.trailing_data) <= MAX_LINE_BYTES


def test_an_overlong_line_and_what_follows_it_are_never_returned() -> None:
    splitter = LineSplitter()
    assert splitter.receive_data(b"a\r\n" + b"x" * MAX_LINE_BYTES + b"\r\nb\r\n") == [b"a"]
    assert splitter.is_overlong
    assert splitter.receive_data(b"c\r\n") == []


@DETERMINISTIC
@given(st.binary(max_size=200))
def test_garbage_is_malformed_and_never_raises(garbage: bytes) -> None:
    assert isinstance(parse_session_request(garbage), MalformedRequest)
    assert isinstance(parse_session_request(b"OPEN " + garbage), MalformedRequest)
    parse_reply(garbage)


@DETERMINISTIC
@given(st.integers(0, len(LINE) - 1), st.integers(0, 255))
def test_a_line_with_one_byte_changed_is_parsed_or_malformed(position: int, byte: int) -> None:
    request = parse_session_request(LINE[:position] + bytes([byte]) + LINE[position + 1 :])
    if isinstance(request, SessionRequest):
        assert request.encode(request.timeout_ms).startswith(b"OPEN ")
        assert len(request.request_id) == 16


def test_a_forwarded_request_differs_only_in_its_timeout() -> None:
    request = parse_session_request(LINE + b",again=1,h=3.5,x=y")
    assert isinstance(request, SessionRequest)
    assert request.class_name == "chat"
    assert request.timeout_ms == 2000
    assert request.is_returning is True
    assert request.is_client_retry is False
    assert request.encode(750) == LINE.replace(b"d=2000", b"d=750") + b",again=1,h=3.5,x=y\r\n"


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
def test_a_line_with_an_invalid_field_is_malformed(line: bytes) -> None:
    assert isinstance(parse_session_request(line), MalformedRequest)


@pytest.mark.parametrize(("line", "tenant"), [(LINE + b",t=sabah", "sabah"), (LINE, "")])
def test_the_tenant_may_be_missing(line: bytes, tenant: str) -> None:
    request = parse_session_request(line)
    assert isinstance(request, SessionRequest)
    assert request.tenant == tenant


@pytest.mark.parametrize("name", SPECIAL_NAMES)
def test_names_in_the_settings_are_parsed_whatever_they_contain(name: str) -> None:
    # Guards against answering ERR to every client of a tenant whose name contains a space.
    fields = f"c={name},t={name},d=20,g=5c"
    request = parse_session_request(LINE_HEAD + b" " + fields.encode(), field_pattern(SPECIAL_NAMES))
    assert isinstance(request, SessionRequest)
    assert (request.class_name, request.tenant, request.timeout_ms) == (name, name, 20)
    assert request.encode(7) == LINE_HEAD + b" " + fields.replace("d=20", "d=7").encode() + b"\r\n"


@pytest.mark.parametrize("name", ["north east", "a,b c", "ører", 'Ticket "open" d=5', "a,b,", "a,,b"])
def test_no_other_value_may_contain_spaces_commas_or_non_ascii_letters(name: str) -> None:
    pattern = field_pattern(SPECIAL_NAMES)
    for fields in (f"c={name},d=20", f"c=x,d=20,t={name}", f"c=x,d=20,g={name}"):
        assert isinstance(parse_session_request(LINE_HEAD + b" " + fields.encode(), pattern), MalformedRequest)


def test_a_reply_is_parsed_into_keyword_and_load_report() -> None:
    assert parse_reply(b"UP 77f").keyword is Keyword.UP
    assert parse_reply(b"BUSY inflight=7,util=0.61").load_report == {"inflight": 7, "util": 0.61}
    assert parse_reply(b"UPPER").keyword is Keyword.OTHER
    assert parse_reply(b"BYE a=nan,=3,b,c=1e999,d=2").load_report == {"d": 2}


@pytest.mark.parametrize(
    ("retry_after_us", "line"), [(0, b"BUSY\r\n"), (1_500_000, b"BUSY 1500\r\n"), (1, b"BUSY 1\r\n")]
)
def test_the_retry_delay_of_a_rejection_is_rounded_up_to_milliseconds(retry_after_us: int, line: bytes) -> None:
    assert encode_busy(retry_after_us) == line
