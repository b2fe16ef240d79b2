"""One helper for all tests: plays calls into a node and compares the printed changes with the kept trace."""
import os
from pathlib import Path

from aniserudder.decisions.interface import (Availability, Effect, Outcome, Prompt, Report, Role, RosterRow, SequenceChange,
                                   Settings, TypeSettings)
from aniserudder.decisions.rules import Node

TRACES = Path(__file__).parent / "traces"
MS, S = 1_000, 1_000_000


def settings(**changes) -> Settings:
    def of(name, utility, effect):
        return TypeSettings(name, utility, 1500 * MS, 40 * MS, 60 * MS, effect, "zone", 5 * S)
    base = dict(nodes=2, zone="east",
                types=(of("note", 1, Effect.REPEATABLE), of("post", 3, Effect.ONCE_ONLY), of("mark", 2, Effect.TOKENED)),
                roles={"r": Role.READER, "w": Role.WRITER, "m": Role.MIXED}, writers_read=True,
                may_probe=False, may_recall=True, report_fields=(), max_attempts=4, max_come_back=S,
                cold_share=0.3, cold_time=10 * S, fall_multiple=2.5,
                allowances={})
    return Settings(**{**base, **changes})


class Story:
    def __init__(self, engines="r1 r2 w1 w2 m1", seed=7, **changes) -> None:
        self.node, self.now, self.lines = Node(settings(**changes), seed), S, []
        self.roster(*engines.split(), complete=True)

    def row(self, name, availability=Availability.RUNNING, started=0):
        return RosterRow(name, name[0], "west" if name.endswith("x") else "east", availability, started, 1.0, 1)

    def show(self, said, changes):
        self.lines.append(f"{(self.now - S) / S:7.3f} {said}")
        for c in changes:
            if isinstance(c, SequenceChange):
                extra = f" {c.engine}" * bool(c.engine) + f" time-out {c.time_out / S:.3f}" * bool(c.time_out)
                extra += f" come back {c.come_back / S:.3f}" * bool(c.come_back) + " lets go" * c.lets_go + " recalled" * c.recalls
                self.lines.append(f"          -> {c.seq} {c.state.value}{extra}")
            else:
                self.lines.append(f"          -> {c.engine} {c.standing.value} {c.reason}{' probe' * c.probe}")
        return self

    def after(self, seconds):
        self.now += round(seconds * S)
        return self

    def roster(self, *names, complete=False, **kw):
        rows = [self.row(n, **kw) for n in names]
        return self.show(f"roster {' '.join(names)}", self.node.roster(self.now, rows, complete))

    def arrive(self, id, kind="note", tokens=3000, session="", shared="", time_left=6.0, customer=""):
        prompt = self.prompt(kind, session or id, shared, tokens, time_left, customer)
        return self.show(f"arrived {id} {kind} {tokens}", self.node.arrived(self.now, id, prompt))

    @staticmethod
    def prompt(kind, session, shared, tokens, time_left, customer=""):
        return Prompt(kind, session, shared, tokens, tokens // 2 if shared else 0, 400, 0, round(time_left * S), customer)

    def end(self, id, ordinal, outcome, kept=0, final=False, report=None):
        heard = Report(self.now, report) if report else None
        return self.show(f"ended {id} {ordinal} {outcome.value}",
                         self.node.ended(self.now, id, ordinal, outcome, kept, final, heard))

    def start(self, id, ordinal):
        return self.show(f"started {id} {ordinal}", self.node.started(self.now, id, ordinal))

    def turn(self, id, tokens):
        """A broken stream's turn; without tokens it has none any more."""
        prompt = Prompt("", id, "", tokens, 0, 380, 0, 4 * S) if tokens else None
        return self.show(f"turn of {id} {tokens}", self.node.goes_on(self.now, id, prompt))

    def trickle(self, id, ordinal):
        return self.show(f"{id} {ordinal} trickles", self.node.trickles(self.now, id, ordinal))

    def leave(self, id):
        return self.show(f"client left {id}", self.node.client_left(self.now, id))

    def serve(self, id, ordinal=0):
        """Read, start and finish."""
        self.after(0.1).end(id, ordinal, Outcome.READ).after(0.05).start(id, ordinal + 1)
        return self.after(1).end(id, ordinal + 1, Outcome.GENERATED, final=True)

    def check(self, name):
        text, kept = "\n".join(self.lines) + "\n", TRACES / f"{name}.txt"
        if os.environ.get("KEEP_TRACES"):  # after a meant change: write the traces anew, then read the diff
            kept.write_text(text)
        assert kept.exists(), f"no kept trace {kept.name}; the decisions were:\n{text}"
        assert text == kept.read_text()
