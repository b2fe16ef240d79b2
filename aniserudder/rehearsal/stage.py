"""Plays a drawn day: stand-in engines, roster and clients in this process, each node in a process of its own.

All that is witnessed is witnessed in this one process, on one clock. Nodes are told nothing but what their sockets
carry, and are killed outright where the script says so.
"""
from __future__ import annotations

import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import BinaryIO

import yaml
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.interfaces import IReactorCore, IReactorProcess, IReactorTCP
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

from ..core import Unequal, replay
from ..messages.vocabulary import Vocabulary
from ..settings.schema import Row
from ..standins import disk
from ..standins.client import Clients, Front, NodeSeat
from ..standins.engine import Repeats, StandinEngine
from ..standins.ports import PORTS
from ..standins.relay import Bad, Relay
from ..standins.roster import StandinRoster
from ..standins.witness import Witness
from .day import Day, Fault
from .plan import Plan, Strike

READY_WITHIN = 20.0   # seconds for the nodes to listen
EXIT_WITHIN = 15.0    # seconds for a node to stop in order
SWAP_S = 0.3          # seconds from an engine's end in its old role to its start in the new one
LISTS_HEAR_S = 5.0    # seconds until a list server that came back old has heard of its engines
HOLDS_SETTLE = 0.6    # seconds after the last node's end, for releases under way


class NodeFailed(Exception):
    """A node did not start, or did not stop in order."""


@dataclass(slots=True)
class Ran:
    """What a played day left."""
    lines: list[dict[str, object]]
    replayed: int = 0
    unequal: str = ""
    exits: dict[str, int] = None
    trouble: str = ""


class NodeProcess(ProcessProtocol):
    """One node's process."""

    def __init__(self, name: str, log: BinaryIO) -> None:
        self.name, self.log = name, log
        self.ended: Deferred[int] = Deferred()
        self.killed = False

    def errReceived(self, data: bytes) -> None:
        self.log.write(data)

    outReceived = errReceived

    def processEnded(self, reason: Failure) -> None:
        code = reason.value.exitCode
        self.ended.callback(-9 if code is None else code)


class FloodProcess(ProcessProtocol):
    """A runaway client's process."""

    def __init__(self, done: Callable[[dict[str, int]], None]) -> None:
        self.done, self.said = done, b""

    def outReceived(self, data: bytes) -> None:
        self.said += data

    def processEnded(self, reason: Failure) -> None:
        if self.said:
            self.done(json.loads(self.said))


