"""The lab: resuming experiments without overwriting others, comparisons, reports, command line, and loopback runs."""

from __future__ import annotations

import csv
import gzip
from dataclasses import replace
from pathlib import Path

import numpy as np
import pytest
from click.testing import CliRunner

from stoatgw.cli.main import main, stoatgw
from stoatgw.emulator.checker.rules import Rule
from stoatgw.emulator.world.events import Event, EventKind, decode_event
from stoatgw.emulator.world.population import draw_population
from stoatgw.emulator.world.scenario_file import load_scenario
from stoatgw.emulator.world.streams import RandomStreams
from stoatgw.lab.compare import compare, confidence_interval
from stoatgw.lab.errors import LabError
from stoatgw.lab.experiment import Experiment, ExperimentRequest
from stoatgw.lab.manifest import Manifest
from stoatgw.lab.recovery import overshoot, recovery_s, spread
from stoatgw.lab.result import Result, encode_result
from stoatgw.lab.run_task import read_results
from stoatgw.lab.runner import run_loopback
from stoatgw.lab.scenarios import find_scenario
from stoatgw.lab.scorecard import Scorecard
from stoatgw.lab.tables import metrics

SHORT_CHANGES = ("length_s=12", "faults.0.at_s=3")


def plan_experiment(
    out: Path, name: str = "pauses", seeds: int = 2, changes: tuple[str, ...] = SHORT_CHANGES
) -> Experiment:
    request = ExperimentRequest(
        scenario_file=find_scenario(name), out=out, policies=("module", "floor"), seeds=range(seeds), changes=changes
    )
    return Experiment.plan(request)


def read_files(folder: Path) -> dict[str, bytes]:
    return {
        str(path.relative_to(folder)): path.read_bytes()
        for path in sorted(folder.rglob("*"))
        if path.is_file() and path.name != "manifest.json"
    }


def test_results_are_identical_with_one_and_eight_jobs(tmp_path: Path) -> None:
    for jobs in (1, 8):
        plan_experiment(tmp_path / str(jobs), seeds=4).run(jobs, lambda _: None)
    one_job = read_files(tmp_path / "1")
    eight_jobs = read_files(tmp_path / "8")
    assert one_job.keys() == eight_jobs.keys()
    assert len(one_job) == 8 + 4 + 1  # results, tables, scenario.toml
    assert [name for name in one_job if one_job[name] != eight_jobs[name]] == []


def test_an_interrupted_experiment_resumes_without_repeating_runs(tmp_path: Path) -> None:
    seeds_run: list[int] = []

    def interrupt(result: Result) -> None:
        seeds_run.append(result.seed)
        if len(seeds_run) == 3:
            raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        plan_experiment(tmp_path / "x", seeds=3).run(1, interrupt)
    modified_ns = {path.name: path.stat().st_mtime_ns for path in (tmp_path / "x" / "runs").iterdir()}
    assert len(modified_ns) == 3
    (tmp_path / "x" / "runs" / "floor-0.json").write_bytes(b'{"cut off')  # as a full disk can leave it
    assert len(plan_experiment(tmp_path / "x", seeds=3).run(1, lambda _: None)) == 6
    for name, before in modified_ns.items():
        after = (tmp_path / "x" / "runs" / name).stat().st_mtime_ns
        assert (after == before) == (name != "floor-0.json"), name
    plan_experiment(tmp_path / "y", seeds=3).run(1, lambda _: None)
    assert read_files(tmp_path / "x") == read_files(tmp_path / "y")


def test_the_folder_of_another_experiment_is_rejected(tmp_path: Path) -> None:
    out = tmp_path / "x"
    plan_experiment(out, seeds=1)
    before = read_files(tmp_path)
    with pytest.raises(LabError, match="contains another experiment"):
        plan_experiment(out, seeds=1, changes=(*SHORT_CHANGES, "clients.load=0.2"))
    (tmp_path / "other").mkdir()
    (tmp_path / "other" / "file").write_text("content")
    with pytest.raises(LabError, match="is not empty"):
        plan_experiment(tmp_path / "other")
    with pytest.raises(LabError, match="is not a folder"):
        plan_experiment(tmp_path / "other" / "file")
    assert read_files(out) == {name[2:]: data for name, data in before.items()}


def test_intervals_contain_the_mean_and_narrow_with_more_seeds() -> None:
    values = np.random.default_rng(3).normal(0.5, 0.1, 200)
    low, high = confidence_interval(values)
    low_of_few, high_of_few = confidence_interval(values[:10])
    assert low < values.mean() < high
    assert high - low < high_of_few - low_of_few
    assert confidence_interval(values) == (low, high)
    assert confidence_interval(np.array([1.0])) == (float("-inf"), float("inf"))


