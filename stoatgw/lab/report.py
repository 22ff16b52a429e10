"""Report of an experiment as one self-contained HTML page, with its charts also as PNG files."""

from __future__ import annotations

import base64
from pathlib import Path

import numpy as np
from jinja2 import Environment

from stoatgw.atomic_file import write_atomically
from stoatgw.lab import charts
from stoatgw.lab.compare import compare, format_mean
from stoatgw.lab.manifest import read_manifest
from stoatgw.lab.overview import INTERVAL_METRICS
from stoatgw.lab.result import MODULE, Result
from stoatgw.lab.run_task import read_results
from stoatgw.lab.tables import metrics

REFERENCE_POLICIES = ("floor", "top")

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ manifest.scenario }}</title>
<style>body{font:15px/1.45 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .7rem;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}img{max-width:100%}code{background:#f3f3f3}</style></head><body>
<h1>{{ manifest.scenario }}</h1><p>{{ about }}</p>
<p>{{ manifest.driver }}, {{ manifest.seeds|length }} seeds ({{ manifest.seeds[0] }} to {{ manifest.seeds[-1] }}),
program {{ manifest.commit }}, scenario digest <code>{{ manifest.scenario_digest }}</code>
{%- if manifest.changes %}, changed: {% for change in manifest.changes -%}
<code>{{ change }}</code> {% endfor %}{% endif %}.</p>
<table><tr><th>metric (mean, 95% interval)</th>{% for policy in policies %}<th>{{ policy }}</th>{% endfor %}</tr>
{% for name, cells in rows %}<tr><td>{{ name }}</td>{% for cell in cells %}<td>{{ cell }}</td>{% endfor %}</tr>
{% endfor %}</table>
{% if differences %}<h2>Module compared with floor and top</h2><table>
<tr><th>paired by seed</th><th>difference</th><th>interval</th></tr>
{% for cells in differences %}<tr>{% for cell in cells -%}
<td>{{ cell }}</td>{% endfor %}</tr>{% endfor %}</table>{% endif %}
<h2>Void runs and rule violations</h2>
{% if violations or void %}<ul>{% for run in void %}<li>void: {{ run }}</li>{% endfor %}
{% for violation in violations %}<li>{{ violation }}</li>{% endfor %}</ul>{% else -%}
<p>No violations in {{ runs }} runs.</p>{% endif %}
{% for title, image in images %}<h2>{{ title }}</h2><img alt="{{ title }}" src="data:image/png;base64,{{ image }}">
{% endfor %}</body></html>
"""


def write_report(folder: Path) -> Path:
    """Write FOLDER/report.html and FOLDER/charts/*.png, and return the path of the page.

    Raises:
        LabError: The folder contains no experiment, or no results.
    """
    manifest = read_manifest(folder)
    results = read_results(folder)
    valid = [result for result in results if not result.void_reason]
    shown = valid if valid else results
    policies = list(dict.fromkeys(result.policy for result in shown))
    page = (
        Environment(autoescape=True)
        .from_string(PAGE)
        .render(
            manifest=manifest,
            policies=policies,
            rows=_metric_rows(shown, policies),
            runs=len(results),
            about=_read_description(folder),
            differences=_difference_rows(shown, policies),
            void=[f"{each.policy} seed {each.seed}: {each.void_reason}" for each in results if each.void_reason],
            violations=[f"{each.policy} seed {each.seed}: {text}" for each in results for text in each.violations],
            images=[(title, _encode_image(path)) for title, path in _draw_charts(shown, policies[0], folder)],
        )
    )
    file = folder / "report.html"
    write_atomically(file, page.encode())
    return file


def _draw_charts(results: list[Result], policy: str, folder: Path) -> list[tuple[str, Path]]:
    """Draw the charts and return their titles and files; charts of a single policy show `policy`."""
    charts_folder = folder / "charts"
    charts_folder.mkdir(exist_ok=True)
    median = _median_run([result for result in results if result.policy == policy])
    return [
        ("Service over time", charts.draw_service(results, charts_folder / "service.png")),
        (f"Utilization per server, seed {median.seed}", charts.draw_loads(median, charts_folder / "loads.png")),
        ("Set-up times", charts.draw_setups(results, charts_folder / "setups.png")),
        ("Answers and migrations", charts.draw_counts(results, policy, charts_folder / "counts.png")),
    ]


def _encode_image(path: Path) -> str:
    return base64.b64encode(path.read_bytes()).decode()


def _read_description(folder: Path) -> str:
    """Return the description in the scenario's file, or an empty text."""
    file = folder / "scenario.toml"
    if not file.exists():
        return ""
    for line in file.read_text().splitlines():
        if line.startswith("about"):
            return line.partition("=")[2].strip(' "')
    return ""


def _median_run(results: list[Result]) -> Result:
    """Return the run with the median service, so that the chart shows neither the best nor the worst run."""
    return sorted(results, key=lambda result: result.service["whole"])[len(results) // 2]


def _metric_rows(results: list[Result], policies: list[str]) -> list[tuple[str, list[str]]]:
    """Return, for each metric, the mean of each policy with its interval."""
    by_policy = {policy: [metrics(result) for result in results if result.policy == policy] for policy in policies}
    return [
        (name, [format_mean(np.array([each[name] for each in by_policy[policy]])) for policy in policies])
        for name in by_policy[policies[0]][0]
    ]


def _difference_rows(results: list[Result], policies: list[str]) -> list[tuple[str, str, str]]:
    """Return the module minus each reference policy, paired by seed: metric, difference and interval."""
    if MODULE not in policies:
        return []
    module_results = [result for result in results if result.policy == MODULE]
    rows = []
    for policy in REFERENCE_POLICIES:
        if policy not in policies:
            continue
        reference_results = [result for result in results if result.policy == policy]
        for each in compare(reference_results, module_results):
            if each.name in INTERVAL_METRICS:
                name = f"{each.name}: module minus {policy}"
                rows.append((name, f"{each.difference:+.3f}", f"[{each.low:+.3f}, {each.high:+.3f}]"))
    return rows
