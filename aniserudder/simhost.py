"""Adapter between the simulator's line protocol and the decision module. Nothing is decided here.

Reads batches on standard input, decodes each message into one call of the instance's ``Node``, and encodes
the state changes that the call returns. Instances share nothing.
"""
from __future__ import annotations

import json
import sys
import traceback
from typing import Any, TextIO

from .boot import decode_settings, micros
from .decisions.interface import (Availability, EngineChange, Outcome, Prompt, Report, RosterRow, SequenceChange, Standing,
                                  State)
from .decisions.rules import Node

AVAILABILITY = {"Running": Availability.RUNNING, "Stopping": Availability.DRAINING,
                "Deleted": Availability.GONE}
OUTCOMES = {"pass": Outcome.GENERATED, "fault": Outcome.ERROR, "no_room": Outcome.FULL,
            "too_slow": Outcome.TIMED_OUT, "no_route": Outcome.NO_ROUTE, "cut": Outcome.CUT,
            "undone": Outcome.RECALLED,
            "stale_send": Outcome.NOT_SENT, "read": Outcome.READ}


class Malformed(Exception):
    """A message that cannot be understood."""


def decode_row(row: dict[str, Any]) -> RosterRow:
    return RosterRow(row["engine"], row.get("kind", ""), row.get("az", ""),
                     AVAILABILITY.get(row.get("availability", ""), Availability.DRAINING),
                     micros(row.get("started-at")), float(row.get("power-hint") or 1.0), row.get("block", -1))


def decode_prompt(m: dict[str, Any]) -> Prompt:
    tenant = m.get("tenant") or ""
    return Prompt(m["type"], m.get("talk") or "", m.get("system-prompt") or "",
                  round(m.get("input-len") or 0), round(m.get("shared-len") or 0),
                  round(m.get("output-cap") or 0),
                  micros(m.get("predicted")), micros(m["grace"]), str(tenant))


class Instance:
    """One node and the encoding of what it decides."""

    def __init__(self, name: str, message: dict[str, Any]) -> None:
        self.name = name
        settings = decode_settings(message["boot-info"])
        self.fields = settings.report_fields
        self.node = Node(settings, message["prng"])
        self.timer_at = 0
        self.token = 0

    def report(self, now: int, m: dict[str, Any]) -> Report | None:
        values = m.get("metrics")
        return Report(now, dict(zip(self.fields, values))) if values else None

    def handle(self, now: int, m: dict[str, Any]) -> list[dict[str, Any]]:
        node = self.node
        match m["cmd"]:
            case "fleet":
                complete = m["how"] in ("replace", "restored")
                rows = [] if m["how"] == "unavailable" else [decode_row(r) for r in m.get("rows") or []]
                changes = node.roster(now, rows, complete)
            case "knock":
                changes = node.arrived(now, m["request-id"], decode_prompt(m))
            case "started":
                changes = node.started(now, m["request-id"], m.get("leg", 0))
            case "response":
                outcome = OUTCOMES.get(m["result"], Outcome.ERROR)
                if outcome is Outcome.FULL and m.get("note"):
                    outcome = Outcome.NO_STATE
                changes = node.ended(now, m["request-id"], m.get("leg", 0), outcome,
                                     round(m.get("note") or 0), bool(m.get("done-flag")), self.report(now, m))
            case "dropped":
                changes = node.client_left(now, m["request-id"])
            case "probe-done":
                changes = node.probed(now, m["engine"], m.get("result") == "pass", self.report(now, m))
            case "timeout-fired":
                if m.get("token") != self.token:
                    return []
                self.timer_at = 0
                changes = node.wake(now)
            case _:  # peers' messages and answers about places: nothing here asks for either
                return []
        return [a for c in changes for a in self.encode(c)]

    def encode(self, change: SequenceChange | EngineChange) -> list[dict[str, Any]]:
        if isinstance(change, EngineChange):
            done = [self.act("health-check", engine=change.engine)] if change.probe else []
            if change.standing is not Standing.SAMPLED:
                text = f"{change.engine} {change.standing.value}: {change.reason}"
                done.append(self.act("trace", msg=text))
            return done
        done = [self.act("give-up-hold", **{"request-id": change.seq})] if change.lets_go else []
        ref = {"request-id": change.seq}
        if change.recalls:
            done.append(self.act("call-off", **ref, leg=change.ordinal))
        match change.state:
            case State.READING | State.WRITING:
                limit = {"give-up-after": change.time_out / 1e6}
                done.append(self.act("send", **ref, engine=change.engine, **limit))
            case State.REJECTED:
                done.append(self.act("turn-away", **ref, **{"stay-away": change.come_back / 1e6}))
            case State.ABORTED:
                done.append(self.act("finish-error", **ref))
        return done

    def act(self, cmd: str, **fields: Any) -> dict[str, Any]:
        return {"cmd": cmd, "node": self.name, **fields}

    def next_timer(self) -> list[dict[str, Any]]:
        at = self.node.wake_at
        if not at or (self.timer_at and self.timer_at <= at):
            return []
        self.timer_at, self.token = at, self.token + 1
        return [self.act("schedule", token=self.token, **{"due-at": at / 1e6})]


