"""A short soak of real proxies: random session ends, failing calls, signals and restarts; see `tests/soak.py`."""

from __future__ import annotations

import asyncio

import pytest

from tests.soak import run_seed


@pytest.mark.parametrize("seed", [1, 3])  # without and with idle connections
def test_a_short_soak_has_no_findings(seed: int) -> None:
    findings = asyncio.run(run_seed(seed))
    assert findings.texts == []
    assert findings.counts["UP"] > 0
    assert findings.counts["moved"] > 0
