"""The commands of `stoatgw lab`, one function each; text output is printed or yielded line by line."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from stoatgw.emulator.world.scenario_file import load_scenario
from stoatgw.lab.charts import draw_agreement, draw_comparison, draw_scenarios
from stoatgw.lab.compare import compare_folders
from stoatgw.lab.experiment import Experiment, ExperimentRequest
from stoatgw.lab.overview import compare_drivers, policies_by_scenario
from stoatgw.lab.progress import ExperimentProgress, print_comparison, print_rows, print_summary
from stoatgw.lab.scenarios import scenario_folder
from stoatgw.lab.tables import write_csv


def list_scenarios() -> Iterator[str]:
    """Yield the name and the description of each scenario that is shipped with the program.

    Raises:
        ScenarioError: One of the scenarios cannot be used.
    """
    for path in sorted(scenario_folder().glob("*.toml")):
        scenario = load_scenario(path)
        yield f"{scenario.name:12} {scenario.about}"


def run_experiment(request: ExperimentRequest, jobs: int | None) -> int:
    """Run an experiment with a progress bar and print its summary; return 1 if a rule was violated or a run is void.

    Raises:
        LabError: The request cannot be run, or the folder contains another experiment or other files.
        ScenarioError: The scenario cannot be used.
    """
    experiment = Experiment.plan(request)
    with ExperimentProgress(experiment) as progress:
        results = experiment.run(jobs, progress.advance)
    return print_summary(experiment, results)


def compare_experiments(
    dir_a: Path, policy_a: str, dir_b: Path, policy_b: str, *, csv_file: Path | None, chart: Path | None
) -> None:
    """Print B minus A, and write it as a table to `csv_file` and as a chart to `chart` unless these are None.

    Raises:
        LabError: A folder contains no results of the policy, or no seed was run on both sides.
    """
    differences = compare_folders(dir_a, policy_a, dir_b, policy_b)
    print_comparison(differences, f"{dir_b} ({policy_b}) minus {dir_a} ({policy_a})")
    if csv_file is not None:
        write_csv(csv_file, [difference.as_row() for difference in differences])
    if chart is not None:
        draw_comparison(differences, chart)


def write_overview(folders: list[Path], out: Path) -> None:
    """Print policies by scenario, and write the table to OUT/scenarios.csv and the chart to OUT/scenarios.png.

    Raises:
        LabError: A folder contains no results, or only void ones.
    """
    rows, services = policies_by_scenario(folders)
    out.mkdir(parents=True, exist_ok=True)
    write_csv(out / "scenarios.csv", rows)
    draw_scenarios(services, out / "scenarios.png", "service (whole run), mean and 95% interval")
    print_rows(rows, "policies by scenario")


def write_agreement(pairs: list[tuple[Path, Path]], out: Path) -> None:
    """Print loopback compared with virtual runs; write the table to OUT/agreement.csv, the chart to OUT/agreement.png.

    Raises:
        LabError: A folder contains no results, or the two of a pair differ in scenario or have no seed in common.
    """
    agreements = [each for virtual, loopback in pairs for each in compare_drivers(virtual, loopback)]
    rows = [agreement.as_row() for agreement in agreements]
    out.mkdir(parents=True, exist_ok=True)
    write_csv(out / "agreement.csv", rows)
    draw_agreement(agreements, out / "agreement.png")
    print_rows(rows, "loopback compared with virtual")
