"""Hosts isolated balancer instances behind standard input and output. It decides nothing."""

from __future__ import annotations

import gc
import sys
import traceback
from typing import TextIO

from stoatgw.decisions.balancer import Balancer
from stoatgw.simulator_wire.codec import Decoder, Start, Stop, WireError, encode, encode_crash


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batch after batch until the input ends; raises WireError on malformed input."""
    decoder = Decoder()
    instances: dict[int, Balancer] = {}
    now_us: int | None = None
    replies: list[str] = []
    for number, raw in enumerate(source, start=1):
        line = raw.rstrip("\r\n")
        if now_us is None:
            if line:
                now_us = decoder.turn(line, number)
            continue
        if line == "GO":
            decoder.finish(number)
            sink.write("".join(reply + "\n" for reply in replies) + "DONE\n")
            sink.flush()
            replies.clear()
            now_us = None
            continue
        message = decoder.message(line, number)
        if message is None:
            continue
        if isinstance(message, Stop):
            if instances.pop(message.instance, None) is None:
                raise WireError(f"line {number}: field i: no instance {message.instance} is running")
            continue
        try:
            if isinstance(message, Start):
                balancer = Balancer(message.settings, message.seed)
                instances[message.instance] = balancer
                actions = balancer.start(now_us)
            elif message.instance not in instances:
                raise WireError(f"line {number}: field i: no instance {message.instance} is running")
            else:
                actions = instances[message.instance].handle(message.event, now_us)
        except WireError:
            raise
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            replies.append(encode_crash(message.instance, repr(error)))
            continue
        for action in actions:
            replies.append(encode(message.instance, action))
    if now_us is not None:
        raise WireError("the input ended inside a batch")


def main() -> int:
    """Run the adapter; the exit status is 0 when the input ended in good order."""
    gc.freeze()
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"stoatgw: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
