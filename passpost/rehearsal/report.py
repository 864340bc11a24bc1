"""A night as one HTML file that needs nothing else: figures, plots over time, and broken rules' stories."""

from __future__ import annotations

from html import escape

from passpost.rehearsal.summary import COLUMN_TITLES, OUTCOMES, Row, Summary, outcomes_by_second, summarize
from passpost.rehearsal.watch import RULES
from passpost.rehearsal.world import Night

COLOURS = {"in time": "#2a7f62", "late": "#d9a441", "refused": "#6b7fb3", "failed": "#b3423f"}
WIDTH, LEFT, TOP = 900, 110, 8
MOST_STORIES = 20

_STYLE = """
body{font:15px/1.45 system-ui,sans-serif;max-width:1060px;margin:2em auto;padding:0 1em;color:#222}
h1{font-size:1.5em;margin-bottom:0}h2{font-size:1.1em;margin:1.8em 0 .4em}
table{border-collapse:collapse}td,th{padding:.25em .8em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}pre{background:#f6f6f4;padding:.8em;overflow-x:auto;font-size:13px}
.good{color:#2a7f62;font-weight:600}.bad{color:#b3423f;font-weight:600}.key span{margin-right:1.4em}
.key i{display:inline-block;width:.8em;height:.8em;margin-right:.35em}svg text{font:11px system-ui,sans-serif}
"""


def render_html(night: Night) -> str:
    """The page."""
    figures = summarize(night)
    broken = sum(figures.violations.values())
    verdict = (
        f'<span class="bad">{broken} broken rules, {figures.faults} faults</span>'
        if broken or figures.faults
        else '<span class="good">all four rules kept</span>'
    )
    parts = [
        f"<h1>{escape(figures.title)}</h1>",
        f"<p>{escape(night.script.about)}</p>" if night.script.about else "",
        f"<p>seed {figures.seed}, {figures.seconds:.0f} s, {figures.total.requests:,} requests, "
        f"{figures.total.served:.1%} served: {verdict}</p>",
        _table(figures),
        "<h2>Outcomes by the second in which they were asked</h2>",
        _key(),
        _outcomes(night),
        "<h2>Requests inside each node</h2>",
        _loads(night),
        "<h2>What the script did</h2>",
        _events(night),
        _rules(night, figures),
    ]
    head = f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{escape(figures.title)}</title>'
    return f"{head}<style>{_STYLE}</style><body>{''.join(parts)}</body></html>\n"


def _table(figures: Summary) -> str:
    def row(line: Row) -> str:
        return f"<tr>{''.join(f'<td>{escape(cell)}</td>' for cell in line.cells())}</tr>"

    lines = [figures.total, *figures.by_class, *figures.by_tenant]
    return (
        f"<table><tr>{''.join(f'<th>{h}</th>' for h in COLUMN_TITLES)}</tr>{''.join(map(row, lines))}</table>"
        f"<p>{figures.attempts_each:.2f} attempts and {figures.tries_each:.2f} tries for each request</p>"
    )


def _key() -> str:
    spans = (f'<span><i style="background:{COLOURS[o]}"></i>{o}</span>' for o in OUTCOMES)
    return f'<p class="key">{"".join(spans)}</p>'


def _span(night: Night) -> float:
    return max(night.ended - night.began, 1.0)


def _x(night: Night, at: float) -> float:
    return LEFT + (WIDTH - LEFT) * min(max((at - night.began) / _span(night), 0.0), 1.0)


def _axis(night: Night, y: float) -> str:
    span = _span(night)
    step = next((s for s in (1, 2, 5, 10, 20, 30, 60, 120, 300, 600) if span / s <= 12), 3600)
    marks = [
        f'<text x="{_x(night, night.began + s):.1f}" y="{y + 13:.0f}" text-anchor="middle">{s} s</text>'
        for s in range(0, int(span) + 1, step)
    ]
    return "".join(marks)


def _svg(height: float, inside: str) -> str:
    return f'<svg viewBox="0 0 {WIDTH + 20} {height:.0f}" width="100%" role="img">{inside}</svg>'


def _outcomes(night: Night) -> str:
    seconds, height = outcomes_by_second(night), 160
    most = max((sum(c.values()) for c in seconds), default=1) or 1
    bars = []
    for i, counts in enumerate(seconds):
        x, wide = _x(night, night.began + i), (WIDTH - LEFT) / _span(night)
        y = float(TOP + height)
        for name in OUTCOMES:
            if counts[name]:
                tall = height * counts[name] / most
                y -= tall
                bars.append(
                    f'<rect x="{x:.1f}" y="{y:.1f}" width="{max(wide - 0.6, 0.4):.1f}" height="{tall:.1f}" '
                    f'fill="{COLOURS[name]}"><title>{i} s: {counts[name]} {name}</title></rect>'
                )
    scale = f'<text x="{LEFT - 6}" y="{TOP + 10}" text-anchor="end">{most} a second</text>'
    return _svg(TOP + height + 20, "".join(bars) + scale + _axis(night, TOP + height))


def _loads(night: Night) -> str:
    """A strip for each node: the darker, the more requests are inside; white: it does not run."""
    names = sorted({name for sample in night.samples for name in sample.holding})
    most = max((n for sample in night.samples for n in sample.holding.values()), default=1) or 1
    tall = 12 if len(names) <= 60 else 3
    boxes = []
    for row, name in enumerate(names):
        y = TOP + row * tall
        if tall > 10:
            boxes.append(f'<text x="{LEFT - 6}" y="{y + 10}" text-anchor="end">{escape(name[-18:])}</text>')
        for sample, after in zip(night.samples, [*night.samples[1:], None], strict=True):
            inside = sample.holding.get(name)
            if inside is not None:
                x = _x(night, sample.at)
                wide = _x(night, after.at if after else night.ended) - x
                boxes.append(
                    f'<rect x="{x:.1f}" y="{y}" width="{wide + 0.3:.1f}" height="{tall - 1}" fill="#274c77" '
                    f'fill-opacity="{0.06 + 0.94 * inside / most:.2f}">'
                    f"<title>{escape(name)}: {inside}</title></rect>"
                )
    height = TOP + len(names) * tall
    return _svg(height + 20, "".join(boxes) + _axis(night, height)) + f"<p>darkest: {most} inside</p>"


def _events(night: Night) -> str:
    if not night.log:
        return "<p>Nothing: a calm night.</p>"
    return (
        "<pre>" + escape("\n".join(f"{at - night.began:8.2f} s  {text}" for at, text in night.log)) + "</pre>"
    )


def _rules(night: Night, figures: Summary) -> str:
    rows = "".join(
        f'<tr><td>{text}</td><td class="{"bad" if figures.violations[rule] else "good"}">'
        f"{figures.violations[rule] or 'kept'}</td></tr>"
        for rule, text in RULES.items()
    )
    stories = "".join(
        f"<h2>{escape(RULES[b.rule])}: {escape(b.text)}</h2><pre>{escape(chr(10).join(b.timeline))}</pre>"
        for b in night.breaks[:MOST_STORIES]
    )
    faults = f"<h2>Faults</h2><pre>{escape(chr(10).join(night.faults[:50]))}</pre>" if night.faults else ""
    return f"<h2>Rules</h2><table>{rows}</table>{faults}{stories}"
