"""What an instance is told of its deployment at its start: the object in the simulator's first message, which real nodes find
in their configuration under the same names and units. Decoded here for both; nothing is decided.
"""
from __future__ import annotations

from typing import Any

from .decisions.interface import Effect, Role, Settings, TypeSettings

ROLES = {"read": Role.READER, "write": Role.WRITER, "both": Role.MIXED}
EFFECTS = {"pure": Effect.REPEATABLE, "token": Effect.TOKENED, "side_effect": Effect.ONCE_ONLY}


def micros(seconds: Any) -> int:
    """Seconds as whole microseconds; nothing is none."""
    return round(float(seconds or 0) * 1_000_000)


def decode_settings(info: dict[str, Any]) -> Settings:
    fam, bounds, rules = info.get("family-info", {}), info.get("bounds", {}), info.get("rules", {})
    services = info.get("services", [])
    stretch = fam.get("aim-us-per-1000-prompt-tokens") or [0] * len(services)
    paces = fam.get("token-aim") or [0] * len(services)
    kinds, duties = info.get("kinds", []), fam.get("duty-by-kind", [])
    types = tuple(
        TypeSettings(s["name"], s.get("points", 1.0), micros(s.get("goal-time")),
                     round(stretch[i]) if i < len(stretch) else 0, micros(paces[i]) if i < len(paces) else 0,
                     EFFECTS.get(s.get("semantics", ""), Effect.ONCE_ONLY), s.get("group", "all"),
                     micros(s.get("window")))
        for i, s in enumerate(services))
    feedback = info.get("feedback", {})
    return Settings(
        nodes=max(1, info.get("balancers", 1)), zone=info.get("zone", ""), types=types,
        roles={k: ROLES.get(d, Role.UNKNOWN) for k, d in zip(kinds, duties)},
        writers_read=bool(fam.get("self-prefill")),
        may_probe=bool(bounds.get("probing")), may_recall=bool(bounds.get("cancelling")),
        report_fields=tuple(feedback.get("columns", []) if feedback.get("how") != "silent" else ()),
        max_attempts=bounds.get("max-attempts", 1),
        max_come_back=micros(bounds.get("max-retry-after")) if bounds.get("retry-after") else 0,
        cold_share=rules.get("cold-share", 0.0),
        cold_time=micros(rules.get("cold")), fall_multiple=rules.get("fall-multiple", 1.0),
        allowances={o["name"]: o.get("allowance-per-s", 0.0) for o in info.get("orgs", [])})
