"""Hosts isolated balancer instances, driven by standard input and output."""

from __future__ import annotations

import gc
import io
import sys
import traceback
from typing import TextIO

from stoatgw.decisions.balancer import Balancer
from stoatgw.decisions.interface import Action
from stoatgw.simulator_wire.decoder import Decoder
from stoatgw.simulator_wire.encoder import encode, encode_crash
from stoatgw.simulator_wire.errors import WireError
from stoatgw.simulator_wire.messages import Delivery, Start, Stop

WIRE_ERROR_STATUS = 2


class BalancerHost:
    """The balancer instances of the process, and the batch that is being read."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        self._instances: dict[int, Balancer] = {}
        self._now_us: int | None = None  # the time in the batch's TURN line; None between two batches
        self._replies: list[str] = []

    @property
    def is_in_batch(self) -> bool:
        """Whether a batch was opened and its GO line is still to come."""
        return self._now_us is not None

    def receive_line(self, line: str, line_number: int) -> str | None:
        """Handle one line; return the answer to the batch at its GO line, None for other lines.

        Raises:
            WireError: The line is malformed, or names an instance that is not running.
        """
        if self._now_us is None:
            if line:
                self._now_us = self._decoder.decode_turn(line, line_number)
            return None
        if line == "GO":
            return self._finish_batch(line_number)
        message = self._decoder.decode(line, line_number)
        if isinstance(message, Stop):
            if self._instances.pop(message.instance, None) is None:
                raise _not_running(message.instance, line_number)
        elif message is not None:
            self._run(message, self._now_us, line_number)
        return None

    def _finish_batch(self, line_number: int) -> str:
        self._decoder.finish_batch(line_number)
        answer = "".join(reply + "\n" for reply in self._replies) + "DONE\n"
        self._replies.clear()
        self._now_us = None
        return answer

    def _run(self, message: Start | Delivery, now_us: int, line_number: int) -> None:
        """Pass a message to its instance; an exception in the decisions is reported, and the process continues."""
        if isinstance(message, Delivery) and message.instance not in self._instances:
            raise _not_running(message.instance, line_number)
        try:
            actions = self._dispatch(message, now_us)
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            self._replies.append(encode_crash(message.instance, repr(error)))
            return
        for action in actions:
            self._replies.append(encode(message.instance, action))

    def _dispatch(self, message: Start | Delivery, now_us: int) -> list[Action]:
        if isinstance(message, Delivery):
            return self._instances[message.instance].handle(message.event, now_us)
        balancer = Balancer(message.settings, message.seed)
        self._instances[message.instance] = balancer
        return balancer.start(now_us)


def _not_running(instance: int, line_number: int) -> WireError:
    return WireError(f"line {line_number}: field i: no instance {instance} is running")


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends.

    Raises:
        WireError: The input is malformed, or ends inside a batch.
    """
    host = BalancerHost()
    for line_number, raw in enumerate(source, start=1):
        answer = host.receive_line(raw.rstrip("\r\n"), line_number)
        if answer is not None:
            sink.write(answer)
            sink.flush()
    if host.is_in_batch:
        raise WireError("the input ended inside a batch")


def main() -> int:
    """Run the host on standard input and output; return the exit status, 0 if the input was valid to its end."""
    gc.freeze()
    for stream in (sys.stdin, sys.stdout):
        if isinstance(stream, io.TextIOWrapper):
            stream.reconfigure(encoding="utf-8", newline="\n")
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"stoatgw: {error}", file=sys.stderr)
        return WIRE_ERROR_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
