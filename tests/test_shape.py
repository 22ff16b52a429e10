"""Limits on the module's text, and the README's example."""

from __future__ import annotations

import ast
import re
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DECISIONS = ROOT / "stoatgw" / "decisions"
MODULE = DECISIONS / "balancer.py"
POLICY = (
    "stoatgw/decisions/balancer.py",
    "stoatgw/decisions/admission.py",
    "stoatgw/decisions/server_selection.py",
    "stoatgw/decisions/placement.py",
    "stoatgw/decisions/health_checking.py",
    "stoatgw/decisions/overload.py",
)
PURE_LIBRARIES = {"__future__", "random", "collections", "collections.abc", "typing", "dataclasses", "enum"}
BESIDE_THE_PROXY = {"cli", "lab", "emulator", "simulator_wire"}  # packages that the real proxy does not run


def deployment() -> dict[str, list[str]]:
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def test_the_policy_is_short() -> None:
    lines = [line for path in POLICY for line in (ROOT / path).read_text().splitlines()]
    assert len([line for line in lines if line.strip()]) <= 500
    assert max(map(len, lines)) <= 110


def test_the_policy_is_the_listed_files_alone() -> None:
    assert deployment()["policy"] == list(POLICY)


def test_every_file_of_the_proxy_is_listed_once() -> None:
    listed = [ROOT / path for path in (*deployment()["policy"], *deployment()["node"])]
    assert [path for path in listed if not path.exists()] == []
    for file in (ROOT / "stoatgw").rglob("*.py"):
        times = sum(file.is_relative_to(path) for path in listed)
        is_beside = file.relative_to(ROOT / "stoatgw").parts[0] in BESIDE_THE_PROXY
        assert times == (0 if is_beside else 1), file


def test_the_module_names_its_interface() -> None:
    assert "stoatgw/decisions/interface.py" in (ast.get_docstring(ast.parse(MODULE.read_text())) or "").splitlines()[0]


def test_the_decisions_import_no_io() -> None:
    imported = set()
    for path in DECISIONS.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                imported |= {name.name for name in node.names}
            elif isinstance(node, ast.ImportFrom):
                assert node.level == 0, path
                imported.add(node.module or "")
    outside = {name for name in imported if name != "stoatgw.decisions" and not name.startswith("stoatgw.decisions.")}
    assert outside - PURE_LIBRARIES == set()


def test_the_state_does_not_import_the_policy() -> None:
    graph = module_graph(DECISIONS)
    policy = {path.removesuffix(".py").replace("/", ".") for path in POLICY}
    package = "stoatgw.decisions"  # its __init__ imports the policy
    for name, imported in graph.items():
        if name not in policy and name != package:
            assert not imported & (policy | {package}), name


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


def module_graph(root: Path) -> dict[str, set[str]]:
    """Which of the modules under a folder each imports at module level or for type checking, but not in functions."""
    paths = {}
    for path in root.rglob("*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        paths[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    graph: dict[str, set[str]] = {}
    for name, path in paths.items():
        graph[name] = set()
        waiting: list[ast.AST] = [ast.parse(path.read_text())]
        while waiting:
            node = waiting.pop()
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                continue
            waiting += ast.iter_child_nodes(node)
            if isinstance(node, ast.Import):
                graph[name] |= {each.name for each in node.names if each.name in paths}
            elif isinstance(node, ast.ImportFrom):
                source = node.module or ""
                inner = {f"{source}.{each.name}" for each in node.names}
                if not inner <= set(paths):
                    inner.add(source)
                graph[name] |= inner & set(paths)
    return graph


def modules_in_circles(graph: dict[str, set[str]]) -> set[str]:
    """The modules that are in an import circle, or import one that is."""
    while free := {name for name, imported in graph.items() if not imported & set(graph)}:
        graph = {name: imported for name, imported in graph.items() if name not in free}
    return set(graph)


def test_no_module_imports_in_a_circle() -> None:
    assert modules_in_circles(module_graph(ROOT / "stoatgw")) == set()


def test_a_circle_of_modules_is_found() -> None:
    graph = {"a": {"b"}, "b": {"c"}, "c": {"b"}, "d": set()}
    assert modules_in_circles(graph) == {"a", "b", "c"}


def test_the_architecture_page_lists_what_each_package_imports() -> None:
    needs = needs_of_packages()
    page = (ROOT / "docs" / "architecture.md").read_text()
    table = page[page.index("| package | holds | imports |") :].split("\n\n")[0]
    rows = [[cell.strip() for cell in line.split("|")[1:-1]] for line in table.splitlines()[2:]]
    assert len(rows) == 18
    for packages, _, imports in rows:
        if imports == "nothing" or imports.startswith("`"):
            listed = set(re.findall(r"`([a-z_]+)`", imports)) | {"telemetry", "clock"}
            for package in re.findall(r"`([a-z_]+)`", packages):
                if package not in {"emulator", "lab", "cli"}:
                    assert needs[package] <= listed, package


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