class Stage:
    """One day on loopback.

    Args:
        folder: takes the nodes' settings, logs, last lists and decision records.
        say: called with a line of progress.
    """

    wall = staticmethod(time.time)

    def __init__(self, reactor: IReactorTCP | IReactorProcess | IReactorCore, day: Day, plan: Plan, seed: int,
                 folder: Path, say: Callable[[str], None], out: BinaryIO | None = None) -> None:
        self.reactor, self.day, self.plan, self.folder, self.say = reactor, day, plan, folder, say
        self.witness = Witness(reactor, out)
        rules = day.rules
        types = {n: {"slo_us": round(t.latency_slo_ms * 1000), "effect": t.effect} for n, t in day.types.items()}
        self.witness.note("day", seed=seed, plan=plan.digest, sequences=len(plan.ops), types=types,
                          rules=rules.model_dump(), connect_ms=250, max_attempts=day.max_attempts)
        self._chance = Random(f"{seed} engines").random
        window = max((t.repeat_window_ms for t in day.types.values()), default=5000) / 1000
        marks = Repeats(window)
        self.engines = {s.name: self.make_engine(reactor, s, self.witness, day.zones, self._chance, marks)
                        for s in plan.engines}
        for spec in plan.engines:
            self.witness.note("engine", engine=spec.name, role=spec.role)
        rows = [Row(engine=s.name, address="127.0.0.1:1", kind=s.kind, zone=s.zone, rack=s.rack) for s in plan.engines]
        self.roster = StandinRoster(reactor, rows, self.witness,
                                    lambda engine, node: self.engines[engine].address(plan.nodes.get(node, "")),
                                    wall=self.wall)
        self.seats = [NodeSeat(n, z, "127.0.0.1", PORTS.draw()) for n, z in plan.nodes.items()]
        self.front = Front(reactor, self.seats, day.traffic.front_notice_ms / 1000)
        slack = round((rules.answer_slack_ms + rules.seen_slack_ms) * 1000) + 200_000
        self.clients = Clients(reactor, self.front, self.witness, slack, Vocabulary(day.event_names))
        self._power = Random(f"{seed} power")
        self._wall_off: dict[str, float] = {}
        self._boots: dict[str, int] = {}  # how often each lost power
        self.ledger_port = PORTS.draw()
        self.relays: dict[tuple[str, str], Relay] = {}
        if day.links:
            there = {"ledger": ("127.0.0.1", self.ledger_port), "lists": ("127.0.0.1", self.roster.listener.port)}
            self.relays = {(seat.name, to): Relay(reactor, target, Random(f"{seed} link {seat.name} {to}"))
                           for seat in self.seats for to, target in there.items()}
        self.ledger: NodeProcess | None = None
        self.processes: dict[str, NodeProcess] = {}
        self.exits: dict[str, int] = {}
        self.trouble = ""

    def make_engine(self, *args: object) -> StandinEngine:
        return StandinEngine(*args)

    def play(self) -> Deferred[Ran]:
        """Runs the day to its end."""
        done: Deferred[Ran] = Deferred()
        if self.day.ledger:
            self._spawn_ledger()
        for seat in self.seats:
            self._spawn(seat)
        self._wait_ready(self.reactor.seconds() + READY_WITHIN, self._ready_seats(), done)
        return done

    # Nodes.

    def _settings(self, seat: NodeSeat) -> Path:
        day, rules = self.day, self.day.rules
        own = {"share", "prompt_tokens", "shared_tokens", "openings", "output_tokens", "turns", "streamed"}
        form = {
            "node": seat.name, "zone": seat.zone, "nodes": len(self.seats), "seed": self.plan.seeds[seat.name],
            "record": str(self.folder / f"{seat.name}.decisions"),
            "messages": {"listen": {"host": seat.host, "port": seat.port}, "event_names": day.event_names},
            "roster": {"server": self._way(seat, "lists", self.roster.listener.address), "last_list": str(self.folder / f"{seat.name}.list")},
            "kinds": {e.kind: {"role": e.role} for e in day.engines},
            "types": {n: t.model_dump(exclude=own) | {"models": [n], "claimed": t.claimed and day.claims} for n, t in day.types.items()},
            "customers": {c: {"keys": [f"{c}-key-1"]} for c in day.traffic.customers},
            "rules": {"answer_margin_ms": rules.answer_margin_ms, "let_go_ms": rules.let_go_ms,
                      "cold_share": rules.cold_share, "cold_ms": rules.cold_ms, "fall_multiple": rules.fall_multiple},
            "limits": {"max_attempts": day.max_attempts},
            "recovery": day.recovery.model_dump(), "admission": day.admission.model_dump(), "streams": day.streams.model_dump()}
        if not day.ledger and day.disk:  # by itself
            form["ledger"] = {"path": str(self.folder / f"{seat.name}.ledger"), "durability": day.disk.durability}
        if day.ledger:
            form["tenants"] = {n: t.model_dump() for n, t in day.tenants.items()}
            form["ledger"] = {"path": str(self.folder / f"{seat.name}.ledger"), "service": self._way(seat, "ledger", f"127.0.0.1:{self.ledger_port}"),
                              "overdraft_tokens": day.overdraft_tokens, "ahead_s": day.ahead_s,
                              "durability": day.disk.durability if day.disk else "process"}
        path = self.folder / f"{seat.name}.yaml"
        path.write_text(yaml.safe_dump(form))
        return path

    def _way(self, seat: NodeSeat, to: str, address: str) -> str:
        """Where a node finds that process."""
        relay = self.relays.get((seat.name, to))
        return relay.address if relay else address

    def _spawn(self, seat: NodeSeat) -> None:
        log = (self.folder / f"{seat.name}.log").open("ab", buffering=0)
        process = self.processes[seat.name] = NodeProcess(seat.name, log)
        process.ended.addCallback(self._ended, seat, process)
        self.witness.note("node_started", node=seat.name)
        # The limit of descriptors is the shell's to set for what it becomes.
        command = f'ulimit -n {self.day.descriptors} && exec "$0" -m aniserudder serve "$1"'
        if self.day.disk:
            command = command.replace("aniserudder", f"aniserudder.cli.faulty_disk {self._disk(seat.name)}")
        self.reactor.spawnProcess(process, "/bin/sh", ["/bin/sh", "-c", command, sys.executable, str(self._settings(seat))],
                                  env=os.environ | {"PYTHONUNBUFFERED": "1"})

    def _disk(self, name: str, **now: object) -> Path:
        """Writes the script of a process's disk, as it is at ordinary times or as ``now`` says."""
        path, form = self.folder / f"{name}.disk", self.day.disk
        script = disk.Script(flush_ms=form.flush_ms, journal=str(self.folder / f"{name}.loose"), at_once=form.at_once,
                             boot=f"{name} {self._boots.get(name, 0)}", wall_off_s=self._wall_off.get(name, 0.0))
        for field, value in now.items():
            setattr(script, field, value)
        disk.play(path, script)
        return path

    def _spawn_ledger(self) -> None:
        log = (self.folder / "ledger.log").open("ab", buffering=0)
        self.ledger = NodeProcess("ledger", log)
        program = ["aniserudder.cli.faulty_disk", str(self._disk("ledger"))] if self.day.disk else ["aniserudder"]
        self.reactor.spawnProcess(self.ledger, sys.executable, [
            sys.executable, "-m", *program, "ledger", "serve", str(self.folder / "central.ledger"), "--port",
            str(self.ledger_port), "--durability", self.day.disk.durability if self.day.disk else "process"], env=os.environ)

    def _flood(self, seat: NodeSeat, fault: Fault, number: int) -> None:
        out = FloodProcess(lambda counts: self.witness.note("flooded", node=seat.name, **counts))
        self.reactor.spawnProcess(out, sys.executable, [
            sys.executable, "-m", "aniserudder.standins.flood", seat.host, str(seat.port), str(fault.seconds),
            str(round(fault.size)), f"127.0.9.{number + 1}"], env=os.environ)

    def _kill_ledger(self, seconds: float) -> None:
        if self.ledger and self.ledger.transport and self.ledger.transport.pid:
            self.ledger.transport.signalProcess("KILL")
        self.reactor.callLater(seconds, self._spawn_ledger)

    def _ended(self, code: int, seat: NodeSeat, process: NodeProcess) -> int:
        self.witness.note("node_ended", node=seat.name, code=code, killed=process.killed)
        process.log.close()
        if not process.killed:
            self.exits[seat.name] = code
            if code != 0:
                self.trouble = self.trouble or f"{seat.name} exited with {code}, see {self.folder}"
        return code

    def _ready_seats(self) -> list[NodeSeat]:
        return list(self.seats)

    def _wait_ready(self, until: float, waiting: list[NodeSeat], done: Deferred[Ran]) -> None:
        waiting = [s for s in waiting if not _listens(s)]
        if not waiting:
            self.say(f"{len(self.seats)} nodes and {len(self.engines)} engines are up")
            self._begin(done)
        elif self.reactor.seconds() > until or self.trouble:
            self._abandon(done, self.trouble or f"{waiting[0].name} does not listen, see {self.folder}")
        else:
            self.reactor.callLater(0.1, self._wait_ready, until, waiting, done)

    def _abandon(self, done: Deferred[Ran], trouble: str) -> None:
        self.trouble = trouble
        for process in self.processes.values():
            if process.transport and process.transport.pid:
                process.killed = True
                process.transport.signalProcess("KILL")
        self._close()
        done.callback(Ran(self.witness.lines, exits=self.exits, trouble=trouble))

    # The day.

    def _begin(self, done: Deferred[Ran]) -> None:
        self.witness.note("begun")
        self.witness.watch_itself()
        for op in self.plan.ops:
            self.reactor.callLater(op.at, self.clients.arrive, op)
        for strike in self.plan.strikes:
            self.reactor.callLater(strike.fault.at, self._try_to_strike, strike)
            if strike.fault.ledger_old_s:
                self.reactor.callLater(max(0.0, strike.fault.at - strike.fault.ledger_old_s), self._copy_ledger)
            if strike.fault.lists_old_s:
                self.reactor.callLater(max(0.0, strike.fault.at - strike.fault.lists_old_s), self._copy_lists)
        for second in range(5, int(self.day.seconds), 5):
            self.reactor.callLater(second, self._progress, second)
        # The nodes are stopped while some sequences are still under way: a stop has to answer them.
        self.reactor.callLater(self.day.seconds + 0.4, self._stop_nodes, done)

    def _progress(self, second: int) -> None:
        self.say(f"{second:3d} s: {self.clients.arrived} arrived, {self.clients.open} open")

    def _stop_nodes(self, done: Deferred[Ran]) -> None:
        running = [p for p in self.processes.values() if p.transport and p.transport.pid]
        for process in running:
            self.witness.note("node_stopping", node=process.name)
            process.transport.signalProcess("TERM")
        timer = self.reactor.callLater(EXIT_WITHIN, self._too_late, running)
        waits = DeferredList([p.ended for p in running])

        def ended(_: object) -> None:
            if timer.active():
                timer.cancel()
            self.reactor.callLater(HOLDS_SETTLE, self._finish, done)
        waits.addCallback(ended)

    def _too_late(self, running: list[NodeProcess]) -> None:
        for process in running:
            if process.transport and process.transport.pid:
                self.trouble = f"{process.name} did not stop within {EXIT_WITHIN:g} s, see {self.folder}"
                process.killed = True
                process.transport.signalProcess("KILL")

    def _finish(self, done: Deferred[Ran]) -> None:
        self.witness.note("over")
        self._close()
        ran = Ran(self.witness.lines, exits=self.exits, trouble=self.trouble)
        for record in sorted(self.folder.glob("*.decisions.*")):
            if not record.stat().st_size:
                continue  # its node lost power before anything of it was on the disk
            try:
                with record.open("rb") as lines:
                    ran.replayed += replay(lines).calls
            except Unequal as wrong:
                ran.unequal = f"{record.name}: {wrong}"[:300]
        done.callback(ran)

    def _close(self) -> None:
        if self.ledger and self.ledger.transport and self.ledger.transport.pid:
            self.ledger.transport.signalProcess("TERM")
        for engine in self.engines.values():
            engine.stop()
        for relay in self.relays.values():
            relay.stop()
        self.roster.stop()

    # Troubles.

    def _try_to_strike(self, strike: Strike) -> None:
        """A fault that could not be made would leave a day that proves less than it says: then the rehearsal fails."""
        try:
            self._strike(strike)
        except Exception as failure:
            self.trouble = self.trouble or f"{strike.fault.trouble} could not be made: {failure}"

    def _strike(self, strike: Strike) -> None:
        fault = strike.fault
        self.witness.note("trouble", trouble=fault.trouble, engines=strike.engines, nodes=strike.nodes,
                          zone=strike.zone, seconds=fault.seconds)
        struck = ", ".join([*strike.engines, *strike.nodes, strike.zone]).strip(", ")
        self.say(f"{fault.at:5.1f} s: {fault.trouble} {struck}")
        engines = [self.engines[n] for n in strike.engines]
        later = self.reactor.callLater
        match fault.trouble:
            case "balancer_crash":
                for name in strike.nodes:
                    self._kill(name, fault.seconds)
            case "node_stop":
                for name in strike.nodes:
                    self._stop_one(name, fault.seconds)
            case "flush":
                for engine in engines:
                    engine.forget()
            case "pauses":
                for engine in engines:
                    engine.pause(fault.seconds)
            case "hang":
                self._while(engines, fault.seconds, "stall", True)
            case "trickle":
                self._while(engines, fault.seconds, "trickle", fault.size)
            case "slow_words":
                self._while(engines, fault.seconds, "slow_words", fault.size)
            case "slow":
                self._while(engines, fault.seconds, "slow", fault.size)
            case "answer_lost":
                self._while(engines, fault.seconds, "lose_answers", fault.share)
            case "reset_before" | "reset_after":
                self._while(engines, fault.seconds, "reset", fault.trouble.removeprefix("reset_"))
            case "garble":
                self._while(engines, fault.seconds, "garble", self._chance_of("half line", "long line", "noise"))
            case "refuse" | "mass_restart":
                for engine in engines:  # the process dies and comes back cold
                    self._down(engine, fault, fault.seconds)
            case "preempt":
                for engine in engines:
                    self._preempt(engine, fault)
            case "role_swap":
                self._swap(engines, fault)
            case "zone_cut":
                self._cut(strike.zone, fault.seconds)
            case "flood":
                for number, seat in enumerate(s for s in self.seats if s.zone == strike.zone):
                    self._flood(seat, fault, number)
            case "ledger_crash":
                self._kill_ledger(fault.seconds)
            case "disk_slow":
                self._ill(strike, flush_ms=fault.size)
            case "disk_full" | "disk_read_only" | "disk_stuck":
                self._ill(strike, trouble=fault.trouble.removeprefix("disk_").replace("_", "-"))
            case "clock_off":
                self._ill(strike, wall_off_s=fault.size)
            case "old_settings":
                for seat in (s for s in self.seats if s.name in strike.nodes):
                    self._reload(seat, fault.size)
                    later(fault.seconds, self._reload, seat, 1.0)
            case "same_name":
                for seat in (s for s in self.seats if s.name in strike.nodes):
                    self._double(seat, fault.seconds)
            case "frozen":
                for process in [self.processes[n] for n in strike.nodes] + [self.ledger] * (fault.ledger and self.ledger is not None):
                    self._freeze(process, fault.seconds)
            case "power_loss":
                self._lose_power(strike)
            case "link_reset":
                for name in strike.nodes:
                    self.relays[name, fault.to].reset()
            case "link_silent" | "link_slow" | "link_cut" | "link_never":
                bad = {"link_silent": Bad(there=fault.way != "back", back=fault.way != "there"), "link_slow": Bad(slow_s=fault.size / 1000),
                       "link_cut": Bad(cut_after=round(fault.size)), "link_never": Bad(never=True)}[fault.trouble]
                for name in strike.nodes:
                    if fault.trouble == "link_never":
                        self.relays[name, fault.to].reset()
                    self.relays[name, fault.to].turns(bad, fault.seconds, later)
            case "roster_away":
                self.roster.away(fault.seconds)
                later(fault.seconds, self.witness.note, "roster_back")

    def _chance_of(self, *choices: str) -> str:
        return choices[int(self._chance() * len(choices))]

    def _while(self, engines: list[StandinEngine], seconds: float, name: str, value: object) -> None:
        for engine in engines:
            faults = engine.faults
            before = getattr(faults, name)
            setattr(faults, name, value)
            self.reactor.callLater(seconds, setattr, faults, name, before)

    def _ill(self, strike: Strike, **now: object) -> None:
        for name in [*strike.nodes, *["ledger"] * strike.fault.ledger]:
            self._disk(name, **now)
            self.reactor.callLater(strike.fault.seconds, self._disk, name)

    def _reload(self, seat: NodeSeat, times: float) -> None:
        """Its settings have so many times the budgets by now, and it reads them anew."""
        path, process = self.folder / f"{seat.name}.yaml", self.processes[seat.name]
        form = yaml.safe_load(path.read_text())
        for name, tenant in self.day.tenants.items():
            for mine, budget in zip(form["tenants"][name]["budgets"], tenant.budgets):
                mine["tokens"] = round(budget.tokens * times)
        path.write_text(yaml.safe_dump(form))
        if process.transport and process.transport.pid:
            process.transport.signalProcess("HUP")

    def _double(self, seat: NodeSeat, seconds: float) -> None:
        """Another process of the same name, on a port and with a disk of its own: somebody copied the settings. No client knows of it."""
        form = yaml.safe_load((self.folder / f"{seat.name}.yaml").read_text())
        form["messages"]["listen"]["port"], form["record"] = PORTS.draw(), ""
        form["ledger"]["path"] = str(self.folder / f"{seat.name}.double")
        form["roster"]["last_list"] = ""
        path = self.folder / f"{seat.name}.double.yaml"
        path.write_text(yaml.safe_dump(form))
        process = NodeProcess(f"{seat.name}.double", (self.folder / f"{seat.name}.double.log").open("ab", buffering=0))
        self.reactor.spawnProcess(process, sys.executable, [sys.executable, "-m", "aniserudder", "serve", str(path)], env=os.environ)

        def end() -> None:
            if process.transport and process.transport.pid:
                process.transport.signalProcess("KILL")
        self.reactor.callLater(seconds, end)

    def _freeze(self, process: NodeProcess, seconds: float) -> None:
        """SIGSTOP, and SIGCONT later: it goes on as if no time had passed."""
        if not process.transport or not process.transport.pid:
            return
        process.transport.signalProcess(signal.SIGSTOP)
        self.witness.note("frozen", node=process.name)

        def go_on() -> None:
            if process.transport and process.transport.pid:
                process.transport.signalProcess(signal.SIGCONT)
                self.witness.note("thawed", node=process.name)
        self.reactor.callLater(seconds, go_on)

    def _copy_ledger(self) -> None:
        """As a backup would be taken: with the process stopped, so that the file stands still."""
        pid = self.ledger.transport.pid
        os.kill(pid, signal.SIGSTOP)
        self._copy = {p.name: p.read_bytes() for p in self.folder.glob("central.ledger*") if not p.name.endswith("-shm")}
        os.kill(pid, signal.SIGCONT)
        self.witness.note("ledger_copied")

    def _restore_ledger(self, code: int) -> int:
        for path in self.folder.glob("central.ledger*"):
            path.unlink()
        for name, data in self._copy.items():
            (self.folder / name).write_bytes(data)
        self.witness.note("ledger_restored")
        return code

    def _copy_lists(self) -> None:
        self._lists = dict(self.roster.rows), self.roster.epoch

    def _restore_lists(self) -> None:
        """Its file was an older one; what engines tell it later are changes on top of that."""
        rows, self.roster.epoch = self._lists
        self.roster.rows = dict(rows)
        self.witness.note("lists_restored", epoch=self.roster.epoch)

        def hear() -> None:
            for engine in self.engines.values():
                if not engine.down and engine.spec.name in self.roster.rows:
                    self.roster.change(engine.spec.name, availability="running", started_at=engine.started_at)
        self.reactor.callLater(LISTS_HEAR_S, hear)

    def _lose_power(self, strike: Strike) -> None:
        """All that was struck is dead at once, and what it had not flushed is gone in part."""
        fault, back = strike.fault, strike.back
        self._wall_off |= strike.wall_off
        for name in strike.nodes:
            self._kill(name, back[name])
            self._dark(self.processes[name])
        if fault.ledger:
            if self.ledger:
                process = self.ledger
                self._kill_ledger(back["ledger"])
                self._dark(process)
                if fault.ledger_old_s:
                    process.ended.addCallback(self._restore_ledger)
        if fault.ledger or fault.lists_old_s:
            self.roster.away(back["lists"])
            self.reactor.callLater(back["lists"], self.witness.note, "roster_back")
        if fault.lists_old_s:
            self.reactor.callLater(back["lists"] - 0.01, self._restore_lists)
        for name in strike.engines:
            self._down(self.engines[name], fault, back[name])

    def _dark(self, process: NodeProcess) -> None:
        self._boots[process.name] = self._boots.get(process.name, 0) + 1

        def gone(code: int) -> int:
            lost = disk.lose_power(self.folder / f"{process.name}.loose", self._power)
            self.witness.note("power_lost", node=process.name, lost={Path(p).name: n for p, n in lost.items()})
            return code
        process.ended.addCallback(gone)

    def _kill(self, name: str, seconds: float) -> None:
        process = self.processes[name]
        if process.transport and process.transport.pid:
            process.killed = True
            self.witness.note("node_killed", node=name)
            process.transport.signalProcess("KILL")
        self._back(name, seconds)

    def _stop_one(self, name: str, seconds: float) -> None:
        process = self.processes[name]
        if process.transport and process.transport.pid:
            self.witness.note("node_stopping", node=name)
            process.transport.signalProcess("TERM")
            process.ended.addCallback(lambda code: self._back(name, seconds) or code)

    def _back(self, name: str, seconds: float) -> None:
        seat = next(s for s in self.seats if s.name == name)
        self.reactor.callLater(seconds, self._spawn, seat)

    def _down(self, engine: StandinEngine, fault: Fault, seconds: float) -> None:
        engine.kill()

        def back() -> None:
            engine.start()
            self.roster.change(engine.spec.name, fault.late_s, availability="running", started_at=engine.started_at)
        self.reactor.callLater(seconds, back)

    def _preempt(self, engine: StandinEngine, fault: Fault) -> None:
        """Notice first: it drains, refuses new work, then dies; a fresh process comes up later."""
        engine.faults.draining = True
        self.roster.change(engine.spec.name, fault.late_s, availability="draining")

        def gone() -> None:
            engine.kill()
            self.roster.change(engine.spec.name, fault.late_s, availability="gone")
        self.reactor.callLater(fault.seconds, gone)

        def back() -> None:
            engine.start()
            row = Row(engine=engine.spec.name, address="127.0.0.1:1", kind=engine.spec.kind, zone=engine.spec.zone,
                      rack=engine.spec.rack, started_at=engine.started_at)
            self.roster.rows[row.engine] = row
            self.roster.change(row.engine, 0.0, availability="running")
        self.reactor.callLater(fault.seconds + max(2.0, 2 * fault.late_s), back)

    def _swap(self, engines: list[StandinEngine], fault: Fault) -> None:
        """Two engines change roles: each dies and comes back cold as the other's kind."""
        if len(engines) < 2:
            return
        first, second = engines[:2]
        kinds = (first.spec.kind, first.spec.role), (second.spec.kind, second.spec.role)
        for engine, (kind, role) in ((first, kinds[1]), (second, kinds[0])):
            engine.kill()
            self.reactor.callLater(SWAP_S, self._turned, engine, kind, role, fault)

    def _turned(self, engine: StandinEngine, kind: str, role: str, fault: Fault) -> None:
        engine.spec.kind, engine.spec.role = kind, role
        engine.start()
        self.roster.change(engine.spec.name, fault.late_s, availability="running", kind=kind, started_at=engine.started_at)

    def _cut(self, zone: str, seconds: float) -> None:
        """Between one zone and the others, both ways: engines there from nodes elsewhere, and the reverse."""
        cut = []
        for engine in self.engines.values():
            for from_zone, listener in engine.listeners.items():
                if (engine.spec.zone == zone) != (from_zone == zone):
                    listener.cut()
                    cut.append(listener)
                    self.witness.note("cut", engine=engine.spec.name, zone=from_zone)

        def heal() -> None:
            for listener in cut:
                listener.heal()
            self.witness.note("healed", zone=zone)
        self.reactor.callLater(seconds, heal)


