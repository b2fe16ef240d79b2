"""Checks the five rules from a record of what was seen at the sockets, never from the router's own word.

What joins a client's try to what engines saw of it is the ``ref`` in the prompt itself. Every rule is a function of
the record that returns findings; ``audit`` puts them together with the counts by traffic type.
"""
from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

RULES = {1: "one timely final answer, nothing after it", 2: "no effect twice", 3: "drains kept",
         4: "no cold engine pushed over", 5: "nothing left pinned"}
PROVES = {"full", "draining", "no_state"}  # an engine's results that prove that a writer did nothing
FALL_SLACK = 4                             # sequences that chance may add to a cold engine's budget


class BadRecord(Exception):
    """A record that cannot be read."""


@dataclass(slots=True, frozen=True)
class Finding:
    """One breach of a rule."""
    rule: int
    at: int
    text: str


@dataclass(slots=True)
class TypeCounts:
    """What became of one traffic type's operations and tries."""
    asked: int = 0        # operations
    tries: int = 0
    in_slo: int = 0
    late: int = 0
    rejected: int = 0
    aborted: int = 0
    left: int = 0
    lost: int = 0         # with a node that was killed
    effects: int = 0
    latency: list[int] = field(default_factory=list)


@dataclass(slots=True)
class Verdict:
    """What the audit found."""
    findings: list[Finding]
    types: dict[str, TypeCounts]
    checked: dict[int, int]     # by rule: how many things were held against it
    sequences: int = 0
    exempt: int = 0             # sends that a cut held back, and holds that could not be let go over one

    @property
    def broken(self) -> list[int]:
        return sorted({f.rule for f in self.findings})


@dataclass(slots=True)
class Attempt:
    """One request as an engine saw it."""
    at: int
    engine: str
    node: str
    reads: bool
    held_back: bool
    end: int = -1
    result: str = ""
    forced: int = 0   # words of a forced beginning
    read: int = 0     # prompt tokens that it read


@dataclass(slots=True)
class Try:
    """One try of a client as it saw it."""
    ref: str
    asked: dict[str, Any]
    first: int = -1
    finals: list[dict[str, Any]] = field(default_factory=list)
    ends: list[dict[str, Any]] = field(default_factory=list)  # left, lost, gave_up, malformed
    extra: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    effects: int = 0
    repeats: int = 0
    back: int = 0     # times that its client came back
    away: int = -1    # when its client last lost its connection


