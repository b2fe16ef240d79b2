"""Checks the rules over all that a soak's processes saw. Knows nothing of how the program works.

Each rule excuses only what its page excuses: a node that was killed loses what it had, a machine that was stopped for a while is late by as
much. ``SCHEDULING_S`` is what the machine that plays all parts may be late by itself.
"""
from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

from .events import KEPT, LINK_CUT, NEVER_RAN, READ_ROLE, End, Event, Kind

SCHEDULING_S = 0.15
ANSWER_SLACK_S = 0.5         # after its time an answer may still come, worth nothing
STREAM_END_S = 5.0           # after which a stream whose engine says nothing has to have ended
LEFT_SLACK_S = 0.1
DEADLINE_SLACK_S = 0.15
RULE_SLACK_S = 0.05          # by which every time limit is longer
HELD_SLACK_S = 0.3
PAUSE_TELLS_S = 1.0          # after a request's end, in which a stopped node may still come late with a release
MOVE_TOLD_S = 4.0            # STANDING: after SIGHUP what discovery has counts so much later
MOVE_CROSSES_S = 1.0         # a change so shortly before the move may be on its way from the agent that is left
LAST_BYTES_S = 0.3           # for an engine's last bytes to be with its node
CONNECTS_AGAIN_S = 0.3       # behind a cut: until a connect that was under way in it is given up
FOLLOWED_S = 61.0            # behind the time that an engine was told, for which a node stays for an attempt that was given up
GONE_S = 0.02                # in which others hear of the end of a process
TERM_LATEST_S = 0.7          # what came later than this after SIGTERM is owed an answer even at SIGKILL


class Rule(Enum):
    """What must hold."""
    ANSWER = "each request gets one final answer in time"
    ONCE = "no effect twice, and no second copy"
    DRAIN = "no send to an engine that is known to drain"
    HELD = "nothing stays held"
    DEADLINE = "an engine is told at most what the client has left"
    LEFT = "no attempt for a client that has left"
    PROCESS = "a node ends only when it is told to, in order"
    MONITOR = "the node's own monitor counts no violation"


@dataclass(slots=True, frozen=True)
class Breach:
    """A broken rule."""
    rule: Rule
    at: float
    request: str
    detail: str


@dataclass(slots=True, frozen=True)
class Terms:
    """Of the settings that nodes were given; in seconds."""
    let_go: float
    drain_grace: float
    windows: dict[str, float]  # of tokened classes
    once: frozenset[str]       # classes that must run once


@dataclass(slots=True)
class _Request:
    kind: str = ""
    node: str = ""
    sent_at: float = 0.0
    timeout: float = 0.0
    began_at: float = 0.0
    ended_at: float = 0.0
    end: str = ""
    left_at: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)
    held: list[tuple[float, str, float]] = field(default_factory=list)  # from, at which engine, until
    forwarded: list[tuple[float, str]] = field(default_factory=list)    # when, to which engine; taken off as it is read there


@dataclass(slots=True)
class Attempt:
    """One attempt as its engine saw it; ``arrived_at`` is when its machine had it, though its process may have been stopped."""
    at: float
    engine: str
    told: float
    arrived_at: float
    over_at: float = float("inf")
    connection_ended_at: float = float("inf")  # its engine may go on with it for a while
    end: str = ""
    number: str = ""  # given by its engine's process, which may be listed under several ids
    is_read: bool = False  # its engine only read when it came


@dataclass(slots=True)
class _Spans:
    """Stretches of time by name."""
    spans: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))

    def add(self, name: str, begin: float, end: float) -> None:
        self.spans[name].append((begin, end))

    def within(self, name: str, begin: float, end: float) -> float:
        """Seconds of a stretch that fall into those of a name, or of all names ("*")."""
        return sum(max(0.0, min(end, e) - max(begin, b)) for key in (name, "*") for b, e in self.spans.get(key, ()))


@dataclass(slots=True, frozen=True)
class _LinkFault:
    """A link, or all of a node or to an engine ("*"), is cut, silent, slow or reset from ``begin`` to ``end``."""
    node: str
    engine: str
    begin: float
    end: float

    def touches(self, node: str, engine: str) -> bool:
        """Whether it befalls a link; without an engine: any link of the node."""
        return self.node in (node, "*") and (not engine or self.engine in (engine, "*"))


