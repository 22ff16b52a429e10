"""Structure of the source: size of the policy, imports between packages and modules, and the pages that list them."""

from __future__ import annotations

import ast
import gc
import re
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
DECISIONS = ROOT / "stoatgw" / "decisions"
BALANCER = DECISIONS / "balancer.py"
POLICY = (
    "stoatgw/decisions/balancer.py",
    "stoatgw/decisions/admission.py",
    "stoatgw/decisions/server_selection.py",
    "stoatgw/decisions/placement.py",
    "stoatgw/decisions/health_checking.py",
    "stoatgw/decisions/overload.py",
)
PURE_LIBRARIES = {"__future__", "random", "collections", "collections.abc", "typing", "dataclasses", "enum"}
NON_PROXY_PACKAGES = {"cli", "lab", "emulator", "simulator_wire"}  # packages that the real proxy does not run


@pytest.fixture(autouse=True)
def without_garbage_collection() -> Iterator[None]:
    """Let no finalizer of an earlier test run inside `ast.parse`: one that raises there makes Python 3.11 fail."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def deployment() -> dict[str, list[str]]:
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def test_the_policy_is_short() -> None:
    lines = [line for path in POLICY for line in (ROOT / path).read_text().splitlines()]
    assert len([line for line in lines if line.strip()]) <= 500
    assert max(map(len, lines)) <= 110


def test_the_policy_consists_of_the_listed_files() -> None:
    assert deployment()["policy"] == list(POLICY)


def test_every_file_of_the_proxy_is_listed_once() -> None:
    listed = [ROOT / path for path in (*deployment()["policy"], *deployment()["node"])]
    assert [path for path in listed if not path.exists()] == []
    for file in (ROOT / "stoatgw").rglob("*.py"):
        listings = sum(file.is_relative_to(path) for path in listed)
        is_non_proxy = file.relative_to(ROOT / "stoatgw").parts[0] in NON_PROXY_PACKAGES
        assert listings == (0 if is_non_proxy else 1), file


def test_the_balancer_module_names_its_interface() -> None:
    assert (
        "stoatgw/decisions/interface.py" in (ast.get_docstring(ast.parse(BALANCER.read_text())) or "").splitlines()[0]
    )


def test_the_decisions_import_no_io() -> None:
    imported = set()
    for path in DECISIONS.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                imported |= {name.name for name in node.names}
            elif isinstance(node, ast.ImportFrom):
                assert node.level == 0, path
                imported.add(node.module or "")
    external = {name for name in imported if name != "stoatgw.decisions" and not name.startswith("stoatgw.decisions.")}
    assert external - PURE_LIBRARIES == set()


def test_the_state_does_not_import_the_policy() -> None:
    graph = module_imports(DECISIONS)
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


def package_imports() -> dict[str, set[str]]:
    """Return the packages (and top-level modules) of this project that each one imports, also inside functions."""
    imports: dict[str, set[str]] = {}
    for path in (ROOT / "stoatgw").rglob("*.py"):
        parts = path.relative_to(ROOT / "stoatgw").with_suffix("").parts
        tree = ast.parse(path.read_text())
        modules = [node.module or "" for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)]
        packages = {name.split(".")[1] for name in modules if name.startswith("stoatgw.")}
        imports.setdefault(parts[0], set()).update(packages - {parts[0]})
    return imports


def test_packages_have_no_import_cycle() -> None:
    imports = package_imports()
    while imports:
        leaves = {name for name, imported in imports.items() if not imported}
        assert leaves, f"an import cycle among {sorted(imports)}"
        imports = {name: imported - leaves for name, imported in imports.items() if name not in leaves}
    controller = list((ROOT / "stoatgw" / "controller").glob("*.py"))
    assert controller
    assert not any("stoatgw.line_protocol" in path.read_text() for path in controller)


def module_imports(root: Path) -> dict[str, set[str]]:
    """Return the modules under a folder that each imports, at module level or for type checking, not in functions."""
    paths = {}
    for path in root.rglob("*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        paths[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    graph: dict[str, set[str]] = {}
    for name, path in paths.items():
        graph[name] = set()
        pending: list[ast.AST] = [ast.parse(path.read_text())]
        while pending:
            node = pending.pop()
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                continue
            pending += ast.iter_child_nodes(node)
            if isinstance(node, ast.Import):
                graph[name] |= {each.name for each in node.names if each.name in paths}
            elif isinstance(node, ast.ImportFrom):
                source = node.module or ""
                imported = {f"{source}.{each.name}" for each in node.names}
                if not imported <= set(paths):
                    imported.add(source)
                graph[name] |= imported & set(paths)
    return graph


def modules_in_cycles(graph: dict[str, set[str]]) -> set[str]:
    """Return the modules that are in an import cycle, or import one that is."""
    while leaves := {name for name, imported in graph.items() if not imported & set(graph)}:
        graph = {name: imported for name, imported in graph.items() if name not in leaves}
    return set(graph)


def test_modules_have_no_import_cycle() -> None:
    assert modules_in_cycles(module_imports(ROOT / "stoatgw")) == set()


def test_an_import_cycle_of_modules_is_found() -> None:
    graph = {"a": {"b"}, "b": {"c"}, "c": {"b"}, "d": set()}
    assert modules_in_cycles(graph) == {"a", "b", "c"}


def test_the_architecture_page_lists_what_each_package_imports() -> None:
    actual_imports = package_imports()
    page = (ROOT / "docs" / "architecture.md").read_text()
    table = page[page.index("| package | holds | imports |") :].split("\n\n")[0]
    rows = [[cell.strip() for cell in line.split("|")[1:-1]] for line in table.splitlines()[2:]]
    assert len(rows) == 18
    for packages, _, imports in rows:
        if imports == "nothing" or imports.startswith("`"):
            listed = set(re.findall(r"`([a-z_]+)`", imports)) | {"telemetry", "clock"}
            for package in re.findall(r"`([a-z_]+)`", packages):
                if package not in {"emulator", "lab", "cli"}:
                    assert actual_imports[package] <= listed, package


def test_the_service_does_not_import_the_lab() -> None:
    actual_imports = package_imports()
    above = {"cli", "lab", "emulator", "__main__"}  # only these may import one another; nothing below imports them
    for name, imported in actual_imports.items():
        assert name in above or not imported & above, f"{name} imports {imported & above}"


def test_run_imports_no_heavy_library() -> None:
    """`python -m stoatgw` must not load the `lab` extra's libraries, which would cost start-up time and memory."""
    code = "import sys, stoatgw.__main__, stoatgw.service; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    heavy = {"click", "numpy", "msgspec", "hdrh", "matplotlib", "rich", "pyarrow", "jinja2"}
    assert not heavy & set(loaded.stdout.split())