class Record:
    """A record, put in order for the rules."""

    def __init__(self, lines: Iterable[dict[str, Any]]) -> None:
        self.lines = lines = list(lines)
        self.day: dict[str, Any] = {}
        self.tries: dict[str, Try] = {}
        self.stray: list[Attempt] = []              # requests that no client asked for
        self.holds: list[dict[str, Any]] = []
        self.hold_ends: dict[str, dict[str, Any]] = {}
        self.told: dict[tuple[str, str], list[tuple[int, str, float]]] = defaultdict(list)
        self.lives: dict[str, list[tuple[int, str]]] = defaultdict(list)  # of nodes
        self.ups: dict[str, list[dict[str, Any]]] = defaultdict(list)
        self.fell: list[dict[str, Any]] = []
        self.cuts: list[tuple[int, int, str, str]] = []  # from, to, engine, zone
        self.downs: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self.by_engine: dict[str, list[Attempt]] = defaultdict(list)
        self.effects: list[dict[str, Any]] = []
        self.floods: list[tuple[int, int, str]] = []
        self.stalls: list[tuple[int, int]] = []     # from, to: the witness itself was too busy to look
        self.freezes: list[tuple[int, int, str]] = []  # from, to, node: its process was stopped
        frozen: dict[str, int] = {}
        self.end = 0
        out: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
        open_cuts: dict[tuple[str, str], int] = {}
        down: dict[str, int] = {}
        for line in lines:
            at, what = line["at"], line["what"]
            self.end = max(self.end, at)
            match what:
                case "day":
                    self.day = line
                case "asked":
                    self.tries[line["ref"]] = Try(line["ref"], line)
                case "first" | "answered" | "left" | "lost" | "gave_up" | "malformed" | "extra":
                    self._client(line)
                case "attempt":
                    one = Attempt(at, line["engine"], line["node"], line["reads"], bool(line.get("held_back")),
                                  forced=line.get("forced", 0))
                    out[line["engine"], line["ref"]].append(one)
                    self.by_engine[line["engine"]].append(one)
                    known = self.tries.get(line["ref"])
                    (known.attempts if known else self.stray).append(one)
                case "attempt_end":
                    waiting = out[line["engine"], line["ref"]]
                    if waiting:
                        one = waiting.pop(0)
                        one.end, one.result, one.read = at, line["result"], line.get("read", 0)
                case "back":
                    self.tries[line["ref"]].back += 1
                case "away":
                    self.tries[line["ref"]].away = at
                case "effect" | "repeat":
                    self.effects.append(line)
                    known = self.tries.get(line["ref"])
                    if known:
                        known.effects += what == "effect"
                        known.repeats += what == "repeat"
                case "held":
                    self.holds.append(line)
                case "taken" | "let_go" | "let_go_asked" | "expired" | "lost_state":
                    self.hold_ends.setdefault(line["block"], line)  # a node is done when it has asked
                case "told":
                    self.told[line["node"], line["engine"]].append((at, line["availability"], line["started_at"]))
                case "told_all":
                    for (node, engine), news in self.told.items():
                        if node == line["node"] and engine not in line["engines"] and news[-1][1] != "gone":
                            news.append((at, "gone", 0.0))
                case "node_started" | "node_killed" | "node_stopping" | "node_ended":
                    self.lives[line["node"]].append((at, what))
                case "engine_up":
                    self.ups[line["engine"]].append(line)
                    if line["engine"] in down:
                        self.downs[line["engine"]].append((down.pop(line["engine"]), at))
                case "engine_down":
                    down.setdefault(line["engine"], at)
                case "trouble" if line["trouble"] == "flood":
                    self.floods.append((at, at + round(line["seconds"] * 1e6) + 1_000_000, f"node-{line['zone']}-"))
                case "stalled":
                    self.stalls.append((at - line["us"], at))
                case "frozen":
                    frozen[line["node"]] = at
                case "thawed" if line["node"] in frozen:
                    self.freezes.append((frozen.pop(line["node"]), at, line["node"]))
                case "fell":
                    self.fell.append(line)
                case "cut":
                    open_cuts[line["engine"], line["zone"]] = at
                case "healed":
                    self.cuts += [(since, at, engine, zone) for (engine, zone), since in open_cuts.items()]
                    open_cuts.clear()
        self.cuts += [(since, self.end, engine, zone) for (engine, zone), since in open_cuts.items()]
        for engine, since in down.items():
            self.downs[engine].append((since, self.end))
        if not self.day:
            raise BadRecord("no line 'day': not a record of a rehearsal")

    def _client(self, line: dict[str, Any]) -> None:
        known = self.tries.get(line["ref"])
        if known is None:
            raise BadRecord(f"{line['what']} for {line['ref']}, which nobody asked for")
        match line["what"]:
            case "first":
                known.first = line["at"]
            case "answered":
                known.finals.append(line)
            case "extra":
                known.extra = True
            case _:
                known.ends.append(line)

    def rule(self, name: str) -> int:
        """A figure of the rules, in microseconds."""
        return round(self.day["rules"][name] * 1000)

    def flooded(self, node: str, at: int) -> bool:
        """Whether a runaway client was at that node then."""
        return any(b <= at <= e and node.startswith(nodes) for b, e, nodes in self.floods)

    def stalled(self, since: int, until: int) -> int:
        """How long the witness did not look within that time and just before it, in microseconds."""
        return sum(min(e, until) - max(b, since - (e - b)) for b, e in self.stalls if b < until and e > since)

    def frozen(self, node: str, since: int, until: int) -> int:
        """How long the node was stopped within that time, in microseconds: nothing can be asked of it then."""
        return sum(min(e, until) - max(b, since) for b, e, name in self.freezes if name == node and b < until and e > since)

    def died(self, node: str, since: int) -> bool:
        """Whether the node was killed at or after that time, before it could be restarted, or was just dying then."""
        before = ""
        for at, what in self.lives[node]:
            if at >= since:
                return "node_killed" in (what, before)
            before = what
        return before == "node_killed"

    def stopping(self, node: str, since: int) -> int:
        """When the node began to stop that ran at that time; 0: it did not."""
        return next((at for at, what in self.lives[node] if what == "node_stopping" and at >= since), 0)

    def life(self, node: str, at: int) -> int:
        """When the life of the node began that ran at that time."""
        return max((t for t, what in self.lives[node] if what == "node_started" and t <= at), default=0)


