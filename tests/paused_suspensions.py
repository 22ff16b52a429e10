"""Run the real proxy with a pause between a change of the suspensions and its application: the other process acts then.

`python -m tests.paused_suspensions`
"""

from __future__ import annotations

import sys
import time
from typing import Any

PAUSE_S = 0.05


def main() -> int:
    """Run the proxy; return its exit status."""
    from stoatgw.service import main as serve
    from stoatgw.suspension.applier import SuspensionApplier

    apply = SuspensionApplier.apply

    def apply_after_pause(*arguments: Any) -> None:
        time.sleep(PAUSE_S)
        apply(*arguments)

    SuspensionApplier.apply = apply_after_pause  # type: ignore[method-assign, assignment]
    return serve()


if __name__ == "__main__":
    sys.exit(main())
