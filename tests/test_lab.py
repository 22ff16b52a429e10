"""The lab: experiments that go on and overwrite nothing, comparisons, reports, the command line, and loopback."""

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
from stoatgw.lab import runner
from stoatgw.lab.compare import compare, interval
from stoatgw.lab.errors import LabError
from stoatgw.lab.experiment import Experiment, find_scenario, read_results
from stoatgw.lab.scorecard import Scorecard, overshoot, recovery_s, spread
from stoatgw.lab.tables import metrics

SHORT = ("length_s=12", "faults.0.at_s=3")


def plan(out: Path, name: str = "pauses", seeds: int = 2, changes: tuple[str, ...] = SHORT) -> Experiment:
    policies = ("module", "floor")
    return Experiment.plan(find_scenario(name), changes, "virtual", policies, range(seeds), False, out)


def files(folder: Path) -> dict[str, bytes]:
    return {
        str(path.relative_to(folder)): path.read_bytes()
        for path in sorted(folder.rglob("*"))
        if path.is_file() and path.name != "manifest.json"
    }


def test_results_are_the_same_to_the_byte_with_one_and_eight_jobs(tmp_path: Path) -> None:
    for jobs in (1, 8):
        plan(tmp_path / str(jobs), seeds=4).run(jobs, lambda _: None)
    one, eight = files(tmp_path / "1"), files(tmp_path / "8")
    assert one.keys() == eight.keys() and len(one) == 8 + 4 + 1
    assert [name for name in one if one[name] != eight[name]] == []


def test_an_interrupted_experiment_goes_on_where_it_stopped(tmp_path: Path) -> None:
    seen: list[int] = []

    def interrupt(result: runner.Result) -> None:
        seen.append(result.seed)
        if len(seen) == 3:
            raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        plan(tmp_path / "x", seeds=3).run(1, interrupt)
    kept = {path.name: path.stat().st_mtime_ns for path in (tmp_path / "x" / "runs").iterdir()}
    assert len(kept) == 3
    (tmp_path / "x" / "runs" / "floor-0.json").write_bytes(b'{"cut off')  # as a full disk would leave it
    assert len(plan(tmp_path / "x", seeds=3).run(1, lambda _: None)) == 6
    for name, changed in kept.items():
        after = (tmp_path / "x" / "runs" / name).stat().st_mtime_ns
        assert (after == changed) == (name != "floor-0.json"), name
    whole = plan(tmp_path / "y", seeds=3)
    whole.run(1, lambda _: None)
    assert files(tmp_path / "x") == files(tmp_path / "y")


def test_another_experiments_folder_is_refused(tmp_path: Path) -> None:
    out = tmp_path / "x"
    plan(out, seeds=1)
    before = files(tmp_path)
    with pytest.raises(LabError, match="holds another experiment"):
        plan(out, seeds=1, changes=(*SHORT, "clients.load=0.2"))
    (tmp_path / "mine").mkdir()
    (tmp_path / "mine" / "letter").write_text("dear")
    with pytest.raises(LabError, match="is not empty"):
        plan(tmp_path / "mine")
    with pytest.raises(LabError, match="is no folder"):
        plan(tmp_path / "mine" / "letter")
    assert files(out) == {name[2:]: data for name, data in before.items()}


def test_intervals_hold_the_mean_and_narrow_with_more_seeds() -> None:
    values = np.random.default_rng(3).normal(0.5, 0.1, 200)
    low, high = interval(values)
    few = interval(values[:10])
    assert low < values.mean() < high and high - low < few[1] - few[0]
    assert interval(values) == (low, high)
    assert interval(np.array([1.0])) == (float("-inf"), float("inf"))


def test_runs_are_compared_by_seed_and_void_ones_left_out(tmp_path: Path) -> None:
    results = plan(tmp_path / "x", seeds=3).run(1, lambda _: None)
    ours = [result for result in results if result.policy == "module"]
    theirs = [result for result in results if result.policy == "floor"]
    rows = {row.name: row for row in compare(theirs, ours[::-1])}
    expected = np.mean([metrics(a)["service"] - metrics(b)["service"] for a, b in zip(ours, theirs)])
    assert rows["service"].difference == pytest.approx(expected) and rows["service"].seeds == 3
    assert all(row.difference == 0.0 for row in compare(ours, ours))
    ours[0].void = "late"
    assert compare(theirs, ours)[0].seeds == 2
    with pytest.raises(LabError, match="no seed"):
        compare(theirs[:1], ours[1:])


def test_the_report_is_one_page_that_needs_nothing_else(tmp_path: Path) -> None:
    out = tmp_path / "x"
    run = ["lab", "run", "pauses", "--seeds", "2", "--jobs", "1", "--events", "--out", str(out)]
    for change in SHORT:
        run += ["--set", change]
    result = CliRunner().invoke(stoatgw, run)
    assert result.exit_code == 0 and "module" in result.output
    assert CliRunner().invoke(stoatgw, ["lab", "report", str(out)]).exit_code == 0
    page = (out / "report.html").read_text()
    assert page.count("data:image/png;base64,") == 4 and "http" not in page and "No rule, in 6 runs" in page
    assert len(list((out / "charts").glob("*.png"))) == 4
    with (out / "runs.csv").open() as table:
        rows = list(csv.DictReader(table))
    assert [row["policy"] for row in rows] == ["module", "floor", "top"] * 2
    kept = read_results(out)[0]
    lines = gzip.decompress((out / "events" / "module-0.jsonl.gz").read_bytes()).splitlines(keepends=True)
    assert len([decode_event(line) for line in lines]) == kept.events
    table_file, chart = tmp_path / "c.csv", tmp_path / "c.png"
    compared = CliRunner().invoke(
        stoatgw,
        ["lab", "compare", str(out), str(out), "--policy-a", "floor", "--csv", str(table_file), "--chart", str(chart)],
    )
    assert compared.exit_code == 0 and chart.stat().st_size > 5000
    with table_file.open() as table:
        assert {row["figure"] for row in csv.DictReader(table)} >= {"service", "worst_10s", "moves_per_client"}