def _listens(seat: NodeSeat) -> bool:
    with socket.socket() as probe:
        probe.settimeout(0.05)
        return probe.connect_ex((seat.host, seat.port)) == 0


def run(day: Day, plan: Plan, seed: int, say: Callable[[str], None], out: BinaryIO | None,
        keep: str = "", after: Callable[[Path, Ran], None] | None = None) -> Ran:
    """Plays a day in this process's reactor, which runs once in a process's life.

    Args:
        out: takes the witness record, if one is wanted.
        keep: folder that keeps settings, logs and decision records; empty: a folder that goes with the run.
        after: called with the folder before it goes.
    """
    from ..eventloop import reactor
    ran: list[Ran] = []
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as fresh:
        folder = Path(keep or fresh)
        folder.mkdir(parents=True, exist_ok=True)
        for old in [*folder.glob("*.decisions.*"), *folder.glob("*.ledger*")]:
            old.unlink()
        stage = Stage(reactor, day, plan, seed, folder, say, out)

        def begin() -> None:
            done = stage.play()
            done.addCallback(ran.append)
            done.addErrback(lambda failure: ran.append(Ran([], trouble=str(failure.value))))
            done.addBoth(lambda _: reactor.callLater(0.05, reactor.stop))
        reactor.callWhenRunning(begin)
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(
            stage._abandon, Deferred().addBoth(lambda _: reactor.stop()), "ended by a signal"))
        reactor.run()
        if after and ran:
            after(folder, ran[0])
    return ran[0] if ran else Ran([], trouble="ended by a signal")
