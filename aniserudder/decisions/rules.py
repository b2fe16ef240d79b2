"""The decisions of an aniserudder node, with their tables and tuned values; which engines are looked at is in candidates.py, slow
start in slow_start.py.

Called by a host (simhost.py, later the daemon): build Node(settings, seed), call arrived / started / ended /
goes_on / trickles / client_left / roster / probed / wake as things happen, carry out the returned changes in
order, and call wake again at wake_at. Settings, vocabulary, changes: interface.py. What is kept: state.py.
The ordinary path is Node._route; docs/design.md says what each exception is for and when it acts.
"""
from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from .candidates import EngineIndex
from .interface import (Availability, Change, Effect, EngineChange, Outcome, Prompt, Report, Role, RosterRow,
                        SequenceChange, Settings, Standing, State)
from .pace import FIRST_READ_PACE, MS, READ_OVERHEAD, USUAL_FOR, S
from .remembered import ENTRY_BYTES, Remembered
from .ring import point, window
from .slow_start import SlowStart
from .state import Attempt, Cluster, Engine, Sequence, TypeRow

# The learned bits.
GRID = (300, 1000, 3000, 9000)  # prompt lengths of the first centroids, each once cold and once mostly kept
GRID_KEPT = 0.9                 # the part kept in the second of each pair
LOCAL_BELOW = 1000              # bits start local below this many writer-side tokens
NEVER_LOCAL = 2000              # no local read of a longer remainder while a reader can be had
FIRST_OUTPUT, OUTPUT_PART = 100, 0.25  # expected tokens: of the first centroids; part of the output limit
LEAST_TOKENS, LEAST_VARIANCE = 20.0, 0.05  # floors of a feature and of its spread
CENTROID_STEP = 0.01            # how far a centroid moves towards each member
PERIOD = 5 * S                  # length of each half of a scan
EPSILON, MOST_TRIALS = 0.05, 3.0  # trials: at most this share of the sequences, and so many saved up
MIN_SAMPLES, FLIP_MARGIN = 8, 0.1  # before a bit may flip: of each path; by which the other must be better
SHARED_MISS = 0.5               # both paths below this share: the slowness is shared, nothing is learned
AGEING = 0.9                    # evidence kept from one period to the next
STREAM_SLACK = 1.5              # expected outputs are rough
SLOW = 5.0                      # times a type's best mean stream time: the pace is missed (without a hint)
STREAM_STEP, PACE_STEP = 0.05, 0.1  # weight of the newest in a mean stream time and in a stream pace
# Kept beginnings.
KEPT_FOR, KEPT_MOST = 60 * S, 4000  # how long, and how many keys an engine
LEAST_BELIEVED = 200            # below this a shorter find tells nothing
FORGOT = 0.5                    # found less than this part of what was believed: the engine forgot
# Picking engines.
SPILL = 0.5                     # part of the latency SLO that a read may take before the next reader is tried
LOCAL_SOON = 0.2                # the same for a local read
MIXED_READS = 0.5               # part of mixed engines' time for reads while there are readers, over all nodes
AT_EASE = 0.4                   # part of the expected stream time below which a mixed engine may read longer
PACE_DOWN, PACE_UP = 0.2, 0.01  # weight of a quicker and of a slower read in a role's pace
READ_STEP = 0.2                 # weight of the last read in an engine's wait
WAIT_FOR = 3 * S                # what is known of an engine's wait fades in this time
LONG_PART = 0.3                 # of a zone's readers: kept for long reads, which take over SPILL of the least SLO
ENOUGH_MET = 20                 # sequences of late that tell a node whether there are long reads
HOMES_AMONG = 64                # readers of a large fleet among which a beginning has its homes, by hash
HOME_PART, MOST_HOMES = 0.4, 3  # of a zone's readers, at most so many: presumed to keep a shared beginning
AWAY_TOKENS = 2500              # a beginning kept in another zone counts as so much shorter
OTHER_RACK, OTHER_ZONE = 10.0, 20.0  # a writer's load counts as this many times when the state has to travel
LOCAL_ROOM = 1.5                # a writer has room while its load is within this multiple of the least
# Admission: what cannot be in time is turned away before it costs work.
LEAST_LEFT = 2 * MS             # of a client's time, for any engine
ADMIT = 0.6                     # part of the SLO still left that reading may take
LESS_ROOM = 0.6                 # of that, for what is beyond a customer's share
COME_BACK = 0.25                # part of the longest time clients heed: the SLO is not gone by then
# Health.
FAR_SLOWER, QUICK = 2.5, 0.25   # times the usual wait for a first token, and this part of the latency SLO
EJECT_AFTER = 3                 # failures in a row
FIRST_PAUSE, LONGEST_PAUSE = 1 * S, 3 * S
PROOF_FOR, LONGEST_SILENCE = 3 * S, 8 * S  # after such a silence one failure ejects, for as long as it was
# Time-outs.
READ_PATIENCE, READ_SLO_PART = 3.0, 0.8  # times the expected read, but at least this part of the latency SLO
WAIT_PATIENCE, WAIT_SLO_PART = 6.0, 0.5  # the same for the usual wait at writers
AGAIN, MOST_AGAIN = 0.1, 2.0    # attempts in place of lost ones: for each sequence, and saved up at most
PROBE_EVERY = 1 * S

NEVER_RAN = {Outcome.FULL, Outcome.NO_STATE, Outcome.NO_ROUTE, Outcome.NOT_SENT, Outcome.EXHAUSTED, Outcome.READ}
CHEAP = {Outcome.READ, Outcome.FULL, Outcome.NO_ROUTE, Outcome.NOT_SENT, Outcome.EXHAUSTED}  # no work was lost
ILL = {Outcome.ERROR, Outcome.TIMED_OUT, Outcome.NO_ROUTE, Outcome.CUT}
FINAL = {State.GENERATED, State.REJECTED, State.ABORTED, State.LEFT, State.CLEARED}