@dataclass(slots=True)
class HeldTally:
    """How many held states were judged, how many were not (their node was killed before), and the seconds taken out of those judged."""
    judged: int = 0
    excused: int = 0
    excused_s: float = 0.0

    def line(self) -> str:
        """For a person."""
        return f"{self.judged} held states judged less {self.excused_s:.1f} s in which their nodes were stopped or reached no engine, {self.excused} not judged"


class Oracle:
    """Judges the events of one soak."""

    def __init__(self, events: list[Event], terms: Terms) -> None:
        self.events, self.terms = events, terms
        self.requests: dict[str, _Request] = defaultdict(_Request)
        self.paused, self.engine_paused, self.receive_fails = _Spans(), _Spans(), _Spans()
        self.engines: set[str] = set()
        self.cut: dict[str, _Spans] = defaultdict(_Spans)  # by node: stretches in which its link to an engine is cut, by engine
        self.engine_gone = _Spans()
        self.link_faults: list[_LinkFault] = []
        self.killed: dict[str, list[float]] = defaultdict(list)
        self.dying: dict[str, list[tuple[float, float]]] = defaultdict(list)  # from SIGKILL until the process is gone
        self.reloads: dict[str, list[float]] = defaultdict(list)
        self.started: dict[str, list[float]] = defaultdict(list)
        self.discovery_down: list[tuple[float, float]] = []
        self.termed: dict[str, list[float]] = defaultdict(list)
        self.engine_downs: dict[str, list[float]] = defaultdict(list)
        self.listed: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
        self._roles: dict[str, str] = {}  # by engine, as it says itself
        self.stays: list[tuple[str, float]] = []  # nodes that had not ended in their time, and when they were killed
        self.breaches: list[Breach] = []
        self.held = HeldTally()
        for event in events:
            self._take(event)

    def judge(self) -> list[Breach]:
        """All broken rules, in order of time."""
        for id, request in self.requests.items():
            if request.node:
                self._answer(id, request)
                self._left(id, request)
                self._deadline(id, request)
            self._once(id, request)
            self._drain(id, request)
            self._held(id, request)
        for node, at in self.stays:
            self._stay(node, at)
        return sorted(self.breaches, key=lambda breach: breach.at)

    def was_paused(self, id: str) -> bool:
        """Whether a request's node was stopped for a while between its sending and what may be owed for it last."""
        request = self.requests[id]
        end = max(request.ended_at, request.left_at, request.sent_at + request.timeout) + PAUSE_TELLS_S
        return bool(request.node) and self.paused.within(request.node, request.sent_at, end) > 0

    def _break(self, rule: Rule, at: float, request: str, detail: str) -> None:
        self.breaches.append(Breach(rule, at, request, detail))

    # Reading.

    def _take(self, event: Event) -> None:
        request = self.requests[event.request] if event.request else _Request()
        match event.kind:
            case Kind.SENT:
                request.kind, request.node, request.sent_at, request.timeout = event.text, event.node, event.at, event.value
            case Kind.STREAM_BEGAN:
                request.began_at = event.at
            case Kind.ANSWERED | Kind.CLOSED:
                request.ended_at, request.end = event.at, event.text or "closed"
            case Kind.LEFT:
                request.left_at = event.at
            case Kind.FORWARDED:
                request.forwarded.append((event.at, event.engine))
            case Kind.ATTEMPT:
                request.attempts.append(Attempt(event.at, event.engine, event.value, self._arrived_at(request, event), number=event.text,
                                                is_read=self._reads(event.engine)))
            case Kind.ENGINE_ROLE:
                self._roles[event.engine] = event.text
            case Kind.ATTEMPT_OVER:
                attempt = self._open_attempt(request, event)
                if attempt:
                    attempt.over_at, attempt.end = event.at, event.text
            case Kind.ATTEMPT_CUT_OFF:
                attempt = self._open_attempt(request, event)
                if attempt:
                    attempt.connection_ended_at = event.at
            case Kind.STATE_HELD:
                request.held.append((event.at, event.engine, float("inf")))
            case Kind.STATE_GONE:
                request.held = [(begin, engine, min(end, event.at)) for begin, engine, end in request.held]
            case Kind.LISTED:
                self.listed[event.engine].append((event.at, event.value, event.text))
            case Kind.NODE_PAUSED:
                self.paused.add(event.node, event.at, event.value)
            case Kind.ENGINE_PAUSED:
                self.engine_paused.add(event.engine, event.at, event.value)
            case Kind.RECEIVE_FAILS:
                self.receive_fails.add(event.node, event.at, event.value)
            case Kind.ENGINE_UP:
                self._engine_up(event)
            case Kind.LINK_DOWN:
                if event.text == LINK_CUT:
                    self.cut[event.node].add(event.engine, event.at, event.value)
                self.link_faults.append(_LinkFault(event.node, event.engine or "*", event.at, event.value))
            case Kind.NODE_KILLED:
                self.killed[event.node].append(event.at)
            case Kind.NODE_GONE:
                self.dying[event.node].append((self.killed[event.node][-1], event.at))
            case Kind.DISCOVERY_DOWN:
                self.discovery_down.append((event.at, math.inf))
            case Kind.DISCOVERY_BACK if self.discovery_down:
                self.discovery_down[-1] = self.discovery_down[-1][0], event.at
            case Kind.NODE_UP:
                self.started[event.node].append(event.at)
            case Kind.NODE_UNREADY:
                self._break(Rule.PROCESS, event.at, "", f"{event.node} was not ready in its time behind its start")
            case Kind.NODE_RELOADED:
                self.reloads[event.node].append(event.at)
            case Kind.NODE_TERM:
                self.termed[event.node].append(event.at)
            case Kind.ENGINE_DOWN:
                self._engine_down(event)
            case Kind.NODE_STAYS:
                self.stays.append((event.node, event.at))
            case Kind.NODE_ENDED if event.value != 0:
                self._break(Rule.PROCESS, event.at, "", f"{event.node} ended with {event.value:g}: {event.text}")

    @staticmethod
    def _open_attempt(request: _Request, event: Event) -> Attempt | None:
        """The attempt that an engine tells of, which has not ended there."""
        for attempt in reversed(request.attempts):
            same = not event.value or attempt.number == str(int(event.value))
            if attempt.engine == event.engine and not attempt.end and same:
                return attempt
        return None

    @staticmethod
    def _arrived_at(request: _Request, event: Event) -> float:
        """When the proxy handed on what an engine has read now."""
        for number, (at, engine) in enumerate(request.forwarded):
            if engine == event.engine:
                del request.forwarded[number]
                return at
        return event.at

    def _engine_up(self, event: Event) -> None:
        """A process that has just begun, whether or not one before it was killed."""
        self.engines.add(event.engine)
        if self.engine_downs[event.engine]:
            self.engine_gone.add(event.engine, self.engine_downs[event.engine][-1], event.at)

    def _engine_down(self, event: Event) -> None:
        """Its process is gone, with its attempts and what it held."""
        self.engine_downs[event.engine].append(event.at)
        for request in self.requests.values():
            request.held = [(begin, engine, min(end, event.at) if engine == event.engine else end) for begin, engine, end in request.held]
            for attempt in request.attempts:
                if attempt.engine == event.engine and not attempt.end:
                    attempt.over_at, attempt.end = event.at, End.FAILED.value

    # Rules.

    def _link_fault_s(self, node: str, engine: str, begin: float, end: float) -> float:
        """Seconds of a stretch in which a fault lay on a node's link to an engine; without an engine: on any link of the node."""
        return sum(max(0.0, min(end, fault.end) - max(begin, fault.begin)) for fault in self.link_faults if fault.touches(node, engine))

    def _stay(self, node: str, at: float) -> None:
        """A node that was told to end may stay only for attempts that were given up and may go on at their engines."""
        attempts = [(request, attempt) for request in self.requests.values() if request.node == node for attempt in request.attempts]
        if not any(self._may_be_followed(request, attempt, at) for request, attempt in attempts):
            self._break(Rule.PROCESS, at, "", f"{node} has nothing to do and does not end on SIGTERM")

    def _may_be_followed(self, request: _Request, attempt: Attempt, at: float) -> bool:
        """Whether an attempt ended at its node before its engine said how, as far as anybody but the node can tell."""
        if attempt.arrived_at + attempt.told < at - FOLLOWED_S:
            return False
        ended_here_first = min(attempt.connection_ended_at, request.ended_at or math.inf, request.left_at or math.inf) <= attempt.over_at
        return ended_here_first or self._link_fault_s(request.node, attempt.engine, attempt.arrived_at, attempt.over_at + LAST_BYTES_S) > 0

    def _killed_before(self, node: str, begin: float, end: float) -> float | None:
        """The moment of a SIGKILL in a stretch of time; one that began in the killed process's last moments was that process's too."""
        died = next((at for at, gone in self.dying[node] if at < begin <= gone + GONE_S), None)
        return died if died is not None else next((at for at in self.killed[node] if begin <= at <= end), None)

    def _answer(self, id: str, request: _Request) -> None:
        if request.left_at:
            return
        due = request.sent_at + request.timeout + ANSWER_SLACK_S + SCHEDULING_S
        due += self.paused.within(request.node, request.sent_at, due)
        kill = self._killed_before(request.node, request.sent_at, request.ended_at or float("inf"))
        if kill is not None:
            return self._at_kill(id, request, kill)
        last = self.events[-1].at
        if request.end == KEPT and not request.attempts:
            return  # the close crossed a request that was not read
        if request.end in ("closed", KEPT, "broken") and self.receive_fails.within(request.node, request.sent_at - 0.1, request.ended_at):
            return  # the node's system ended the connection
        if request.end in ("closed", KEPT):
            self._break(Rule.ANSWER, request.ended_at, id, f"{request.node} closed the connection without an answer")
        elif not request.ended_at and last > due and not request.began_at:
            self._break(Rule.ANSWER, due, id, f"{request.node} never answered")
        elif request.ended_at and not request.began_at and request.ended_at > due:
            self._break(Rule.ANSWER, request.ended_at, id, f"{request.node} answered {request.ended_at - due:.3f} s too late")
        elif request.began_at:
            self._stream_ends(id, request, last)

    def _at_kill(self, id: str, request: _Request, kill: float) -> None:
        """A kill takes what a node has; behind a SIGTERM only what had come by then."""
        term = max((at for at in self.termed[request.node] if at <= kill), default=None)
        if term is not None and request.sent_at > term + TERM_LATEST_S and not request.ended_at:
            self._break(Rule.ANSWER, kill, id, f"{request.node} was killed over a request that came {request.sent_at - term:.2f} s after SIGTERM")

    def _stream_ends(self, id: str, request: _Request, last: float) -> None:
        """A stream ends at most five seconds after its engine's last word."""
        served = [attempt.over_at for attempt in request.attempts
                  if attempt.end == End.SERVED.value and not self._went_down_after(attempt.engine, attempt.over_at)]
        if request.end == "broken" and served and not self._link_fault_s(request.node, "", request.began_at, request.ended_at):
            lost_at = served[-1]
            if not self.paused.within(request.node, lost_at - 1, request.ended_at) and 0 <= request.ended_at - lost_at < 1.0:
                self._break(Rule.ANSWER, request.ended_at, id, f"{request.node} broke off a stream that its engine had finished")
        engine_end = max((attempt.over_at for attempt in request.attempts if attempt.over_at < float("inf")), default=request.began_at)
        due = engine_end + STREAM_END_S + SCHEDULING_S
        due += self.paused.within(request.node, request.began_at, due)
        if not request.ended_at and last > due:
            self._break(Rule.ANSWER, due, id, f"{request.node} never ended its stream")
        elif request.ended_at > due and any(attempt.end == End.FAILED.value for attempt in request.attempts):
            self._break(Rule.ANSWER, request.ended_at, id, f"{request.node} ended a spoilt stream {request.ended_at - due:.3f} s too late")

    def _went_down_after(self, engine: str, over_at: float) -> bool:
        """Whether an engine's process was killed so soon behind the end of a stream that its last bytes may not have got out."""
        return any(over_at <= at < over_at + LAST_BYTES_S for at in self.engine_downs[engine])

    def _left(self, id: str, request: _Request) -> None:
        for attempt in request.attempts if request.left_at else ():
            late = attempt.arrived_at - request.left_at
            allowed = LEFT_SLACK_S + SCHEDULING_S + self.paused.within(request.node, request.left_at, attempt.arrived_at)
            allowed += self._link_fault_s(request.node, attempt.engine, request.left_at, attempt.arrived_at)
            allowed += self.engine_paused.within(attempt.engine, request.left_at, attempt.arrived_at)
            if late > allowed:
                self._break(Rule.LEFT, attempt.arrived_at, id, f"an attempt reached {attempt.engine} {late:.3f} s after the client left")

    def _deadline(self, id: str, request: _Request) -> None:
        for attempt in request.attempts:
            left = request.sent_at + request.timeout - attempt.arrived_at
            allowed = DEADLINE_SLACK_S + SCHEDULING_S + self.paused.within(request.node, request.sent_at, attempt.arrived_at)
            allowed += self._link_fault_s(request.node, attempt.engine, request.sent_at, attempt.arrived_at)
            allowed += self.engine_paused.within(attempt.engine, request.sent_at, attempt.arrived_at)
            if attempt.told > left + allowed:
                self._break(Rule.DEADLINE, attempt.arrived_at, id, f"{attempt.engine} was told {attempt.told:.3f} s, {left:.3f} s were left")

    def _once(self, id: str, request: _Request) -> None:
        attempts = sorted(request.attempts, key=lambda attempt: attempt.arrived_at)
        ran: Attempt | None = None
        for number, attempt in enumerate(attempts):
            if ran:
                self._repeat(id, request, ran, attempt)
            for earlier in attempts[:number]:
                self._beside(id, request, earlier, attempt)
            if attempt.end not in NEVER_RAN and not self._is_reader(attempt):
                ran = ran or attempt

    def _repeat(self, id: str, request: _Request, ran: Attempt, attempt: Attempt) -> None:
        """An attempt behind one that may have run."""
        if request.kind in self.terms.once:
            self._break(Rule.ONCE, attempt.arrived_at, id, f"sent to {attempt.engine} though {ran.engine} may have run it ({ran.end or 'out'})")
        elif request.kind in self.terms.windows:
            late = attempt.arrived_at - ran.arrived_at - self.terms.windows[request.kind] - RULE_SLACK_S - SCHEDULING_S
            late -= self._link_fault_s(request.node, attempt.engine, ran.arrived_at, attempt.arrived_at)
            late -= self.paused.within(request.node, ran.arrived_at, attempt.arrived_at)
            if late > 0:
                self._break(Rule.ONCE, attempt.arrived_at, id, f"repeated {late:.3f} s behind its window")

    def _beside(self, id: str, request: _Request, earlier: Attempt, attempt: Attempt) -> None:
        """Two attempts whose engines had the request at the same time. A machine that was stopped or cut off hears late of an end."""
        if self._link_fault_s(request.node, earlier.engine, earlier.arrived_at, attempt.arrived_at):
            return
        if self.engine_paused.within(earlier.engine, earlier.arrived_at, attempt.arrived_at):
            return
        ended_at = min(earlier.over_at, earlier.connection_ended_at)
        if ended_at > attempt.arrived_at + SCHEDULING_S and earlier.end != End.SERVED.value:
            self._break(Rule.ONCE, attempt.arrived_at, id, f"sent to {attempt.engine} while {earlier.engine} still had it")

    def _reads(self, engine: str) -> bool:
        """Whether it only reads at this point of the story; by its name, as long as it hasn't said."""
        return self._roles.get(engine, READ_ROLE if engine.startswith("r") else "") == READ_ROLE

    @staticmethod
    def _is_reader(attempt: Attempt) -> bool:
        return attempt.is_read

    def _drain(self, id: str, request: _Request) -> None:
        for attempt in request.attempts:
            told = None
            for at, latest, phase in self.listed[attempt.engine]:
                if at <= attempt.arrived_at:
                    told = self._told(request.node, at, latest, attempt.arrived_at) if phase != "SERVING" else None
            if told is None:
                continue
            late = attempt.arrived_at - told - self.terms.drain_grace - RULE_SLACK_S - SCHEDULING_S
            late -= self.paused.within(request.node, told, attempt.arrived_at)
            late -= self._link_fault_s(request.node, attempt.engine, told, attempt.arrived_at)
            late -= self.engine_paused.within(attempt.engine, told, attempt.arrived_at)
            if late > 0:
                self._break(Rule.DRAIN, attempt.arrived_at, id, f"{request.node} sent to {attempt.engine} {late:.3f} s after its grace")

    def _told(self, node: str, at: float, latest: float, sent_at: float) -> float:
        """When a change that discovery had at ``at`` counts as told to the process that a node had at ``sent_at``: to one that began later
        from its first moment on, or at discovery's return, however slow the agent is; behind a move of discovery four seconds later."""
        started_at = max((began for began in self.started[node] if began <= sent_at), default=-math.inf)
        if started_at > at:
            return next((back for down, back in self.discovery_down if down <= started_at < back), started_at)
        moved = [reload + MOVE_TOLD_S for reload in self.reloads[node] if -MOVE_CROSSES_S <= at - reload <= MOVE_TOLD_S]
        return max(at, latest, *moved)

    def _held(self, id: str, request: _Request) -> None:
        """What is held, for how long nothing was out for it. The clock stops while an attempt is out that a running engine has read, and
        begins anew when it ends; bytes in the machine of an engine that stands still, or lost between, are no attempt that is out. It runs on behind a cut link, as any engine takes a release, and stands still only while its node
        reaches no engine that runs."""
        for begin, engine, end in request.held:
            stop = min(end, self.events[-1].at, self._killed_after(request.node, request.sent_at))
            if stop <= begin:
                self.held.excused += 1  # its node was killed before: nobody is left who owes the release
                continue
            self.held.judged += 1
            spans = [(a.at, self._known_over_at(request, a)) for a in request.attempts]
            waited = max(self._owed_s(request.node, b, e) for b, e in _gaps(spans, begin, stop))
            if waited > self.terms.let_go + HELD_SLACK_S + RULE_SLACK_S + SCHEDULING_S:
                self._break(Rule.HELD, begin, id, f"held at {engine} for {waited:.3f} s with nothing out")

    def _owed_s(self, node: str, begin: float, end: float) -> float:
        """Seconds of a stretch in which a node could have released something: it was not stopped, and reached an engine that ran."""
        excused = self.paused.within(node, begin, end) + self._reaches_none_s(node, begin, end)
        self.held.excused_s += excused
        return end - begin - excused

    def _reaches_none_s(self, node: str, begin: float, end: float) -> float:
        """Seconds of a stretch in which each engine was cut off from a node, stopped or gone, and until a connect behind that comes up."""
        stretches = [(begin, end)]
        for engine in self.engines:
            away = [*self.cut[node].spans[engine], *self.engine_paused.spans[engine], *self.engine_gone.spans[engine]]
            away = [(b, e + CONNECTS_AGAIN_S) for b, e in away]
            stretches = [(max(b, from_), min(e, to)) for from_, to in stretches for b, e in _joined(away) if b < to and e > from_]
        return sum(to - from_ for from_, to in stretches) if self.engines else 0.0

    def _killed_after(self, node: str, begin: float) -> float:
        """The moment of the SIGKILL that took the process to which a request was sent."""
        return self._killed_before(node, begin, float("inf")) or float("inf")

    def _known_over_at(self, request: _Request, attempt: Attempt) -> float:
        """When its node knew at the latest that an attempt was over. Its answer may have been lost where a link was touched, or not have left
        where its engine was stopped right behind it: then the node waits as long as it told the engine, or until the client is gone or
        answered, or it sends another attempt."""
        link_fault_s = self._link_fault_s(request.node, attempt.engine, attempt.arrived_at, attempt.over_at + LAST_BYTES_S)
        if not link_fault_s and not self._was_stopped_behind(attempt.engine, attempt.over_at):
            return attempt.over_at
        return max(attempt.over_at, min(attempt.arrived_at + attempt.told, self._given_up_at(request, attempt.arrived_at)))

    def _was_stopped_behind(self, engine: str, over_at: float) -> bool:
        """Whether an engine's process was stopped so soon behind the end of an attempt that its answer may not have left."""
        return any(over_at <= begin <= over_at + GONE_S for begin, _ in self.engine_paused.spans.get(engine, ()))

    @staticmethod
    def _given_up_at(request: _Request, sent_at: float) -> float:
        """When an attempt that got no answer was over for its node at the latest."""
        known = [other.arrived_at for other in request.attempts if other.arrived_at > sent_at]
        known += [at for at in (request.ended_at, request.left_at) if at]
        return min(known, default=float("inf"))


def _joined(spans: list[tuple[float, float]]) -> list[tuple[float, float]]:
    """The same stretches, in order and without overlaps."""
    joined: list[tuple[float, float]] = []
    for begin, end in sorted(spans):
        if joined and begin <= joined[-1][1]:
            joined[-1] = joined[-1][0], max(joined[-1][1], end)
        else:
            joined.append((begin, end))
    return joined


def _gaps(spans: list[tuple[float, float]], begin: float, end: float) -> list[tuple[float, float]]:
    """Parts of a stretch that none of the spans covers; at least one, which may be empty."""
    gaps, upto = [], begin
    for b, e in _joined(spans):
        if b > upto:
            gaps.append((upto, min(b, end)))
        upto = max(upto, e)
        if upto >= end:
            break
    return [*gaps, (min(upto, end), end)]
