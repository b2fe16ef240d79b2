"""The discovery process of the soak: one agent for each node, all of one list, which may be silent, slow or muted.

A slow agent says what it had when it was asked, all at the end of its time or in pieces over it.
"""
from __future__ import annotations

import json
import time
from random import Random
from typing import Any

from .events import EventLog, Kind
from .helper import HttpRequest, RequestReader, listen, reactor, run
from .stage import copies_of

TOLD_S = 6.0  # after which a change counts as told whatever was muted
PROMPT_S = 1.3  # of an agent that is no slower a change counts as told when it has answered an open watch
PIECES = 5      # in which some slow answers come
PATH = "/registry/instances"


class Discovery:
    """Agents that push one list.

    Args:
        specification: ``ports`` (node: port and second port, for moves), ``members`` (as on the wire), ``addresses`` (node: engine:
            address), ``copies`` (ids under which each is listed).
    """

    def __init__(self, specification: dict[str, Any], log: EventLog, chance: Random) -> None:
        self.log, self.chance = log, chance
        self.addresses, self.copies = specification["addresses"], specification["copies"]
        self.members = {member["id"]: member for member in specification["members"]}
        self.revision, self.down, self.slow_s, self.muted_until = 1, False, 0.0, 0.0
        self.listed_at: dict[str, float] = {}  # engine: when its last change was known
        self.changed: dict[str, int] = {}  # engine: the revision that changed it last
        self.watches: list[tuple[str, RequestReader, int]] = []  # node, connection, the revision that it has
        self.waiting: list[Any] = []
        for node, ports in specification["ports"].items():
            for port in ports:
                listen(port, lambda node=node: RequestReader(lambda c, r: self._asked(node, c, r), self._closed))

    def obey(self, command: dict[str, Any]) -> None:
        """``{"set": member}``, ``{"down": true}``, ``{"slow": 0.5}``, ``{"mute": true}`` (open watches fall silent)."""
        if "set" in command:
            self._set(command["set"])
        if "mute" in command:
            self.watches.clear()
            self.muted_until = time.monotonic() + TOLD_S
        self._slow(command.get("slow", self.slow_s))
        if "down" in command:
            if self.down is not command["down"]:
                self.log.note(Kind.DISCOVERY_DOWN if command["down"] else Kind.DISCOVERY_BACK)
            self.down = command["down"]
            if self.down:  # a call that comes meanwhile is lost: a watch that falls silent
                self.muted_until = time.monotonic() + TOLD_S
            if not self.down:
                for engine in self.changed:
                    self._note(self.members[engine])

    def _slow(self, seconds: float) -> None:
        """Each answer takes so long from now on; what was listed shortly before may be told as late as by a slow agent."""
        was_prompt, self.slow_s = self.slow_s <= PROMPT_S, seconds
        if was_prompt and seconds > PROMPT_S:
            for engine, at in self.listed_at.items():
                if not self.down and at > time.monotonic() - TOLD_S:
                    self.log.note(Kind.LISTED, engine=engine, text=self.members[engine]["phase"], value=at + TOLD_S)

    def _set(self, member: dict[str, Any]) -> None:
        self.revision += 1
        member = self.members[member["id"]] = {**self.members.get(member["id"], {}), **member}
        self.changed[member["id"]] = self.revision
        if not self.down:
            self._note(member)
            watches, self.watches = self.watches, []
            for node, connection, has in watches:
                self._tell(node, connection, has)

    def _note(self, member: dict[str, Any]) -> None:
        takes_s = self.slow_s if self.slow_s <= PROMPT_S else TOLD_S
        self.listed_at[member["id"]] = time.monotonic()
        late = max(time.monotonic() + takes_s, self.muted_until)
        self.log.note(Kind.LISTED, engine=member["id"], text=member["phase"], value=late)

    def _asked(self, node: str, connection: RequestReader, request: HttpRequest) -> None:
        if self.down:
            return
        path, _, query = request.target.partition("?")
        fields = dict(part.split("=") for part in query.split("&") if part)
        if path != PATH or "from" not in fields:
            return self._whole(node, connection)
        has = int(fields["from"])
        if has != self.revision:
            return self._tell(node, connection, has)
        watch = (node, connection, has)
        self.watches.append(watch)
        reactor.callLater(int(fields["hold_ms"]) / 1000, self._hold_over, watch)

    def _hold_over(self, watch: tuple[str, RequestReader, int]) -> None:
        if watch in self.watches and not self.down:
            self.watches.remove(watch)
            self._tell(*watch)

    def _whole(self, node: str, connection: RequestReader) -> None:
        listed = [member for member in self.members.values() if member["phase"] != "DELETED"]
        self._say(node, connection, listed, True)

    def _tell(self, node: str, connection: RequestReader, has: int) -> None:
        if has > self.revision:
            return self._whole(node, connection)
        self._say(node, connection, [self.members[e] for e, revision in self.changed.items() if revision > has], False)

    def _say(self, node: str, connection: RequestReader, members: list[dict[str, Any]], complete: bool) -> None:
        placed = [copy for member in members
                  for copy in copies_of({**member, "host_port": self.addresses[node][member["id"]]}, self.copies)]
        body = json.dumps({"revision": self.revision, "complete": complete, "members": placed}).encode()
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)
        pieces = PIECES if self.slow_s and self.chance.random() < 0.5 else 1
        for number in range(pieces):
            part = answer[len(answer) * number // pieces:len(answer) * (number + 1) // pieces]
            reactor.callLater(self.slow_s * (number + 1) / pieces, connection.say, part)

    def _closed(self, connection: RequestReader) -> None:
        self.watches = [watch for watch in self.watches if watch[1] is not connection]


if __name__ == "__main__":
    run(Discovery)
