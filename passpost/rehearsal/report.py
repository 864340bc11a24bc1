"""Renders a run as one self-contained HTML page: figures, plots over time, and the timelines of violations."""

from __future__ import annotations

from html import escape

from passpost.rehearsal.summary import COLUMN_TITLES, OUTCOMES, Row, Summary, outcomes_by_second, summarize
from passpost.rehearsal.watch import RULES
from passpost.rehearsal.world import Run

COLOURS = {"in time": "#2a7f62", "late": "#d9a441", "refused": "#6b7fb3", "failed": "#b3423f"}
WIDTH, LEFT, TOP = 900, 110, 8  # of the plots, in units of the SVG view box
MAX_TIMELINES = 20

_STYLE = """
body{font:15px/1.45 system-ui,sans-serif;max-width:1060px;margin:2em auto;padding:0 1em;color:#222}
h1{font-size:1.5em;margin-bottom:0}h2{font-size:1.1em;margin:1.8em 0 .4em}
table{border-collapse:collapse}td,th{padding:.25em .8em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}pre{background:#f6f6f4;padding:.8em;overflow-x:auto;font-size:13px}
.good{color:#2a7f62;font-weight:600}.bad{color:#b3423f;font-weight:600}.key span{margin-right:1.4em}
.key i{display:inline-block;width:.8em;height:.8em;margin-right:.35em}svg text{font:11px system-ui,sans-serif}
"""


def render_html(run: Run) -> str:
    """The HTML page of a run."""
    figures = summarize(run)
    broken = sum(figures.violations.values())
    verdict = (
        f'<span class="bad">{broken} broken rules, {figures.faults} faults</span>'
        if broken or figures.faults
        else '<span class="good">all rules kept</span>'
    )
    parts = [
        f"<h1>{escape(figures.title)}</h1>",
        f"<p>{escape(run.scenario.about)}</p>" if run.scenario.about else "",
        f"<p>seed {figures.seed}, {figures.seconds:.0f} s, {figures.total.requests:,} requests, "
        f"{figures.total.served:.1%} served: {verdict}</p>",
        _figure_table(figures),
        "<h2>Outcomes by the second in which the request was sent</h2>",
        _legend(),
        _outcome_plot(run),
        "<h2>Requests in each node</h2>",
        _node_loads(run),
        "<h2>Events of the scenario</h2>",
        _event_log(run),
        _violations(run, figures),
    ]
    head = f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{escape(figures.title)}</title>'
    return f"{head}<style>{_STYLE}</style><body>{''.join(parts)}</body></html>\n"


def _figure_table(figures: Summary) -> str:
    def format_row(row: Row) -> str:
        return f"<tr>{''.join(f'<td>{escape(cell)}</td>' for cell in row.cells())}</tr>"

    rows = [figures.total, *figures.by_class, *figures.by_tenant]
    return (
        f"<table><tr>{''.join(f'<th>{h}</th>' for h in COLUMN_TITLES)}</tr>{''.join(map(format_row, rows))}</table>"
        f"<p>{figures.attempts_each:.2f} attempts and {figures.tries_each:.2f} tries for each request</p>"
    )


def _legend() -> str:
    spans = (f'<span><i style="background:{COLOURS[o]}"></i>{o}</span>' for o in OUTCOMES)
    return f'<p class="key">{"".join(spans)}</p>'


def _duration_s(run: Run) -> float:
    return max(run.ended_at - run.started_at, 1.0)


def _x_position(run: Run, at: float) -> float:
    """The x coordinate of a time of the run."""
    return LEFT + (WIDTH - LEFT) * min(max((at - run.started_at) / _duration_s(run), 0.0), 1.0)


