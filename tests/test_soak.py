"""A short soak of real proxies: drawn ends, failing calls, signals and restarts. `tests/soak.py` plays longer ones."""

from __future__ import annotations

import asyncio

import pytest

from tests.soak import play


@pytest.mark.parametrize("seed", [1, 3])  # without a crowd, and with one
def test_no_client_sees_what_it_should_not(seed: int) -> None:
    findings = asyncio.run(play(seed))
    assert findings.texts == []
    assert findings.counts["UP"] > 0
    assert findings.counts["moved"] > 0
