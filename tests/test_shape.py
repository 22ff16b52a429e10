"""Limits on the module's text, and the README's example."""

from __future__ import annotations

import ast
import re
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MODULE = ROOT / "stoatgw" / "decisions" / "balancer.py"


def test_the_module_is_short() -> None:
    lines = MODULE.read_text().splitlines()
    assert len([line for line in lines if line.strip()]) <= 500
    assert max(map(len, lines)) <= 110


def test_the_policy_is_the_module_alone() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert deploy["policy"] == ["stoatgw/decisions/balancer.py"]


def test_the_module_names_its_interface_and_imports_no_io() -> None:
    assert "stoatgw/decisions/interface.py" in (ast.get_docstring(ast.parse(MODULE.read_text())) or "").splitlines()[0]
    imported = set()
    for path in MODULE.parent.glob("*.py"):  # its records and the cold budget beside it are as pure
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                imported |= {name.name for name in node.names}
            elif isinstance(node, ast.ImportFrom):
                imported.add(node.module or "")
    allowed = {"__future__", "random", "collections", "collections.abc", "typing", "dataclasses", "enum"}
    assert {name for name in imported - allowed if not name.startswith("stoatgw.decisions")} == set()


def test_the_readme_example_runs() -> None:
    text = (ROOT / "README.md").read_text()
    example = re.search(r"```python\n(.*?)```", text, re.DOTALL)
    assert example is not None
    printed: list[str] = []
    code = compile(example.group(1), "README.md", "exec")
    exec(code, {"print": lambda action: printed.append(str(action))})
    assert any("Send" in line for line in printed)


def needs_of_packages() -> dict[str, set[str]]:
    """Which of our packages (and lone modules) each imports, also inside functions."""
    needs: dict[str, set[str]] = {}
    for path in (ROOT / "stoatgw").rglob("*.py"):
        parts = path.relative_to(ROOT / "stoatgw").with_suffix("").parts
        tree = ast.parse(path.read_text())
        named = [node.module or "" for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)]
        inner = {name.split(".")[1] for name in named if name.startswith("stoatgw.")}
        needs.setdefault(parts[0], set()).update(inner - {parts[0]})
    return needs


def test_no_package_imports_in_a_circle() -> None:
    needs = needs_of_packages()
    while needs:
        free = {name for name, inner in needs.items() if not inner}
        assert free, f"a circle among {sorted(needs)}"
        needs = {name: inner - free for name, inner in needs.items() if name not in free}
    controller = list((ROOT / "stoatgw" / "controller").glob("*.py"))
    assert controller
    assert not any("stoatgw.line_protocol" in path.read_text() for path in controller)


def test_the_service_knows_nothing_of_the_lab() -> None:
    needs = needs_of_packages()
    above = {"cli", "lab", "emulator", "__main__"}
    for name, inner in needs.items():
        assert name in above or not inner & above, f"{name} imports {inner & above}"


def test_run_imports_no_heavy_library() -> None:
    """What `python -m stoatgw` loads; the libraries of the extra would cost start-up time and memory."""
    code = "import sys, stoatgw.__main__, stoatgw.service; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    heavy = {"click", "numpy", "msgspec", "hdrh", "matplotlib", "rich", "pyarrow", "jinja2"}
    assert not heavy & set(loaded.stdout.split())
