"""Checks that operators' files which cannot be used are rejected."""

from __future__ import annotations

from pathlib import Path

import pytest

from stoatgw.config.errors import ConfigError
from stoatgw.config.operators import load_operator_config


def assert_rejected_in_one_line(folder: Path, text: str, field: str) -> None:
    """Check that a file with this text is rejected with one line that names the file and the field."""
    file = folder / "own.toml"
    file.write_text("version = 1\n" + text)
    with pytest.raises(ConfigError) as caught:
        load_operator_config(str(file))
    message = str(caught.value)
    assert field in message
    assert str(file) in message
    assert "\n" not in message