def read(lines: Iterable[bytes]) -> Record:
    """Reads a record's lines.

    Raises:
        BadRecord: a line is no JSON object with the fields that belong to it.
    """
    decode = msgspec.json.Decoder(dict[str, Any]).decode
    try:
        return Record([decode(line) for line in lines if line.strip()])
    except (msgspec.DecodeError, KeyError, TypeError) as wrong:
        raise BadRecord(f"{type(wrong).__name__}: {wrong}") from None


def audit(record: Record) -> Verdict:
    """Holds a record against the five rules."""
    findings: list[Finding] = []
    checked: dict[int, int] = {}
    verdict = Verdict(findings, {}, checked, len(record.tries))
    for rule, check in ((1, _answers), (2, _effects), (3, _drains), (4, _cold), (5, _pinned)):
        found, count, exempt = check(record)
        findings += found
        checked[rule] = count
        verdict.exempt += exempt
    findings.sort(key=lambda f: (f.at, f.rule))
    _count(record, verdict)
    return verdict


Checked = tuple[list[Finding], int, int]


def _answers(record: Record) -> Checked:
    """Rule 1. A try that a node took and outlived has one final answer, in time, and nothing after it."""
    found: list[Finding] = []
    count = exempt = 0
    slack = record.rule("answer_slack_ms") + record.rule("seen_slack_ms")
    for one in record.tries.values():
        at, node = one.asked["at"], one.asked["node"]
        count += 1

        def broke(text: str, when: int = at) -> None:
            found.append(Finding(1, when, f"{one.ref} ({one.asked['type']}, {node}): {text}"))

        gone = [e for e in one.ends if e["what"] in ("left", "gave_up")]
        if len(one.finals) > 1:
            broke("two final answers", one.finals[1]["at"])
        if one.extra:
            broke("something came after its final answer")
        if not one.finals:
            lost = [e for e in one.ends if e["what"] in ("lost", "malformed")]
            if lost and record.flooded(node, at) and not one.attempts and one.first < 0 and not one.asked["customer"]:
                exempt += 1  # a stranger that was turned away at the door of a flooded node: it was never taken
                continue
            if lost and one.away >= 0 and record.stopping(node, at) and lost[0]["at"] >= record.stopping(node, at):
                exempt += 1  # it had gone by itself, and came back to a node that takes nobody in any more
            elif not lost and gone and record.frozen(node, at, gone[0]["at"]):
                exempt += 1  # its client gave up while the node's process was stopped
            elif lost and not record.died(node, at):
                broke("the connection ended without a final answer", lost[0]["at"])
            elif not lost and not [e for e in gone if e["what"] == "left"] and not record.died(node, at):
                broke("no final answer", gone[0]["at"] if gone else at)
            continue
        final = one.finals[0]
        # A started stream has no abandon time any more; a whole answer is all there is.
        timely = one.first if one.first >= 0 and one.asked["streamed"] else final["at"]
        if timely > at + one.asked["abandon_us"] + slack + record.stalled(at, timely) + record.frozen(node, at, timely):
            broke(f"answered {(timely - at) / 1000:.0f} ms after it was asked, abandoned after "
                  f"{one.asked['abandon_us'] / 1000:.0f} ms", timely)
        if not final["in_order"] or not final.get("alike", True):
            broke("text is missing, doubled or another than its engines' reference", final["at"])
        if final["kind"] == "generated" and not one.effects + one.repeats:
            broke("called generated, and no engine generated it", final["at"])
        for attempt in one.attempts:
            if attempt.at > (final["at"] + slack + record.stalled(final["at"], attempt.at)
                             + record.frozen(node, final["at"], attempt.at)):
                if attempt.held_back:
                    exempt += 1
                else:
                    broke(f"sent to {attempt.engine} after its final answer", attempt.at)
    return found, count, exempt


