"""Runs `python -m stoatgw`: the proxy, or the command line if there are arguments."""

from __future__ import annotations

import sys


def main() -> int:
    """Run the proxy or the command line; return the exit status."""
    if len(sys.argv) > 1:
        from stoatgw.cli.main import main as command_line

        return command_line()
    # The proxy starts without importing the command line, which would cost start-up time and memory.
    from stoatgw.service import main as serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