@pytest.mark.parametrize(
    ("arguments", "told"),
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
def test_what_cannot_be_used_is_one_line_and_status_2(
    arguments: list[str], told: str, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.chdir(tmp_path)
    monkeypatch.setenv("LB_CONFIG", "")
    assert main(arguments) == 2
    error = capsys.readouterr().err
    assert error.count("\n") == 1 and error.startswith("stoatgw: ") and told in error
    assert list(tmp_path.iterdir()) == []


def test_version_help_and_completion(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--version"]) == 0 and main(["lab", "--help"]) == 0 and main(["completion", "bash"]) == 0
    told = capsys.readouterr().out
    assert "stoatgw, version" in told and "_STOATGW_COMPLETE" in told
    assert main(["lab", "list"]) == 0
    assert "pauses" in capsys.readouterr().out


TIMED = (Rule.ANSWER_IN_TIME, Rule.NO_SEND_TO_DRAINING)  # a slow machine may break these; a bench measures them


def test_a_short_loopback_day_with_real_proxies(tmp_path: Path) -> None:
    """Two real proxies, one restarted and one killed, before stand-ins: what crosses the wire keeps the rules."""
    day = load_scenario(
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
    result = runner.play_loopback(day, 1, tmp_path / "log.gz")
    events = [decode_event(line) for line in gzip.decompress((tmp_path / "log.gz").read_bytes()).splitlines()]
    assert [text for text in result.broken if not any(rule.value in text for rule in TIMED)] == []
    assert result.counts["up"] > 30 and result.counts["moved"] > 5 and result.counts["sent"] > 5
    assert sum(event.kind == "held" and event.number == 0 for event in events) >= 2
    assert result.service["whole"] > 0.2


def test_policies_by_scenario_and_the_two_drivers_are_set_side_by_side(tmp_path: Path) -> None:
    out, real = tmp_path / "virtual", tmp_path / "loopback"
    results = plan(out, seeds=3).run(1, lambda _: None)
    for name in ("runs", "events"):
        (real / name).mkdir(parents=True)
    (real / "manifest.json").write_bytes((out / "manifest.json").read_bytes())
    for result in results:
        result.service["whole"] -= 0.3  # as though loopback had served less
        (real / "runs" / f"{result.policy}-{result.seed}.json").write_bytes(runner.encode(result))
    assert CliRunner().invoke(stoatgw, ["lab", "overview", str(out), "--out", str(tmp_path / "o")]).exit_code == 0
    agree = ["lab", "agree", "--pair", str(out), str(real), "--out", str(tmp_path / "o")]
    assert CliRunner().invoke(stoatgw, agree).exit_code == 0
    with (tmp_path / "o" / "agreement.csv").open() as table:
        within = {row["figure"]: row["within"] for row in csv.DictReader(table)}
    assert within == {"service": "no", "worst_10s": "yes", "worst_class": "yes"}
    assert len(list((tmp_path / "o").glob("*.png"))) == 2


def card(*rows: tuple[object, ...]) -> Scorecard:
    """A scorecard of one client that wants 20 s from second 0, worth 2 a second, after a log."""
    population = draw_population(load_scenario(find_scenario("calm")), 400.0, RandomStreams(1))
    small = replace(
        population,
        arrival_us=np.zeros(1, dtype=np.int64),
        departure_us=np.full(1, 20_000_000),
        request_class=np.zeros(1, dtype=int),
    )
    loads = {"a": 0.9, "b": 0.5, "c": 0.95}
    found = Scorecard(small, (2.0,), 20_000_000, lambda server: loads.get(server, 0.0))
    for row in rows:
        found.feed(Event(*row))  # type: ignore[arg-type]
    return found


def test_worth_lost_is_booked_on_its_cause() -> None:
    found = card(
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
    figures = found.figures(np.full((1, 20), 2.0), np.full((1, 20), 1.0), {}, [])
    assert figures["lost_setting_up"] == pytest.approx(1.5 / 20)
    assert figures["lost_refused"] == pytest.approx(1.5 / 20)
    assert figures["lost_moved"] == pytest.approx(1.5 / 20)
    assert figures["lost_broken"] == pytest.approx(5 / 20)
    assert figures["lost_late"] == pytest.approx(0.5 - 9.5 / 20)
    assert (figures["moves"], figures["moved_twice"], figures["moved_for_nothing"]) == (2, 1, 1)


def test_recovery_ends_once_service_stays_back() -> None:
    asked, earned = np.full(40, 10.0), np.full(40, 9.5)
    earned[10:20] = 3.0
    earned[22:25] = 5.0
    faults = [(10.0, "drop begins"), (15.0, "drop ends")]
    assert recovery_s(asked, earned, faults) == pytest.approx(11, abs=1)
    assert recovery_s(asked, earned, []) == 0.0
    earned[10:] = 3.0
    assert recovery_s(asked, earned, faults) == 25.0
    loads = {"s-0": [0.5] * 20 + [0.9] * 20, "s-1": [0.5] * 40, "mean": [0.5] * 20 + [0.7] * 20}
    assert overshoot(loads, faults) == pytest.approx(0.2)
    assert spread(loads) == pytest.approx(0.2)