KNOWN = {"tick", "end", "spawn", "exit", "fleet", "knock", "started", "place-note", "response", "dropped",
         "timeout-fired", "probe-done", "heard"}


class Host:
    """Many isolated instances behind one pair of streams."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.now = 0
        self.reply: list[dict[str, Any]] = []
        self.touched: dict[str, Instance] = {}

    def take(self, m: dict[str, Any], out: TextIO) -> None:
        cmd = m.get("cmd")
        if cmd not in KNOWN:
            raise Malformed(f"unknown message {cmd!r}")
        if cmd == "tick":
            self.now, self.reply, self.touched = micros(m["t"]), [], {}
        elif cmd == "end":
            for instance in self.touched.values():
                self.reply += instance.next_timer()
            out.write("".join(json.dumps(a) + "\n" for a in self.reply) + '{"cmd":"ready"}\n')
            out.flush()
        else:
            self.deliver(m["node"], cmd, m)

    def deliver(self, name: str, cmd: str, m: dict[str, Any]) -> None:
        if cmd == "exit":
            self.instances.pop(name, None)
            self.touched.pop(name, None)
            return
        if cmd == "spawn":
            self.instances[name] = self.touched[name] = Instance(name, m)
            return
        instance = self.instances.get(name)
        if instance is None:
            return
        self.touched[name] = instance
        try:
            self.reply += instance.handle(self.now, m)
        except KeyError as missing:
            last = traceback.extract_tb(missing.__traceback__)[-1]
            if last.filename == __file__:
                raise Malformed(f"{cmd} lacks {missing}") from None
            self.failed(name, missing)
        except Exception as cause:  # the wire has a message for a module that failed; the day ends with it
            self.failed(name, cause)

    def failed(self, name: str, cause: Exception) -> None:
        where = traceback.extract_tb(cause.__traceback__)[-1]
        text = f"{name}: {type(cause).__name__}: {cause} ({where.name}, line {where.lineno})"
        self.reply.append({"cmd": "bug", "node": name, "msg": text})


def main(lines: TextIO = sys.stdin, out: TextIO = sys.stdout) -> int:
    host = Host()
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            message = json.loads(line)
            if not isinstance(message, dict):
                raise Malformed("not an object")
            host.take(message, out)
        except json.JSONDecodeError as wrong:
            problem = f"not JSON: {wrong.msg}"
        except KeyError as missing:
            problem = f"lacks {missing}"
        except (Malformed, TypeError, ValueError) as wrong:
            problem = str(wrong)
        else:
            continue
        print(f"line {number}: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
