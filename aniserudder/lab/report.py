"""What an experiment found: tables, and one self-contained HTML page with its plots, also written as PNG."""
from __future__ import annotations

import base64
import io
from html import escape
from pathlib import Path

from .experiment import Result, base_of, bootstrap, differences, groups

COLOURS = ("#1f6f8b", "#c0392b", "#e08e0b", "#8e6bbf", "#5a7d2a", "#7f8c8d", "#2c3e50", "#b5651d")
STYLE = """body{font:15px/1.5 system-ui,sans-serif;max-width:1080px;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .8em;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}img{max-width:100%}h1{font-size:1.4em}h2{font-size:1.1em;margin-top:2em}
.bad{color:#b00020;font-weight:600}"""


def shares(results: list[Result]) -> bytes:
    """Shares within SLO by group with intervals, as PNG."""
    figure, axis = _figure(9, 0.6 + 0.42 * len(list(groups(results))))
    names = [name for name, _ in groups(results)]
    for at, (name, rows) in enumerate(groups(results)):
        found = bootstrap([r.in_slo for r in rows])
        axis.errorbar(found.mean, at, xerr=[[max(0.0, found.mean - found.low)], [max(0.0, found.high - found.mean)]], fmt="o",
                      color=COLOURS[at % len(COLOURS)], capsize=3)
        axis.scatter([r.in_slo for r in rows], [at + 0.18] * len(rows), s=8, color="#aaaaaa")
    axis.set_yticks(range(len(names)), names, fontsize=8)
    axis.invert_yaxis()
    axis.set_xlabel("share generated within SLO; bars: 95 % bootstrap; grey: single days")
    axis.grid(alpha=0.3)
    return _png(figure)


def lines(results: list[Result]) -> bytes:
    """Share within SLO over the day, as PNG."""
    figure, axis = _figure(9, 3.2)
    for at, (name, rows) in enumerate(groups(results)):
        means = []
        for spot in range(len(rows[0].line)):
            seen = [r.line[spot] for r in rows if r.line[spot] >= 0]
            means.append(sum(seen) / len(seen) if seen else None)
        axis.plot([5 * (n + 0.5) for n in range(len(means))], means, label=name, color=COLOURS[at % len(COLOURS)])
    axis.set_xlabel("% of the day")
    axis.set_ylabel("share within SLO")
    axis.legend(fontsize=7, loc="lower left")
    axis.grid(alpha=0.3)
    return _png(figure)


def latencies(results: list[Result]) -> bytes:
    """Median and 99th first token by group, as PNG."""
    figure, axis = _figure(9, 0.6 + 0.42 * len(list(groups(results))))
    names = [name for name, _ in groups(results)]
    for at, (_, rows) in enumerate(groups(results)):
        low, high = (sum(getattr(r, m) for r in rows) / len(rows) for m in ("median_ms", "p99_ms"))
        axis.plot([low, high], [at, at], color=COLOURS[at % len(COLOURS)], marker="o")
    axis.set_yticks(range(len(names)), names, fontsize=8)
    axis.invert_yaxis()
    axis.set_xscale("log")
    axis.set_xlabel("first token, ms: median and 99th")
    axis.grid(alpha=0.3, which="both")
    return _png(figure)


def page(title: str, results: list[Result], path: Path) -> list[Path]:
    """Writes the page and its pictures beside it; the files written."""
    pictures = {"shares": shares(results), "time": lines(results), "latency": latencies(results)}
    files = [path]
    for name, data in pictures.items():
        files.append(path.with_name(f"{path.stem}-{name}.png"))
        files[-1].write_bytes(data)
    all_groups = list(groups(results))
    rows = []
    for name, found in all_groups:
        broken = sorted({rule for r in found for rule in r.broken})
        base = base_of(results, name)
        apart = "-" if name == base else f"{differences(results, name, base)} of {escape(base)}"
        cells = [escape(name), str(len(found)), str(bootstrap([r.in_slo for r in found])), apart,
                 str(bootstrap([r.utility for r in found])), *(f"{sum(getattr(r, m) for r in found) / len(found):.3f}"
                                                               for m in ("rejected", "aborted", "lost")),
                 f'<span class="bad">{broken}</span>' if broken else "kept"]
        rows.append("<tr>" + "".join(f"<td>{c}</td>" for c in cells) + "</tr>")
    head = "".join(f"<th>{h}</th>" for h in ("group", "days", "within SLO", "apart, paired by seed", "utility", "rejected",
                                              "aborted", "lost", "rules"))
    images = "".join(f'<h2>{escape(label)}</h2><img alt="{escape(label)}" src="data:image/png;base64,'
                     f'{base64.b64encode(pictures[name]).decode()}">'
                     for name, label in (("shares", "Share within SLO"), ("time", "Over the day"), ("latency", "First tokens")))
    path.write_text(f"<!doctype html><html lang=en><meta charset=utf-8><title>{escape(title)}</title><style>{STYLE}</style>"
                    f"<h1>{escape(title)}</h1><p>Simulated time. {len(results)} days, {sum(r.sequences for r in results)} sequences, "
                    f"{sum(r.events for r in results)} events. Intervals: 95 %, bootstrap over days.</p>"
                    f"<table><tr>{head}</tr>{''.join(rows)}</table>{images}</html>", encoding="utf-8")
    return files


def _figure(width: float, height: float) -> tuple[object, object]:
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot
    return pyplot.subplots(figsize=(width, height), layout="constrained")


def _png(figure: object) -> bytes:
    from matplotlib import pyplot
    out = io.BytesIO()
    figure.savefig(out, dpi=100, format="png", metadata={"Software": None})
    pyplot.close(figure)
    return out.getvalue()
