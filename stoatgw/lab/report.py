"""An experiment as one self-contained HTML page, with its charts beside it as PNG."""

from __future__ import annotations

import base64
from pathlib import Path

import numpy as np
from jinja2 import Environment

from stoatgw.lab import charts
from stoatgw.lab.compare import compare, interval
from stoatgw.lab.experiment import read_manifest, read_results, write_whole
from stoatgw.lab.runner import Result
from stoatgw.lab.tables import metrics

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ manifest.scenario }}</title>
<style>body{font:15px/1.45 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .7rem;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}img{max-width:100%}code{background:#f3f3f3}</style></head><body>
<h1>{{ manifest.scenario }}</h1><p>{{ about }}</p>
<p>{{ manifest.driver }}, {{ manifest.seeds|length }} seeds ({{ manifest.seeds[0] }} to {{ manifest.seeds[-1] }}),
program {{ manifest.commit }}, scenario digest <code>{{ manifest.digest }}</code>
{%- if manifest.changes %}, changed: {% for c in manifest.changes %}<code>{{ c }}</code> {% endfor %}{% endif %}.</p>
<table><tr><th>figure (mean, 95% interval)</th>{% for p in policies %}<th>{{ p }}</th>{% endfor %}</tr>
{% for name, cells in rows %}<tr><td>{{ name }}</td>{% for c in cells %}<td>{{ c }}</td>{% endfor %}</tr>
{% endfor %}</table>
{% if gaps %}<h2>Module against floor and top</h2><table>
<tr><th>paired by seed</th><th>difference</th><th>interval</th></tr>
{% for g in gaps %}<tr><td>{{ g[0] }}</td><td>{{ g[1] }}</td><td>{{ g[2] }}</td></tr>{% endfor %}</table>{% endif %}
<h2>What broke</h2>
{% if broken or void %}<ul>{% for b in void %}<li>void: {{ b }}</li>{% endfor %}
{% for b in broken %}<li>{{ b }}</li>{% endfor %}</ul>{% else %}<p>No rule, in {{ runs }} runs.</p>{% endif %}
{% for title, image in images %}<h2>{{ title }}</h2><img alt="{{ title }}" src="data:image/png;base64,{{ image }}">
{% endfor %}</body></html>
"""


def write_report(folder: Path) -> Path:
    """Write FOLDER/report.html and FOLDER/charts/*.png; gives the page's path."""
    manifest, results = read_manifest(folder), read_results(folder)
    good = [result for result in results if not result.void] or results
    policies = list(dict.fromkeys(result.policy for result in good))
    pictures = folder / "charts"
    pictures.mkdir(exist_ok=True)
    images = [("Service over time", charts.draw_service(good, pictures / "service.png"))]
    shown = _middle([result for result in good if result.policy == policies[0]])
    images.append((f"Load per server, seed {shown.seed}", charts.draw_loads(shown, pictures / "loads.png")))
    images.append(("Set-up times", charts.draw_setups(good, pictures / "setups.png")))
    images.append(("Answers and moves", charts.draw_counts(good, policies[0], pictures / "counts.png")))
    about = (folder / "scenario.toml").read_text() if (folder / "scenario.toml").exists() else ""
    page = (
        Environment(autoescape=True)
        .from_string(PAGE)
        .render(
            manifest=manifest,
            policies=policies,
            rows=_rows(good, policies),
            runs=len(results),
            about=next(
                (line.partition("=")[2].strip(' "') for line in about.splitlines() if line.startswith("about")), ""
            ),
            gaps=_gaps(good, policies),
            void=[f"{result.policy} seed {result.seed}: {result.void}" for result in results if result.void],
            broken=[f"{result.policy} seed {result.seed}: {text}" for result in results for text in result.broken],
            images=[(title, base64.b64encode(path.read_bytes()).decode()) for title, path in images],
        )
    )
    file = folder / "report.html"
    write_whole(file, page.encode())
    return file


def _middle(results: list[Result]) -> Result:
    """The run whose service is the median: neither the best nor the worst is picked by hand."""
    return sorted(results, key=lambda result: result.service["whole"])[len(results) // 2]


def _rows(results: list[Result], policies: list[str]) -> list[tuple[str, list[str]]]:
    table = {policy: [metrics(result) for result in results if result.policy == policy] for policy in policies}
    rows = []
    for name in table[policies[0]][0]:
        cells = []
        for policy in policies:
            values = np.array([each[name] for each in table[policy]])
            low, high = interval(values)
            cells.append(f"{values.mean():.3f}" + (f" [{low:.3f}, {high:.3f}]" if len(values) > 1 else ""))
        rows.append((name, cells))
    return rows


def _gaps(results: list[Result], policies: list[str]) -> list[tuple[str, str, str]]:
    gaps = []
    for other in ("floor", "top"):
        if other not in policies or "module" not in policies:
            continue
        mine = [result for result in results if result.policy == "module"]
        theirs = [result for result in results if result.policy == other]
        for row in compare(theirs, mine):
            if row.name in ("service", "worst_10s", "worst_class", "goal"):
                gaps.append(
                    (f"{row.name}: module less {other}", f"{row.difference:+.3f}", f"[{row.low:+.3f}, {row.high:+.3f}]")
                )
    return gaps