def test_runs_are_compared_by_seed_and_void_runs_are_excluded(tmp_path: Path) -> None:
    results = plan_experiment(tmp_path / "x", seeds=3).run(1, lambda _: None)
    module = [result for result in results if result.policy == "module"]
    floor = [result for result in results if result.policy == "floor"]
    differences = {each.name: each for each in compare(floor, module[::-1])}
    expected = np.mean([metrics(a)["service"] - metrics(b)["service"] for a, b in zip(module, floor, strict=True)])
    assert differences["service"].difference == pytest.approx(expected)
    assert differences["service"].seeds == 3
    assert all(each.difference == 0.0 for each in compare(module, module))
    module[0].void_reason = "late"
    assert compare(floor, module)[0].seeds == 2
    with pytest.raises(LabError, match="no seed"):
        compare(floor[:1], module[1:])


def test_the_report_is_one_self_contained_page(tmp_path: Path) -> None:
    out = tmp_path / "x"
    arguments = ["lab", "run", "pauses", "--seeds", "2", "--jobs", "1", "--events", "--out", str(out)]
    for change in SHORT_CHANGES:
        arguments += ["--set", change]
    result = CliRunner().invoke(stoatgw, arguments)
    assert result.exit_code == 0
    assert "module" in result.output
    assert CliRunner().invoke(stoatgw, ["lab", "report", str(out)]).exit_code == 0
    page = (out / "report.html").read_text()
    assert page.count("data:image/png;base64,") == 4
    assert "http" not in page
    assert "No violations in 6 runs" in page
    assert len(list((out / "charts").glob("*.png"))) == 4
    with (out / "runs.csv").open() as table:
        rows = list(csv.DictReader(table))
    assert [row["policy"] for row in rows] == ["module", "floor", "top"] * 2
    first = read_results(out)[0]
    lines = gzip.decompress((out / "events" / "module-0.jsonl.gz").read_bytes()).splitlines(keepends=True)
    assert len([decode_event(line) for line in lines]) == first.event_count
    table_file = tmp_path / "c.csv"
    chart = tmp_path / "c.png"
    compared = CliRunner().invoke(
        stoatgw,
        ["lab", "compare", str(out), str(out), "--policy-a", "floor", "--csv", str(table_file), "--chart", str(chart)],
    )
    assert compared.exit_code == 0
    assert chart.stat().st_size > 5000
    with table_file.open() as table:
        assert {row["figure"] for row in csv.DictReader(table)} >= {"service", "worst_10s", "moves_per_client"}


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["lab", "run", "nowhere", "--out", "x"], "nowhere: no such file"),
        (["lab", "run", "calm", "--set", "clients.laod=1", "--out", "x"], "clients.laod: unknown field"),
        (["lab", "run", "calm", "--driver", "loopback", "--policy", "top", "--out", "x"], "--policy: "),
        (["lab", "run", "calm"], "--out"),
        (["lab", "report", "nowhere"], "manifest.json: cannot be read"),
        (["lab", "compare", "a", "b"], "a/manifest.json: cannot be read"),
        (["run", "--lb-config", "nowhere.json"], "cannot read nowhere.json"),
        (["frobnicate"], "frobnicate"),
    ],
)
def test_unusable_arguments_give_one_line_and_status_2(
    arguments: list[str],
    expected: str,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
) -> None:
    monkeypatch.chdir(tmp_path)
    monkeypatch.setenv("LB_CONFIG", "")
    assert main(arguments) == 2
    error = capsys.readouterr().err
    assert error.count("\n") == 1
    assert error.startswith("stoatgw: ")
    assert expected in error
    assert list(tmp_path.iterdir()) == []