def rank(engine: Engine, key: str) -> int:
    """Rendezvous hash: every node ranks the engines alike for a key."""
    return point(f"{engine.id} {key}")


class Node:
    """One instance of the router. Sees its own traffic only."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.chance = Random(seed).random
        self.now = self.born = self.wake_at = 0
        self.changes: list[Change] = []
        self.engines: dict[str, Engine] = {}
        self.index = EngineIndex(settings.zone, point(f"node {seed}"))
        self.slow_start = SlowStart(settings, self.index)
        self.seqs: dict[str, Sequence] = {}
        self.rows = {t.name: TypeRow(t.name, t.utility, t.latency_slo, t.slo_per_1000_tokens, t.token_pace,
                                     t.effect, t.repeat_group, t.repeat_window) for t in settings.types}
        self.clusters = [Cluster([math.log(f) for f in (n, left, left, FIRST_OUTPUT)], left < LOCAL_BELOW)
                         for n in GRID for left in (n, n * (1 - GRID_KEPT))]
        middle = [c.centre for c in self.clusters]
        self.feature_mean, self.feature_var = [sum(f) / len(middle) for f in zip(*middle)], [1.0] * 4
        readers = Role.READER in settings.roles.values()
        self.local_part = LOCAL_SOON if readers else ADMIT  # without readers every read is local
        self.scan = self.period_end = 0  # the half period that runs, and its end; past the last, trials
        self.trials = 0.0         # trials that may still be made
        self.homes: dict[tuple[str, bool], list[Engine]] = {}  # by shared beginning and lane, under these lanes
        self.long_read = SPILL * min((t.latency_slo for t in settings.types), default=S)
        self.work = {True: 0.0, False: 0.0}  # tokens of late: of long reads, and of others
        self.work_at, self.lanes = 0, True
        self.met: dict[str, tuple[float, int]] = {}  # by shared beginning, "" for all: how often of late, and when
        self.read_pace: dict[Role, float] = {}  # microseconds a token where nothing waits
        self.read_wait: dict[object, float] = {}  # by role and lane: usual wait for each own token ahead
        self.usual_wait = 0.0     # for a first token at a warm writer that fetches
        self.noted: dict[object, int] = {}  # when what is usual was last noted
        self.again = MOST_AGAIN   # schedule attempts that may still replace lost ones
        self.helped_at = 0        # when a mixed engine was last wanted to help readers out
        self.help = math.inf      # microseconds of their time that this node may still take
        self.buckets: dict[str, tuple[float, int]] = {}
        self.remembered = Remembered(settings.memory)
        self.names_most = min(KEPT_MOST, self.remembered.names_most)
        self.index.names_most = min(self.index.names_most, self.remembered.names_most)

    @property
    def remembered_bytes(self) -> int:
        """Memory that what is remembered by name holds."""
        return ENTRY_BYTES * (self.remembered.entries + 2 * len(self.homes) + len(self.met) + 2 * self.index.names)

    # What happens, as told by the host.

    def roster(self, now: int, rows: list[RosterRow], complete: bool) -> list[Change]:
        self.now, self.born = now, self.born or now
        named = {r.engine for r in rows}
        for engine in list(self.index.listed) if complete else ():
            if engine.id not in named:
                engine.listed = False
                self.index.put_in(engine, 0, now)
        for row in rows:
            self._listed(row)
        self._forget_long_gone()
        self._look_at_cold(changed=True)
        return self._done()

    def _listed(self, row: RosterRow) -> None:
        """One row of the list."""
        role = self.settings.roles.get(row.kind, Role.UNKNOWN)
        engine = self.engines.get(row.engine)
        if engine and engine.row == row and engine.listed is (row.availability is Availability.RUNNING):
            return
        if engine is None:
            engine = self.engines[row.engine] = Engine(row.engine, row, role, place=point(f"{row.engine} "), turn=self.chance())
        elif row.started_at > engine.row.started_at:  # restarted: empty, and cold
            engine.kept.clear()
            engine.failures, engine.turn, engine.read_at = 0, self.chance(), 0
        self.index.take_out(engine)
        engine.row, engine.role = row, role
        engine.listed = row.availability is Availability.RUNNING
        self.index.put_in(engine, row.started_at + self.settings.cold_time if row.started_at else 0, self.now)
        if engine.listed:
            engine.gone_at = 0

    def _forget_long_gone(self) -> None:
        for engine in list(self.index.unlisted):
            if engine.out:
                engine.gone_at = 0
            elif not engine.gone_at:
                engine.gone_at = self.now
            elif self.now - engine.gone_at > KEPT_FOR:  # all known of it has aged away: the table is bounded
                del self.engines[engine.id], self.index.unlisted[engine]

    def _look_at_cold(self, changed: bool = False) -> None:
        """Cold engines that have become warm join the others of their role."""
        if self.index.cold and self.now >= self.index.cold_until:
            for engine in [e for e in self.index.cold if not self._is_cold(e)]:
                self.index.warmed(engine)
                changed = True
        if changed:
            self.index.look_again_after(self.settings.cold_time)
            self._part_lanes()

    def arrived(self, now: int, id: str, prompt: Prompt) -> list[Change]:
        self.now = now
        row = self.rows.setdefault(prompt.traffic_type, TypeRow(  # a type that settings do not name: no risk
            prompt.traffic_type, 0.0, prompt.time_left // 2, 0, 0, Effect.ONCE_ONLY, "", 0))
        output = prompt.hint or round(SLOW * row.best_stream)
        slo = row.slo + row.slo_per_1000 * prompt.tokens // 1000
        seq = Sequence(id, prompt, row, now, now + slo, now + prompt.time_left, output)
        self.again = min(MOST_AGAIN, self.again + AGAIN)
        seq.over_share = self._over_share(prompt.customer)
        self._take_lane(seq)
        seq.homes = self._homes(prompt.shared, seq.long)
        self.seqs[id] = seq
        self._take_turns(seq)
        self._route(seq)
        return self._done()

    def may_go_out(self, now: int, id: str, ordinal: int) -> bool:
        """Asked as the bytes of a schedule attempt go out, up to a connect time after it was decided: engine,
        window and time left are looked at again. Changes nothing."""
        self.now, seq = now, self.seqs.get(id)
        out = seq.out if seq else None
        if out is None or out.ordinal != ordinal or seq.state in FINAL or now >= seq.abandon_at:
            return False
        engine = out.engine
        same_process = engine.row.started_at == out.row.started_at
        return engine.listed and engine.role is out.role and same_process and self._in_group(seq, engine)

    def started(self, now: int, id: str, ordinal: int) -> list[Change]:
        self.now, seq = now, self.seqs.get(id)
        if seq and seq.out and seq.out.ordinal == ordinal and seq.state not in FINAL:
            attempt = seq.out
            attempt.started_at = now
            seq.held = seq.pinned = False
            self._taken(attempt)
            self._read_over(attempt)
            if self._far_slower(attempt):
                self._failed(attempt, "far slower than its peers")
            else:
                self._good(attempt)
            self._change(seq, State.STREAMING, attempt.engine)
        return self._done()

    def ended(self, now: int, id: str, ordinal: int, outcome: Outcome, kept: int, final: bool,
              report: Report | None) -> list[Change]:
        self.now, seq = now, self.seqs.get(id)
        if seq is None or seq.out is None or seq.out.ordinal != ordinal:
            return self._done()
        attempt, engine = seq.out, seq.out.engine
        self._settle(attempt, outcome, kept, report)
        if outcome is Outcome.READ:
            self._taken(attempt)
            seq.held, seq.pinned, seq.reader = True, True, engine
        elif outcome is Outcome.NO_STATE:
            seq.held = False
        if seq.state in FINAL:
            if seq.pinned:
                self._change(seq, State.CLEARED)
        elif final or attempt.started_at and not self._may_go_on(seq, attempt):
            self._credit(seq, attempt, outcome)
            self._change(seq, State.GENERATED if outcome is Outcome.GENERATED else State.ABORTED)
        else:
            if outcome not in NEVER_RAN and not attempt.is_read:
                seq.may_have_run = seq.may_have_run or attempt
            if outcome is Outcome.READ:
                self._change(seq, State.READ, engine)
            else:
                seq.tried.append(engine)
            if outcome is Outcome.FULL and attempt.is_read:
                seq.local = True  # the next reader may turn it away as well: first a writer with room
            if attempt.started_at:  # the host's scheduler bounds what is read again for broken streams
                self._credit(seq, attempt, outcome)
                seq.broke = len(seq.attempts)
                self._change(seq, State.BROKEN, engine)
            elif outcome is not Outcome.READ:
                if outcome is Outcome.NO_STATE and seq.reader:
                    seq.tried.append(seq.reader)  # the two may be cut off from each other: read elsewhere
                # Work lost is done again only so often, whatever lost it: else a jam feeds itself. What ended
                # soon after it was sent, as a reset connection does, lost that much less.
                took = (self.now - attempt.sent_at) / (QUICK * (seq.slo_at - seq.arrived) + 1)
                self.again -= min(1.0, took) if outcome not in CHEAP else 0.0
            if outcome is Outcome.EXHAUSTED:
                self._give_up(seq)
            elif self.again < 0:
                self.again = 0.0
                self._give_up(seq)
            elif not attempt.started_at:
                self._route(seq)
        if seq.state in FINAL:
            self.seqs.pop(id, None)
        return self._done()

    def goes_on(self, now: int, id: str, prompt: Prompt | None) -> list[Change]:
        """A broken stream's turn: ``prompt`` counts the text so far now, and its SLO begins anew. None: it
        has no turn any more."""
        self.now, seq = now, self.seqs.get(id)
        if seq and seq.state is State.BROKEN:
            if prompt is None:
                seq.abandon_at = now
                self._give_up(seq)
            else:
                seq.prompt, seq.output, seq.arrived = prompt, prompt.hint, now
                seq.slo_at = now + seq.row.slo + seq.row.slo_per_1000 * prompt.tokens // 1000
                seq.abandon_at, seq.held = now + prompt.time_left, False
                self._take_turns(seq)
                self._route(seq)
        return self._done()

    def trickles(self, now: int, id: str, ordinal: int) -> list[Change]:
        """A stream runs far slower than those of other engines: it is moved like one whose writer died."""
        self.now, seq = now, self.seqs.get(id)
        attempt = seq.out if seq else None
        if attempt and attempt.ordinal == ordinal and attempt.started_at and seq.state is State.STREAMING:
            others = [e for e in self._usable(seq, Role.WRITER, Role.MIXED) if e is not attempt.engine]
            if others and self._may_go_on(seq, attempt):
                self._failed(attempt, "trickles")
                self._change(seq, State.STREAMING, attempt.engine, recalls=True)
        return self._done()

    def client_left(self, now: int, id: str) -> list[Change]:
        self.now, seq = now, self.seqs.get(id)
        if seq and seq.state not in FINAL:
            self._change(seq, State.LEFT)
        return self._done()

    def probed(self, now: int, id: str, good: bool, report: Report | None) -> list[Change]:
        self.now, engine = now, self.engines.get(id)
        if engine:
            engine.probing = False
        if engine and report:
            engine.report, engine.sent_since = report, 0
        return self._done()

    def wake(self, now: int) -> list[Change]:
        self.now = now
        return self._done()

    def _done(self) -> list[Change]:
        """Ends every call: asks for load reports where there are any, and for the next wake-up."""
        if self.settings.may_probe and self.settings.report_fields:
            for engine in self._reporting():
                if (engine.listed and engine.role is not Role.READER and not engine.probing
                        and self.now - engine.probed_at >= PROBE_EVERY):
                    engine.probing, engine.probed_at = True, self.now
                    self.changes.append(EngineChange(engine.id, Standing.SAMPLED, probe=True))
            self.wake_at = self.now + PROBE_EVERY if self.seqs else 0
        changes, self.changes = self.changes, []
        return changes

    def _reporting(self) -> Iterable[Engine]:
        """Engines whose load reports are asked for: of a large fleet those that this node turns to first."""
        if not self.index.large:
            return self.engines.values()
        return self.index.candidates((Role.WRITER, Role.MIXED), (), (), "", None, False, 1)

    # The ordinary path.

    def _route(self, seq: Sequence) -> None:
        """From arrival to the writer. Also takes a sequence on after a schedule attempt that failed."""
        more = self.settings.max_attempts - len(seq.attempts)
        if self.now + LEAST_LEFT > seq.abandon_at or more <= 0 or not self._repeats(seq):
            return self._give_up(seq)
        if not seq.held:
            writer, reader = self._local_engine(seq), self._reader(seq)
            if seq.cluster is None:
                features = self._features(seq, reader, writer)
                seq.cluster = self._nearest(features)
                seq.local = self._path(seq.cluster, self._left(writer, seq) if writer else 0)
            last = more == 1
            if writer and (seq.local or last):
                return self._send(seq, writer)
            # Where readers are few, mixed engines carry their part: they read what readers can't in time.
            spare = None if reader and self._soon(reader, seq, SPILL) else self._mixed(seq)
            if spare and self._helps(seq):
                return self._send(seq, spare)
            writer = None if spare and writer and writer.role is Role.MIXED else writer
            if reader and not last and self._writer(seq):
                return self._send(seq, reader)
            if writer:  # no reader in time: a writer with room reads even a long remainder before a refusal
                return self._send(seq, writer)
            return self._give_up(seq)
        writer = self._writer(seq)
        if writer:
            return self._send(seq, writer)
        self._give_up(seq)

    def _left(self, engine: Engine | None, seq: Sequence) -> int:
        return seq.prompt.tokens - self._kept(engine, seq)

    def _features(self, seq: Sequence, reader: Engine | None, writer: Engine | None) -> list[float]:
        output = (seq.output or OUTPUT_PART * seq.row.pace * seq.prompt.max_output) / max(1, seq.row.pace)
        raw = (seq.prompt.tokens, self._left(reader, seq), self._left(writer, seq), output)
        return [math.log(max(LEAST_TOKENS, f)) for f in raw]

    def _nearest(self, features: list[float]) -> Cluster:
        for i, f in enumerate(features):
            off = f - self.feature_mean[i]
            self.feature_mean[i] += CENTROID_STEP * off
            self.feature_var[i] += CENTROID_STEP * (off * off - self.feature_var[i])
        best = min(self.clusters, key=lambda c: sum((f - x) ** 2 / max(v, LEAST_VARIANCE) for f, x, v in
                                                    zip(features, c.centre, self.feature_var)))
        best.centre = [x + CENTROID_STEP * (f - x) for f, x in zip(features, best.centre)]
        return best

    def _path(self, cluster: Cluster, remainder: int) -> bool:
        """The cluster's bit, or in a scan or a trial the other path. Never local for a long remainder."""
        if self.now >= self.period_end:
            self.scan += self.period_end > 0
            self.period_end = self.now + PERIOD
            for c in self.clusters:
                self._judge(c)
        self.trials = min(MOST_TRIALS, self.trials + EPSILON)
        (scanned, half), local = divmod(self.scan, 2), cluster.local
        if scanned < len(self.clusters):
            local = half == 0 if cluster is self.clusters[scanned] else local
        elif self.chance() < EPSILON:
            local = not local
        if local != cluster.local:
            if self.trials < 1:
                local = cluster.local
            else:
                self.trials -= 1
        return local and remainder <= NEVER_LOCAL

    def _judge(self, c: Cluster) -> None:
        if min(c.tries.values()) >= MIN_SAMPLES:
            share = {path: c.wins[path] / c.tries[path] for path in (True, False)}
            if max(share.values()) >= SHARED_MISS and share[not c.local] > share[c.local] + FLIP_MARGIN:
                c.local = not c.local
        for path in (True, False):
            c.tries[path] *= AGEING
            c.wins[path] *= AGEING

    def _credit(self, seq: Sequence, attempt: Attempt, outcome: Outcome) -> None:
        """A sequence counts for the path it was first sent down; bursts beyond a share do not count."""
        stream = self.now - attempt.started_at
        if outcome is Outcome.GENERATED and attempt.started_at and not seq.broke:  # else only a part
            row, engine = seq.row, attempt.engine
            row.mean_stream += STREAM_STEP * (stream - row.mean_stream) if row.mean_stream else stream
            row.streams += 1
            if row.streams >= 1 / STREAM_STEP:
                row.best_stream = min(row.best_stream or row.mean_stream, row.mean_stream)
            if seq.output:
                engine.stream_pace += PACE_STEP * (min(3.0, stream / seq.output) - engine.stream_pace)
        if seq.cluster is None or seq.over_share or not seq.attempts:
            return
        first = seq.attempts[seq.broke if seq.broke < len(seq.attempts) else 0]
        local = not first.is_read
        won = (outcome is Outcome.GENERATED and 0 < attempt.started_at <= seq.slo_at
               and (not seq.output or stream <= STREAM_SLACK * seq.output))
        seq.cluster.tries[local] += 1
        seq.cluster.wins[local] += won
        seq.cluster = None

    # Picking engines.

    def _keys(self, seq: Sequence) -> tuple[tuple[str, int], tuple[str, int]]:
        prompt = seq.prompt
        return (prompt.session, prompt.tokens), (prompt.shared, prompt.shared_tokens)

    def _take_lane(self, seq: Sequence) -> None:
        left = seq.prompt.tokens - seq.prompt.shared_tokens
        seq.long = left * self.read_pace.get(Role.READER, FIRST_READ_PACE) > self.long_read
        fading, self.work_at = math.exp((self.work_at - self.now) / KEPT_FOR), self.now
        self.work = {long: fading * tokens + left * (long is seq.long) for long, tokens in self.work.items()}
        few = self.met.get("", (0.0, 0))[0] < ENOUGH_MET
        lanes = few or self.work[True] > LONG_PART / 2 * sum(self.work.values())
        if lanes is not self.lanes:
            self.lanes = lanes
            self._part_lanes()

    def _part_lanes(self) -> None:
        """A read that alone makes who waits behind it late is long. Of many nodes none sees which reader is at one,
        and each meets too few to tell what part they are: so they keep to readers that all know by the list alone.
        Not where a node has met enough to tell that there are hardly any, nor in a zone with cold readers."""
        cold_zones = {e.row.zone for e in self.index.cold if e.role is Role.READER}
        sizes = {zone: round(LONG_PART * len(near)) for zone, near in self.index.readers.items()
                 if self.lanes and zone not in cold_zones and LONG_PART * len(near) >= 1}
        self.index.lanes.part(self.index.readers, sizes)
        self.homes.clear()

    def _homes(self, shared: str, long: bool) -> list[Engine]:
        """Of many nodes each knows next to nothing of what was sent: so all presume a shared beginning to be
        kept by the same readers of their zone, by hash. Each home has to read it once, so one has as many as
        its part of what arrives here would fill; where nodes judge that differently, their sets still nest."""
        near = self.index.readers.get(self.settings.zone, [])
        if (shared, long) not in self.homes:
            some = window(near, point(shared), len(near) if not self.index.large else HOMES_AMONG)
            lane = sorted((e for e in some if e.long is long), key=lambda e: rank(e, shared))
            while len(self.homes) >= self.names_most:
                del self.homes[next(iter(self.homes))]
            self.homes[shared, long] = lane[:min(MOST_HOMES, math.ceil(HOME_PART * len(near)))]
        part = self._meet(shared) / max(1.0, self._meet(""))
        return self.homes[shared, long][:max(1, math.ceil(part * len(near)))] if shared else []

    def _meet(self, shared: str) -> float:
        """How often this beginning came before, fading as fast as what is kept."""
        count, at = self.met.pop(shared, (0.0, self.now))
        count *= math.exp((at - self.now) / KEPT_FOR)
        self.met[shared] = count + 1, self.now
        while len(self.met) > self.names_most:
            del self.met[next(iter(self.met))]
        return count

    def _known(self, engine: Engine, seq: Sequence) -> int:
        if not engine.kept:
            return 0
        best = 0
        for key, most in self._keys(seq):
            noted = engine.kept.get(key) if key else None
            if noted is not None and self.now - noted[1] < KEPT_FOR:
                best = max(best, min(noted[0], most))
        return best

    def _kept(self, engine: Engine | None, seq: Sequence) -> int:
        if engine is None:
            return 0
        known = self._known(engine, seq)
        return max(seq.prompt.shared_tokens, known) if engine in seq.homes else known

    def _keep(self, engine: Engine, seq: Sequence) -> None:
        for key, tokens in self._keys(seq):
            if key and tokens:
                known = engine.kept.pop(key, None)
                engine.kept[key] = (tokens, self.now)
                if known is None:
                    self.remembered.added(self.engines.values())
                self.index.keeps(key, engine)
        while len(engine.kept) > KEPT_MOST:
            del engine.kept[next(iter(engine.kept))]

    def _usable(self, seq: Sequence, *roles: Role) -> list[Engine]:
        """Engines of these roles that the rules allow and that are thought well, best known first tried."""
        if not self.index.large:
            return self._usable_of(seq, roles, self.engines.values())
        (session, _), (shared, _) = self._keys(seq)
        place = seq.may_have_run.row if seq.may_have_run else seq.reader.row if seq.reader else None
        for width in self.index.widths():
            usable = self._usable_of(seq, roles, self.index.candidates(
                roles, (session, shared), (*seq.homes, *seq.turns), session, place, seq.long, width))
            if usable:
                return usable
        return []

    def _usable_of(self, seq: Sequence, roles: tuple[Role, ...], engines: Iterable[Engine]) -> list[Engine]:
        allowed = [e for e in engines if e.role in roles and self._may_send(seq, e)]
        well = [e for e in allowed if e.standing is Standing.TRUSTED
                or e.standing is Standing.EJECTED and e.eject_until <= self.now]
        fresh = [e for e in well if e in seq.turns] or [e for e in well if e not in seq.tried]
        return fresh or well

    def _reader(self, seq: Sequence) -> Engine | None:
        """Longest kept beginning, else by hash; the next one when that would use up the latency SLO. A turn
        of a session comes by way of any node: so all nodes hash it to the same home."""
        readers, session = self._usable(seq, Role.READER), seq.prompt.session
        away = {e: e.row.zone != self.settings.zone for e in readers}
        lane = self.long_read / self.read_pace.get(Role.READER, FIRST_READ_PACE)
        readers.sort(key=lambda e: (lane * (e.long is not seq.long) + AWAY_TOKENS * away[e] - self._kept(e, seq),
                                    away[e], e not in seq.homes, rank(e, session)))
        best = next((e for e in readers if self._soon(e, seq, SPILL)), None)
        if best is None:
            best = min(readers, key=lambda e: self._read_time(e, self._left(e, seq)), default=None)
        return best if best and self._soon(best, seq, LESS_ROOM if seq.over_share else 1.0) else None

    def _soon(self, engine: Engine, seq: Sequence, part: float) -> bool:
        """Within this part of the SLO, and within what is left of it and of a client's try. Where others wait
        a long read makes them wait in turn: there it counts once more, up to what is waited already."""
        left = min(seq.slo_at, seq.abandon_at) - self.now
        tokens = self._left(engine, seq)
        took = self._read_time(engine, tokens)
        own = self.read_pace.get(engine.role, FIRST_READ_PACE) * tokens
        return took <= part * (seq.slo_at - seq.arrived) and took + min(own, took - own) <= ADMIT * left

    def _read_time(self, engine: Engine, tokens: int) -> float:
        """Own tokens at the pace of an idle engine, and a wait that grows with what is outstanding of them,
        in which the other nodes' work shows. What is known of one engine's wait soon tells nothing more: then
        it is taken for as busy as its role usually is, or for idle if it has started since that was seen."""
        pace = self.read_pace.get(engine.role, FIRST_READ_PACE)
        peers = engine.role, engine.long
        peers = peers if peers in self.read_wait else (engine.role, not engine.long)
        usual = self.read_wait.get(peers, 0.0) if self.noted.get(peers, 0) >= engine.row.started_at else 0.0
        known = math.exp((engine.read_at - self.now) / WAIT_FOR) if engine.read_at else 0.0
        wait, ahead = usual + known * (engine.read_wait - usual), READ_OVERHEAD + engine.reading
        return pace * (ahead + tokens) + wait * ahead

    def _load(self, engine: Engine) -> float:
        """By last report and own sends since, else own streams; set against the listed size. Chance parts
        what is alike, in proportion to size: else many nodes with hardly any streams would take the same."""
        report = engine.report
        if report and "inflight" in report.values and self.now - report.at < 3 * PROBE_EVERY:
            full = 1 + report.values.get("x0", 0.0)  # share of memory held
            return (report.values["inflight"] + engine.sent_since + self.chance()) * full / engine.row.size
        return (engine.streams + self.chance()) / engine.row.size

    def _writer(self, seq: Sequence) -> Engine | None:
        """Most room; the reader's rack is preferred among writers with like room."""
        def cost(e: Engine) -> float:
            at = seq.reader.row if seq.reader else e.row
            far = OTHER_ZONE if e.row.zone != at.zone else OTHER_RACK if e.row.rack != at.rack else 1
            return self._load(e) * far
        return min(self._usable(seq, Role.WRITER, Role.MIXED), key=cost, default=None)

    def _local_engine(self, seq: Sequence) -> Engine | None:
        """A writer with room that may read, else a mixed engine, by longest kept beginning."""
        free = [e for e in self._usable(seq, Role.WRITER) if self._soon(e, seq, self.local_part)]
        least = min((e.streams / e.row.size for e in free), default=0)
        roomy = [e for e in free if e.streams / e.row.size <= 1 + LOCAL_ROOM * least]
        roomy = roomy if self.settings.writers_read else []
        best = max(roomy, key=lambda e: (self._kept(e, seq), -self._load(e)), default=None)
        return best or self._mixed(seq)

    def _mixed(self, seq: Sequence) -> Engine | None:
        """A mixed engine, by longest kept beginning. The slower its streams run, the less it may read."""
        free = [e for e in self._usable(seq, Role.MIXED) if self._soon(e, seq, max(
            self.local_part, SPILL if e.stream_pace < AT_EASE else 0) / max(1, e.stream_pace) ** 3)]
        return max(free, key=lambda e: (self._kept(e, seq), -self._load(e)), default=None)

    def _helps(self, seq: Sequence) -> bool:
        """Whether mixed engines are there for this read: each node takes its part of what they could read beside their
        answers, by chance. Else all turn to them in the same second, each for the first time, and jam them."""
        part, since = MIXED_READS * self.index.mixed / self.settings.nodes, self.now - self.helped_at
        self.help, self.helped_at = min(part * USUAL_FOR, self.help + part * since), self.now
        own = self.read_pace.get(Role.MIXED, FIRST_READ_PACE) * (READ_OVERHEAD + seq.prompt.tokens)
        helps = not self.index.readers or self.chance() * own < self.help
        self.help = max(0.0, self.help - own)  # a draw costs what it could win, won or lost
        return helps

    # Rules' guards: each in one place.

    def _may_send(self, seq: Sequence, engine: Engine) -> bool:
        """Drains, cold engines' turns, and where a tokened sequence may go again. Every send passes here."""
        if not engine.listed or self._is_cold(engine) and engine not in seq.turns:
            return False
        return self._in_group(seq, engine)

    def _in_group(self, seq: Sequence, engine: Engine) -> bool:
        """Whether a repeat there would be dropped, or harms nothing. A read has no effect, but is a send like any
        other (WIRE 15.2): behind an attempt that may have run it keeps to group and window as well."""
        ran = seq.may_have_run
        if ran is None or seq.row.effect is Effect.REPEATABLE:
            return True
        here, there = engine.row, ran.row
        same = here.zone == there.zone and (seq.row.group == "zone" or here.rack == there.rack)
        return (seq.row.effect is Effect.TOKENED and self.now - ran.sent_at < seq.row.window
                and (seq.row.group == "all" or same))

    def _repeats(self, seq: Sequence) -> bool:
        return seq.may_have_run is None or seq.row.effect is not Effect.ONCE_ONLY

    def _may_go_on(self, seq: Sequence, attempt: Attempt) -> bool:
        """A started stream has had its effect: once-only never goes on, tokened only inside its window (where
        to, _may_send says), and nothing beyond the schedule attempts allowed."""
        ran, effect = seq.may_have_run or attempt, seq.row.effect
        in_window = effect is Effect.TOKENED and self.now - ran.sent_at < seq.row.window
        return (self.settings.streams_go_on and len(seq.attempts) < self.settings.max_attempts
                and (effect is Effect.REPEATABLE or in_window))

    def _is_cold(self, engine: Engine) -> bool:
        return 0 < engine.row.started_at and self.now - engine.row.started_at < self.settings.cold_time

    def _take_turns(self, seq: Sequence) -> None:
        """Cold engines that are due this sequence."""
        self._look_at_cold()
        seq.turns.update(self.slow_start.deal(self.now, seq.prompt.tokens))

    def _taken(self, attempt: Attempt) -> None:
        """An engine has read a prompt, or begun an answer."""
        if not self._is_cold(attempt.engine):
            self.slow_start.taken(self.now, attempt.row, attempt.is_read)

    def _send(self, seq: Sequence, engine: Engine) -> None:
        left = seq.abandon_at - self.now
        fetches = seq.held and engine.role is not Role.READER
        tokens = self._left(engine, seq)
        remainder = 0 if fetches else READ_OVERHEAD + tokens
        reads, patience = engine.role is Role.READER, left
        expected = READ_PATIENCE * (self._read_time(engine, tokens) if remainder else 0)
        if reads:
            patience = max(expected, READ_SLO_PART * (seq.slo_at - seq.arrived))
        else:
            if len(seq.attempts) + 1 < self.settings.max_attempts and seq.row.effect is not Effect.ONCE_ONLY:
                expected += WAIT_PATIENCE * self.usual_wait
                patience = max(expected, WAIT_SLO_PART * (seq.slo_at - seq.arrived))
            if seq.may_have_run and seq.row.effect is Effect.TOKENED:  # no longer than repeats are dropped
                patience = min(patience, seq.may_have_run.sent_at + seq.row.window - self.now)
            engine.streams += 1
            engine.sent_since += 1
        engine.reading += remainder
        attempt = Attempt(seq, engine, engine.row, engine.role, len(seq.attempts), self.now, remainder, self._known(engine, seq), engine.reading)
        if attempt.reads:
            self._keep(engine, seq)  # reads go first come first: what is sent next finds this one's beginning
        seq.attempts.append(attempt)
        seq.out = attempt
        engine.out[attempt] = None
        if engine.standing is Standing.EJECTED and engine.eject_until <= self.now:
            self._judged(engine, Standing.ON_TRIAL, f"after {engine.pause // MS} ms")
        seq.turns.pop(engine, None)
        self._change(seq, State.READING if reads else State.WRITING, engine, min(left, round(patience)))

    def _give_up(self, seq: Sequence) -> None:
        """Answered at once. A rejection only where the rules let the client repeat. A broken stream that none
        can take now is not given up yet: it waits for its next turn, as long as it may go on."""
        if seq.broke and self.now < seq.abandon_at and self._may_go_on(seq, seq.attempts[-1]):
            return self._change(seq, State.BROKEN)
        harmless = seq.may_have_run is None or seq.row.effect is Effect.REPEATABLE or (
            seq.row.effect is Effect.TOKENED and seq.row.group == "all" and not seq.broke)
        state = State.REJECTED if harmless else State.ABORTED
        if seq.attempts:
            self._credit(seq, seq.attempts[-1], Outcome.ERROR)
        self._change(seq, state, come_back=round(COME_BACK * self.settings.max_come_back) if harmless else 0)

    def _change(self, seq: Sequence, state: State, engine: Engine | None = None, time_out: int = 0,
                come_back: int = 0, recalls: bool = False) -> None:
        """Every state change of a sequence. What a read left anywhere is let go with the end, and before a
        new read: 'no state' from a writer that is cut off does not prove that nothing is held elsewhere. A
        schedule attempt still out keeps its state waiting: then the end of that attempt lets go."""
        seq.state = state
        sends = state in (State.READING, State.WRITING)
        idle = state is State.BROKEN or state in FINAL and seq.out is None
        lets_go = seq.pinned and (sends and not seq.held or idle)
        if lets_go:  # and again at the end: across a cut a state may outlast being let go once
            seq.held = False
        ordinal, name = seq.out.ordinal if seq.out else 0, engine.id if engine else ""
        # What a client has left is recalled: where many leave and come again, nobody's work fills the queues.
        recalls = recalls or state is State.LEFT and seq.out is not None and self.settings.may_recall
        self.changes.append(SequenceChange(seq.id, state, name, ordinal, time_out, come_back, lets_go,
                                           recalls))
        if state in FINAL and seq.out is None:
            self.seqs.pop(seq.id, None)

    # What outcomes tell of engines.

    def _settle(self, attempt: Attempt, outcome: Outcome, kept: int, report: Report | None) -> None:
        """Closes a schedule attempt: counts, kept beginnings, pace and health of its engine."""
        seq, engine = attempt.seq, attempt.engine
        seq.out = None
        engine.out.pop(attempt, None)
        if not attempt.started_at:
            late = outcome is Outcome.TIMED_OUT
            self._read_over(attempt, late or outcome is Outcome.READ, late)
        if not attempt.is_read:
            engine.streams -= 1
            engine.sent_since -= 1
        if report:
            engine.report, engine.sent_since = report, 0
        read_here = outcome is Outcome.READ or outcome is Outcome.GENERATED and attempt.reads
        if read_here:
            if attempt.believed > LEAST_BELIEVED and kept < FORGOT * attempt.believed:
                engine.kept.clear()  # flush or restart: it no longer keeps what it kept
            self._keep(engine, seq)
        if outcome is Outcome.GENERATED and attempt.started_at:
            engine.last_good = self.now  # its start was judged when it came
        elif outcome in (Outcome.READ, Outcome.GENERATED):
            self._good(attempt)
        elif outcome in ILL:
            # A time-out at an engine that has answered others since is a queue, not an illness.
            quiet = engine.last_good < attempt.sent_at
            if outcome is not Outcome.TIMED_OUT or quiet or self._far_slower(attempt):
                self._failed(attempt, outcome.value)
        if engine.standing is Standing.ON_TRIAL and attempt.sent_at >= engine.ejected_at:
            engine.standing = Standing.EJECTED  # the trial told nothing: the next sequence is another

    def _weight(self, of: object) -> float:
        """Of the newest value in what is usual: more, the longer nothing was seen."""
        since, self.noted[of] = self.now - self.noted.get(of, 0), self.now
        return 1 - math.exp(-since / USUAL_FOR)

    def _read_over(self, attempt: Attempt, learn: bool = True, late: bool = False) -> None:
        engine = attempt.engine
        engine.reading -= attempt.reads
        if learn and attempt.reads:
            role, peers, took = attempt.role, (attempt.role, engine.long), self.now - attempt.sent_at
            pace, seen = self.read_pace.get(role, FIRST_READ_PACE), took / max(1, attempt.queue)
            self.read_pace[role] = pace + (PACE_DOWN if seen < pace else PACE_UP) * (seen - pace)
            wait = max(0.0, took - pace * attempt.queue) / (READ_OVERHEAD + attempt.queue - attempt.reads)
            engine.read_wait += READ_STEP * (wait - engine.read_wait) if engine.read_at else wait
            engine.read_at = self.now
            # A time-out after others of the role have read is the engine's own, or its answer was lost.
            if not late or self.noted.get(peers, 0) < attempt.sent_at:
                usual = self.read_wait.get(peers, 0.0)
                self.read_wait[peers] = usual + self._weight(peers) * (wait - usual)

    def _far_slower(self, attempt: Attempt) -> bool:
        """A start at a warm writer that took far longer than is usual: the engine or its link is slow. What
        all have, a queue, does not count."""
        engine, seq, usual = attempt.engine, attempt.seq, self.usual_wait
        if attempt.reads or attempt.is_read or self._is_cold(engine):
            return False
        took = self.now - attempt.sent_at
        self.usual_wait = took if not usual else usual + self._weight("wait") * (min(took, 2 * usual) - usual)
        return 0 < usual < took / FAR_SLOWER and took > QUICK * (seq.slo_at - seq.arrived)

    def _good(self, attempt: Attempt) -> None:
        """Only what was sent since an ejection speaks for the engine: older answers would readmit one that
        fails fast and often, and every node's next sequences would fall into it."""
        engine = attempt.engine
        engine.last_good = self.now
        if attempt.sent_at < engine.ejected_at:
            return
        engine.failures, engine.eject_until = 0, 0
        if engine.standing is not Standing.TRUSTED:
            self._judged(engine, Standing.TRUSTED, "answered")
        elif self.now - engine.ejected_at > 2 * LONGEST_PAUSE:
            engine.pause = 0

    def _failed(self, attempt: Attempt, reason: str) -> None:
        """Failures in a row; growing pauses; a failed trial ejects again. Where nothing good was heard for
        long before, one failure is all there is to go by, and the pause is as long as that silence: a node of
        many comes by an engine so seldom that short pauses end before its next sequence."""
        engine = attempt.engine
        silent = attempt.sent_at - max(engine.last_good, self.born)
        engine.failures += EJECT_AFTER if silent > PROOF_FOR else 1
        tried = engine.standing is Standing.ON_TRIAL and attempt.sent_at >= engine.ejected_at
        if tried or engine.standing is Standing.TRUSTED and engine.failures >= EJECT_AFTER:
            engine.pause = min(LONGEST_PAUSE, engine.pause * 2 or FIRST_PAUSE)
            engine.pause = max(engine.pause, min(LONGEST_SILENCE, silent))
            engine.ejected_at, engine.eject_until = self.now, self.now + engine.pause
            self._judged(engine, Standing.EJECTED, reason)

    def _judged(self, engine: Engine, standing: Standing, reason: str) -> None:
        engine.standing = standing
        self.changes.append(EngineChange(engine.id, standing, reason=reason))

    def _over_share(self, customer: str) -> bool:
        """A node's part of a customer's allowance is its share among the nodes."""
        rate = self.settings.allowances.get(customer, 0) / self.settings.nodes
        if not rate:
            return False
        tokens, at = self.buckets.get(customer, (rate, self.now))
        tokens = min(2 * rate, tokens + rate * (self.now - at) / S)
        self.buckets[customer] = (max(0.0, tokens - 1), self.now)
        return tokens < 1