def _effects(record: Record) -> Checked:
    """Rule 2. Counted by the engines: no once-only sequence runs twice or is sent again after it may have run; what
    is rejected has had no effect, so that no operation has two; repeats of a mark have none."""
    found: list[Finding] = []
    count = exempt = 0
    by_op: dict[int, int] = defaultdict(int)
    for one in record.tries.values():
        effect, at = one.asked["effect"], one.asked["at"]
        if effect == "repeatable":
            continue
        count += 1
        by_op[one.asked["op"]] += one.effects
        rejected = bool(one.finals) and one.finals[0]["kind"] == "rejected"
        if effect == "once-only":
            if one.effects > 1:
                found.append(Finding(2, at, f"{one.ref}: {one.effects} effects of a once-only sequence"))
            writes = sorted((a for a in one.attempts if not a.reads and not a.held_back), key=lambda a: a.at)
            for before, after in zip(writes, writes[1:]):
                if before.result not in PROVES:
                    found.append(Finding(2, after.at, f"{one.ref}: sent to {after.engine} though {before.engine} "
                                                      f"may have run it ({before.result or 'no end seen'})"))
            if rejected and any(a.result not in PROVES for a in writes):
                found.append(Finding(2, one.finals[0]["at"], f"{one.ref}: rejected though it may have run"))
            if rejected and one.effects:
                found.append(Finding(2, one.finals[0]["at"], f"{one.ref}: rejected though it has had its effect"))
    for op, effects in by_op.items():
        if effects > 1:
            tries = [t for t in record.tries.values() if t.asked["op"] == op]
            if all(t.effects <= 1 for t in tries) or tries[0].asked["effect"] == "tokened":
                found.append(Finding(2, tries[-1].asked["at"], f"operation {op}: {effects} effects over its tries"))
    return found, count, exempt


def _drains(record: Record) -> Checked:
    """Rule 3. Nothing new reaches an engine later than the grace after this node was told that it drains or is
    gone."""
    found: list[Finding] = []
    exempt = 0
    count = sum(news[i][1] != "running" for news in record.told.values() for i in range(len(news)))
    grace = record.rule("drain_grace_ms") + record.rule("seen_slack_ms")
    for engine, attempts in record.by_engine.items():
        for attempt in attempts:
            news = [n for n in record.told[attempt.node, engine] if record.life(attempt.node, attempt.at) <= n[0]
                    <= attempt.at]
            since = None
            for at, availability, _ in news:
                since = None if availability == "running" else at if since is None else since
            if since is not None and attempt.at > (since + grace + record.stalled(since, attempt.at)
                                                   + record.frozen(attempt.node, since, attempt.at)):
                if attempt.held_back:
                    exempt += 1
                else:
                    found.append(Finding(3, attempt.at, f"{attempt.node} sent to {engine} "
                                                        f"{(attempt.at - since) / 1000:.0f} ms after it was told"))
    return found, count, exempt


def _cold(record: Record) -> Checked:
    """Rule 4. Within any window of the stated length a cold engine is sent no more than the multiple of what it can
    do then, counted in mean sequences; a breach needs two thirds of it from nodes that were told of its start."""
    found: list[Finding] = []
    count = 0
    for engine, ups in record.ups.items():
        attempts = record.by_engine[engine]
        for up in ups:
            begin, warm, window = up["at"], up["at"] + up["cold_us"], up["fall_us"]
            cold = [a for a in attempts if begin <= a.at < warm]
            times = [a.at for a in cold]
            for i, last in enumerate(cold):
                first = bisect_left(times, last.at - window)
                count += 1
                start = max(begin, last.at - window)
                share = (share_of(up, start - begin) + share_of(up, last.at - begin)) / 2
                budget = up["fall_multiple"] * up["rate"] * share * window / 1e6 + FALL_SLACK
                sent = i + 1 - first
                knew = sum(_knew(record, a, engine, begin) for a in cold[first:i + 1])
                if sent > budget and 3 * knew >= 2 * sent:
                    found.append(Finding(4, last.at, f"{engine}: {sent} sequences in {window / 1e6:g} s, "
                                                     f"{budget:.1f} is what it stands"))
                    break
    for fell in record.fell:
        if not any(f.text.startswith(f"{fell['engine']}:") for f in found):
            since = max((u["at"] for u in record.ups[fell["engine"]] if u["at"] <= fell["at"]), default=0)
            last = [a for a in record.by_engine[fell["engine"]] if since <= a.at <= fell["at"]]
            if 3 * sum(_knew(record, a, fell["engine"], since) for a in last) >= 2 * len(last):
                found.append(Finding(4, fell["at"], f"{fell['engine']}: fell over while cold"))
    return found, count, 0