def test_version_help_and_completion(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--version"]) == 0
    assert main(["lab", "--help"]) == 0
    assert main(["completion", "bash"]) == 0
    output = capsys.readouterr().out
    assert "stoatgw, version" in output
    assert "_STOATGW_COMPLETE" in output
    assert main(["lab", "list"]) == 0
    assert "pauses" in capsys.readouterr().out


TIMING_RULES = (Rule.ANSWER_IN_TIME, Rule.NO_SEND_TO_DRAINING)  # slow machines may violate them; a bench measures them


def test_a_short_loopback_run_with_real_proxies(tmp_path: Path) -> None:
    """Two proxies before modelled servers, one restarted and one killed, violate no rule except those on timing."""
    scenario = load_scenario(
        find_scenario("calm"),
        (
            "length_s=9",
            "proxies.count=2",
            "fleet.servers=4",
            "clients.load=0.25",
            "proxies.restart_s=[0.2, 0.3]",
            "faults=[{kind='restart_proxies', at_s=1, every_s=60}, {kind='shrink', at_s=3, to=0.75, over_s=0.1},"
            " {kind='kill_proxy', at_s=6, proxy=1, back_s=0.5}]",
        ),
    )
    result = run_loopback(scenario, 1, tmp_path / "log.gz")
    events = [decode_event(line) for line in gzip.decompress((tmp_path / "log.gz").read_bytes()).splitlines()]
    assert [text for text in result.violations if not any(rule.value in text for rule in TIMING_RULES)] == []
    assert result.checker_counts["up"] > 30
    assert result.checker_counts["moved"] > 5
    assert result.checker_counts["sent"] > 5
    assert sum(event.kind == "held" and event.number == 0 for event in events) >= 2
    assert result.service["whole"] > 0.2


def test_overview_compares_policies_and_agree_compares_the_drivers(tmp_path: Path) -> None:
    out = tmp_path / "virtual"
    loopback = tmp_path / "loopback"
    results = plan_experiment(out, seeds=3).run(1, lambda _: None)
    for name in ("runs", "events"):
        (loopback / name).mkdir(parents=True)
    (loopback / "manifest.json").write_bytes((out / "manifest.json").read_bytes())
    for result in results:
        result.service["whole"] -= 0.3  # as if loopback had served less
        (loopback / "runs" / f"{result.policy}-{result.seed}.json").write_bytes(encode_result(result))
    assert CliRunner().invoke(stoatgw, ["lab", "overview", str(out), "--out", str(tmp_path / "o")]).exit_code == 0
    agree = ["lab", "agree", "--pair", str(out), str(loopback), "--out", str(tmp_path / "o")]
    assert CliRunner().invoke(stoatgw, agree).exit_code == 0
    with (tmp_path / "o" / "agreement.csv").open() as table:
        within = {row["figure"]: row["within"] for row in csv.DictReader(table)}
    assert within == {"service": "no", "worst_10s": "yes", "worst_class": "yes"}
    assert len(list((tmp_path / "o").glob("*.png"))) == 2


def feed_scorecard(*rows: tuple[object, ...]) -> Scorecard:
    """Return a scorecard fed with `rows`, of one client that wants a session from 0 s to 20 s, with weight 2."""
    population = draw_population(load_scenario(find_scenario("calm")), 400.0, RandomStreams(1))
    one_client = replace(
        population,
        arrival_us=np.zeros(1, dtype=np.int64),
        departure_us=np.full(1, 20_000_000),
        request_class=np.zeros(1, dtype=int),
    )
    utilization = {"a": 0.9, "b": 0.5, "c": 0.95}
    scorecard = Scorecard(one_client, (2.0,), 20_000_000, lambda server: utilization.get(server, 0.0))
    for row in rows:
        scorecard.feed(Event(*row))  # type: ignore[arg-type]
    return scorecard


def test_lost_weight_is_accounted_to_its_cause() -> None:
    scorecard = feed_scorecard(
        (1_000_000, EventKind.REQUEST_RECEIVED, "n", "r", "", 0, "0"),
        (1_500_000, EventKind.REQUEST_ANSWERED, "n", "r", "", 0, "busy"),
        (2_000_000, EventKind.REQUEST_RECEIVED, "n", "s", "", 0, "0"),
        (3_000_000, EventKind.SESSION_ESTABLISHED, "n", "s", "a", 0, "0"),
        (8_000_000, EventKind.SESSION_MIGRATED, "n", "s", "", 0, "moved"),
        (9_000_000, EventKind.SESSION_ESTABLISHED, "n", "t", "b", 0, "0"),
        (12_000_000, EventKind.SESSION_MIGRATED, "n", "t", "", 0, "moved"),
        (12_500_000, EventKind.SESSION_ESTABLISHED, "n", "u", "c", 0, "0"),
        (15_000_000, EventKind.SESSION_ENDED, "n", "u", "", 0, "broken"),
    )
    recovery = scorecard.compute_metrics(np.full((1, 20), 2.0), np.full((1, 20), 1.0), {}, [])
    assert recovery["lost_setting_up"] == pytest.approx(1.5 / 20)
    assert recovery["lost_refused"] == pytest.approx(1.5 / 20)
    assert recovery["lost_moved"] == pytest.approx(1.5 / 20)
    assert recovery["lost_broken"] == pytest.approx(5 / 20)
    assert recovery["lost_late"] == pytest.approx(0.5 - 9.5 / 20)
    assert (recovery["moves"], recovery["moved_twice"], recovery["moved_for_nothing"]) == (2, 1, 1)


def test_stored_field_names_stay() -> None:
    """Guards against a renamed attribute in stored JSON, which older experiments and other tools depend on."""
    names = (
        "scenario digest seed policy driver void service goal tally shares broken broken_count events events_digest "
        "counts faults asked earned classes seconds loads setups proxies servers standing recovery"
    )
    assert list(Result.__struct_encode_fields__) == names.split()
    manifest_names = "format scenario digest changes driver policies seeds commit versions"
    assert list(Manifest.__struct_encode_fields__) == manifest_names.split()


def test_recovery_time_ends_once_service_stays_recovered() -> None:
    demanded = np.full(40, 10.0)
    earned = np.full(40, 9.5)
    earned[10:20] = 3.0
    earned[22:25] = 5.0
    faults = [(10.0, "drop begins"), (15.0, "drop ends")]
    assert recovery_s(demanded, earned, faults) == pytest.approx(11, abs=1)
    assert recovery_s(demanded, earned, []) == 0.0
    earned[10:] = 3.0
    assert recovery_s(demanded, earned, faults) == 25.0
    utilization = {"s-0": [0.5] * 20 + [0.9] * 20, "s-1": [0.5] * 40, "mean": [0.5] * 20 + [0.7] * 20}
    assert overshoot(utilization, faults) == pytest.approx(0.2)
    assert spread(utilization) == pytest.approx(0.2)
