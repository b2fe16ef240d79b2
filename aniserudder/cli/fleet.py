"""``aniserudder fleet``: where each node and the ledger are on their way back."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

_decode = msgspec.json.Decoder(dict[str, Any]).decode


def asked(address: str, path: str, within: float) -> dict[str, Any] | str:
    """One process's answer, or why there is none."""
    host, _, port = address.rpartition(":")
    try:
        connection = HTTPConnection(host, int(port), timeout=within)
        try:
            connection.request("GET", path)
            return _decode(connection.getresponse().read())
        finally:
            connection.close()
    except (OSError, HTTPException, msgspec.DecodeError) as problem:
        return str(problem) or type(problem).__name__


def show(nodes: list[str], ledger: str, within: float, fail: Callable[[str], None]) -> bool:
    """Asks all at the same time and prints a table. True: one does not take sequences or does not answer, or its name is another's."""
    for address in [*nodes, *[ledger] * bool(ledger)]:
        host, colon, port = address.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
            fail(f"{address}: expected host:port")
    with ThreadPoolExecutor(max(1, min(64, len(nodes) + 1))) as pool:
        status = pool.submit(asked, ledger, "/v1/status", within) if ledger else None
        said = list(pool.map(lambda address: asked(address, "/v1/ready", within), nodes))
    console, bad = Console(width=140), False
    if nodes:
        table = Table(title="nodes", title_justify="left")
        for name in ("address", "node", "takes", "stage", "for s", "engines", "list heard", "ledger's term", "turned away"):
            table.add_column(name)
        for address, one in zip(nodes, said):
            if isinstance(one, str):
                table.add_row(address, "-", "no", one, *["-"] * 5)
                bad = True
                continue
            bad = bad or not one.get("ready")
            taken = " (another process has this name)" if one.get("name_taken") else ""
            bad = bad or bool(taken)
            table.add_row(
                address,
                str(one.get("node", "-")) + taken,
                "yes" if one.get("ready") else "no",
                str(one.get("stage", "-")),
                str(one.get("for_s", "-")),
                str(one.get("engines", "-")),
                "yes" if one.get("heard") else "no",
                str(one.get("term") or "-"),
                str(one.get("turned_away", "-")),
            )
        console.print(table)
    if status:
        found = status.result()
        if isinstance(found, str):
            console.print(f"ledger {ledger}: {found}", highlight=False)
            return True
        console.print(
            f"ledger {ledger}: term {found['term']}, {found['phase']}, {found['told']} nodes have told"
            + (", its file was older than what they hold" if found["old"] else "")
            + (f", waits for entries of {', '.join(found['behind'])}" if found["behind"] else ""),
            highlight=False,
        )
        table = Table(title="budgets", title_justify="left")
        for name in ("budget", "most", "out", "held by nodes", "of lives that ended", "known only by hearsay", "other settings"):
            table.add_column(name, justify="left" if name == "budget" else "right")
        for budget in found["budgets"]:
            table.add_row(budget["budget"], *(str(budget[k]) for k in ("most", "out", "held", "ended", "hearsay", "dissent")))
        console.print(table)
    return bad