def _axis(run: Run, y: float) -> str:
    duration_s = _duration_s(run)
    step = next((s for s in (1, 2, 5, 10, 20, 30, 60, 120, 300, 600) if duration_s / s <= 12), 3600)
    labels = [
        f'<text x="{_x_position(run, run.started_at + s):.1f}" y="{y + 13:.0f}" text-anchor="middle">{s} s</text>'
        for s in range(0, int(duration_s) + 1, step)
    ]
    return "".join(labels)


def _svg(height: float, content: str) -> str:
    return f'<svg viewBox="0 0 {WIDTH + 20} {height:.0f}" width="100%" role="img">{content}</svg>'


def _outcome_plot(run: Run) -> str:
    seconds, height = outcomes_by_second(run), 160
    max_requests = max((sum(c.values()) for c in seconds), default=1) or 1
    bars = []
    for second, counts in enumerate(seconds):
        x, width = _x_position(run, run.started_at + second), (WIDTH - LEFT) / _duration_s(run)
        y = float(TOP + height)
        for name in OUTCOMES:
            if counts[name]:
                bar_height = height * counts[name] / max_requests
                y -= bar_height
                bars.append(
                    f'<rect x="{x:.1f}" y="{y:.1f}" width="{max(width - 0.6, 0.4):.1f}" height="{bar_height:.1f}" '
                    f'fill="{COLOURS[name]}"><title>{second} s: {counts[name]} {name}</title></rect>'
                )
    scale = f'<text x="{LEFT - 6}" y="{TOP + 10}" text-anchor="end">{max_requests} a second</text>'
    return _svg(TOP + height + 20, "".join(bars) + scale + _axis(run, TOP + height))


def _node_loads(run: Run) -> str:
    """A row for each node: the darker, the more requests it holds; white: it does not run."""
    node_names = sorted({name for sample in run.samples for name in sample.requests_by_node})
    max_requests = (
        max((n for sample in run.samples for n in sample.requests_by_node.values()), default=1) or 1
    )
    row_height = 12 if len(node_names) <= 60 else 3
    boxes = []
    for row, name in enumerate(node_names):
        y = TOP + row * row_height
        if row_height > 10:
            boxes.append(f'<text x="{LEFT - 6}" y="{y + 10}" text-anchor="end">{escape(name[-18:])}</text>')
        for sample, next_sample in zip(run.samples, [*run.samples[1:], None], strict=True):
            held = sample.requests_by_node.get(name)
            if held is not None:
                x = _x_position(run, sample.at)
                width = _x_position(run, next_sample.at if next_sample else run.ended_at) - x
                boxes.append(
                    f'<rect x="{x:.1f}" y="{y}" width="{width + 0.3:.1f}" height="{row_height - 1}" fill="#274c77" '
                    f'fill-opacity="{0.06 + 0.94 * held / max_requests:.2f}">'
                    f"<title>{escape(name)}: {held}</title></rect>"
                )
    height = TOP + len(node_names) * row_height
    return _svg(height + 20, "".join(boxes) + _axis(run, height)) + f"<p>darkest: {max_requests} requests</p>"


def _event_log(run: Run) -> str:
    if not run.log:
        return "<p>No events.</p>"
    return (
        "<pre>"
        + escape("\n".join(f"{at - run.started_at:8.2f} s  {text}" for at, text in run.log))
        + "</pre>"
    )


def _violations(run: Run, figures: Summary) -> str:
    rows = "".join(
        f'<tr><td>{text}</td><td class="{"bad" if figures.violations[rule] else "good"}">'
        f"{figures.violations[rule] or 'kept'}</td></tr>"
        for rule, text in RULES.items()
    )
    timelines = "".join(
        f"<h2>{escape(RULES[b.rule])}: {escape(b.text)}</h2><pre>{escape(chr(10).join(b.timeline))}</pre>"
        for b in run.violations[:MAX_TIMELINES]
    )
    faults = f"<h2>Faults</h2><pre>{escape(chr(10).join(run.faults[:50]))}</pre>" if run.faults else ""
    return f"<h2>Rules</h2><table>{rows}</table>{faults}{timelines}"
