"""`python -m stoatgw`: the real proxy; with arguments, the command line."""

from __future__ import annotations

import sys


def main() -> int:
    """Run the proxy or the command line; returns the exit status."""
    if len(sys.argv) > 1:
        from stoatgw.cli.main import main as command_line

        return command_line()
    # The proxy's own way in imports nothing of the command line.
    from stoatgw.service import main as serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