def share_of(up: dict[str, Any], age: int) -> float:
    return min(1.0, up["cold_share"] + (1 - up["cold_share"]) * age / up["cold_us"])


def _knew(record: Record, attempt: Attempt, engine: str, begin: int) -> bool:
    return any(begin <= at <= attempt.at and started for at, _, started in record.told[attempt.node, engine])


def _pinned(record: Record) -> Checked:
    """Rule 5. While none of a sequence's attempts is out, what is held for it is taken or let go in time."""
    found: list[Finding] = []
    exempt = 0
    limit = record.rule("let_go_ms") + record.rule("seen_slack_ms")
    connect = round(record.day["connect_ms"] * 1000)
    for hold in record.holds:
        one = record.tries.get(hold["ref"])
        end = record.hold_ends.get(hold["block"])
        until = end["at"] if end else record.end
        if end and end["what"] == "lost_state":
            continue  # it went with its engine
        if record.died(hold["node"], one.asked["at"] if one else hold["at"]) and (one is None or not one.finals):
            continue  # the node that held it was killed, perhaps while the reader was still at it
        since, idle = hold["at"], (0, 0)
        spans = sorted((a.at, a.end if a.end >= 0 else record.end) for a in (one.attempts if one else []))
        for begin, finish in spans:
            if begin > since and min(begin, until) - since > idle[1] - idle[0]:
                idle = (since, min(begin, until))
            since = max(since, finish)
        if until - since > idle[1] - idle[0]:
            idle = (since, until)
        # An engine that could not be reached shows nothing of the attempts made at it: each is out for the connect time.
        away = sum(any(b < idle[1] and idle[0] < e for b, e in spells) for spells in record.downs.values())
        # An engine behind a cut sees the end of an attempt when the cut heals, and the letting go a try later.
        cut = any(b < idle[1] and idle[0] <= e and engine == hold["engine"] for b, e, engine, _ in record.cuts)
        unreached = sum(b < idle[1] and idle[0] < e for b, e, engine, _ in record.cuts)
        allowed = limit + record.stalled(*idle) + record.frozen(hold["node"], *idle) + connect * min(record.day["max_attempts"], away + unreached)
        if idle[1] - idle[0] > allowed:
            if cut:
                exempt += 1  # letting go could not be delivered over the cut; the engine's own limit frees it
            else:
                found.append(Finding(5, idle[1], f"{hold['ref']}: its state at {hold['engine']} lay "
                                                 f"{(idle[1] - idle[0]) / 1000:.0f} ms with nothing out"))
    return found, len(record.holds), exempt


def _count(record: Record, verdict: Verdict) -> None:
    ops: set[int] = set()
    for one in record.tries.values():
        row = verdict.types.setdefault(one.asked["type"], TypeCounts())
        if one.asked["op"] not in ops:
            ops.add(one.asked["op"])
            row.asked += 1
        row.tries += 1
        row.effects += one.effects
        if one.finals:
            kind = one.finals[0]["kind"]
            if kind == "generated":
                took = (one.first if one.first >= 0 else one.finals[0]["at"]) - one.asked["at"]
                row.latency.append(took)
                row.in_slo += took <= one.asked["slo_us"]
                row.late += took > one.asked["slo_us"]
            else:
                row.rejected += kind in ("rejected", "over_budget")
                row.aborted += kind not in ("rejected", "over_budget")
        elif any(e["what"] == "left" for e in one.ends):
            row.left += 1
        else:
            row.lost += 1
