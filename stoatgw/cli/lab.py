"""`stoatgw lab`: runs scenarios, compares experiments, writes reports, and measures performance."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import wraps
from pathlib import Path
from typing import Any

import click


def _report_errors(command: Callable[..., Any]) -> Callable[..., Any]:
    """Convert the lab's errors into click's, so that a command ends with a one-line error."""

    @wraps(command)
    def wrapper(*args: Any, **kwargs: Any) -> Any:
        """Run the command."""
        from stoatgw.emulator.world.scenario_file import ScenarioError
        from stoatgw.lab.errors import LabError

        try:
            return command(*args, **kwargs)
        except (ScenarioError, LabError) as error:
            raise click.ClickException(str(error)) from error

    return wrapper


def _echo_lines(lines: Iterable[str]) -> None:
    for line in lines:
        click.echo(line)


@click.group()
def lab() -> None:
    """Run experiments in an emulated world, in virtual time or over loopback sockets."""


@lab.command("list")
@_report_errors
def list_scenarios() -> None:
    """List the built-in scenarios."""
    from stoatgw.lab import commands

    _echo_lines(commands.list_scenarios())


@lab.command()
@click.argument("scenario")
@click.option("--driver", type=click.Choice(["virtual", "loopback"]), default="virtual", show_default=True)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(["module", "floor", "top"]),
    help="The decision policy; may be repeated. Default: module, and in virtual time all three.",
)
@click.option("--seeds", type=click.IntRange(1, 10_000), default=8, show_default=True, help="Number of seeds.")
@click.option("--first-seed", type=click.IntRange(0, 1 << 40), default=0, show_default=True)
@click.option("--set", "changes", multiple=True, metavar="PATH=VALUE", help="Change a field of the scenario.")
@click.option(
    "--jobs", type=click.IntRange(1, 256), default=None, help="Runs in parallel. Default: by the number of cores."
)
@click.option("--events/--no-events", "keep_events", default=False, help="Keep the event log of each run.")
@click.option("--out", type=click.Path(path_type=Path), required=True, help="The experiment's folder.")
@_report_errors
def run(scenario: str, seeds: int, first_seed: int, jobs: int | None, **request_fields: Any) -> int:
    """Run SCENARIO (a file, or a name from `lab list`) and store the results in a folder.

    An interrupted experiment resumes where it stopped. Status 1: a rule was violated, or a run is void.
    """
    from stoatgw.lab import commands
    from stoatgw.lab.experiment import ExperimentRequest
    from stoatgw.lab.scenarios import find_scenario

    # The remaining options are named like the request's fields.
    request = ExperimentRequest(
        scenario_file=find_scenario(scenario), seeds=range(first_seed, first_seed + seeds), **request_fields
    )
    return commands.run_experiment(request, jobs)


@lab.command()
@click.argument("dir_a", type=click.Path(path_type=Path))
@click.argument("dir_b", type=click.Path(path_type=Path))
@click.option("--policy-a", default="module", show_default=True)
@click.option("--policy-b", default="module", show_default=True)
@click.option("--csv", "csv_file", type=click.Path(path_type=Path), help="Write the table to this file too.")
@click.option("--chart", type=click.Path(path_type=Path), help="Write a chart of the differences to this file (PNG).")
@_report_errors
def compare(dir_a: Path, dir_b: Path, policy_a: str, policy_b: str, csv_file: Path | None, chart: Path | None) -> None:
    """Compare two experiments: B minus A over their common seeds, with 95% bootstrap confidence intervals."""
    from stoatgw.lab import commands

    commands.compare_experiments(dir_a, policy_a, dir_b, policy_b, csv_file=csv_file, chart=chart)


@lab.command()
@click.argument("folder", type=click.Path(path_type=Path))
@_report_errors
def report(folder: Path) -> None:
    """Write FOLDER/report.html, a self-contained page, and its charts as PNG."""
    from stoatgw.lab.report import write_report

    click.echo(str(write_report(folder)))


@lab.command()
@click.argument("folders", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder for the table and the chart.")
@_report_errors
def overview(folders: tuple[Path, ...], out: Path) -> None:
    """Compare policies by scenario: a table (CSV) and a chart of several experiments."""
    from stoatgw.lab import commands

    commands.write_overview(list(folders), out)


@lab.command()
@click.option(
    "--pair",
    "pairs",
    nargs=2,
    multiple=True,
    required=True,
    type=click.Path(path_type=Path),
    metavar="VIRTUAL LOOPBACK",
    help="Two folders with results of one scenario; may be repeated.",
)
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder for the table and the chart.")
@_report_errors
def agree(pairs: tuple[tuple[Path, Path], ...], out: Path) -> None:
    """Compare loopback runs with the virtual runs that predict them."""
    from stoatgw.lab import commands

    commands.write_agreement(list(pairs), out)


@lab.command()
@click.option("--servers", multiple=True, type=click.IntRange(2, 5000), default=(8, 100, 1000), show_default=True)
@click.option("--out", type=click.Path(path_type=Path), required=True)
@_report_errors
def speed(servers: tuple[int, ...], out: Path) -> None:
    """Measure simulated seconds per second of wall time by fleet size, as a table and a chart."""
    from stoatgw.lab.speed import measure

    _echo_lines(measure(servers, out))


@lab.command()
@click.option(
    "--seconds", type=click.FloatRange(0.5, 60.0), default=4.0, show_default=True, help="Duration of a round."
)
@click.option("--rounds", type=click.IntRange(1, 50), default=5, show_default=True, help="Number of alternating pairs.")
@click.option("--clients", type=click.IntRange(1, 512), default=16, show_default=True, help="Concurrent clients.")
@click.option("--standing", type=click.IntRange(100, 20_000), default=4000, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="Write the table to this file (CSV).")
@_report_errors
def bench(seconds: float, rounds: int, clients: int, standing: int, out: Path | None) -> None:
    """Compare the proxy with a bare relay on one core: set-ups and lines per second, memory and descriptors."""
    from stoatgw.lab.bench.measure import measure

    _echo_lines(measure(seconds, rounds, clients, standing, out))


@lab.command()
@click.option("--servers", type=click.IntRange(2, 200), default=20, show_default=True)
@click.option("--out-most", "bounds", multiple=True, type=click.IntRange(1, 100), default=(1, 2, 4, 8))
@click.option("--repeats", type=click.IntRange(1, 50), default=3, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), required=True)
@_report_errors
def upkeep(servers: int, bounds: tuple[int, ...], repeats: int, out: Path) -> None:
    """Measure how long real proxies take for a rolling maintenance, as a table and a chart."""
    from stoatgw.lab.maintenance_report import measure

    _echo_lines(measure(servers, bounds, repeats, out))


@lab.command()
@click.option("--proxies", "sizes", multiple=True, type=click.IntRange(2, 400), default=(3, 10, 50), show_default=True)
@click.option("--servers", type=click.IntRange(2, 5000), default=1000, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), required=True)
@_report_errors
def sharing(sizes: tuple[int, ...], servers: int, out: Path) -> None:
    """Measure shared health checks in virtual time: checks of a server, takeover, and calls to the engine."""
    from stoatgw.lab.shared_health_checks import measure

    _echo_lines(measure(sizes, servers, out))
