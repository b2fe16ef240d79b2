"""A node comes back with its last list while discovery answers slowly; an engine drains since the node was away. Rule: drain."""
import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from world import TROUBLE, Habits, play, settings  # noqa: E402

AWAY_S = 7.5            # from the kill to the new process
SLOW_S = 2.5            # that each answer of the agent takes
GRACE_S = 0.5 + 0.05    # drain-grace of the settings, and the protocol's 50 ms
TOLD_S = 6.0            # a change counts as told so long after discovery had it, whatever happens
RATE = 12.0


async def script(world):
    chance = random.Random(5)
    for n in range(3):
        await world.engine(f"r{n}", "prefill", "read", n % 2, Habits())
        await world.engine(f"w{n}", "decode", "write", n % 2, Habits(at_once=60))
    agent = await world.agent()
    node = world.node("n1", settings())
    node.start(agent.whole(), agent)
    await node.ready()

    async def load(seconds):
        until = world.now() + seconds
        while world.now() < until:
            kind = chance.choice(["draft", "draft", "send"])
            world.request(node.port, kind, f"s{chance.randrange(200)}", f"p{chance.randrange(20)}", chance.randrange(1500, 3000), 1200,
                          6.0 if kind == "draft" else 10.0)
            await asyncio.sleep(chance.expovariate(RATE))

    await load(4.0)
    await world.over(12.0)
    last_list = agent.whole()  # as this node had it last
    node.end()
    world.note("killed", "n1", "")
    drains = world.engines["w1"]
    drains.phase = "DRAINING"
    agent.has_changed(drains)
    drained_at = world.now()
    await asyncio.sleep(AWAY_S)
    if TROUBLE:
        agent.answers_after = SLOW_S
        world.note("slow", "discovery", f"each answer takes {SLOW_S} s")
    started_at = world.now()
    node.start(last_list, agent)
    await node.ready()
    await load(6.0)
    await world.over(12.0)
    told_at = max(started_at, drained_at + TOLD_S)  # by whichever sentence is later
    late = [a for a in drains.arrivals if a.at > told_at + GRACE_S]
    asked = [r for r in world.requests.values() if r.sent]
    broken = [f"{a.id}: sent to w1 {a.at - drained_at:.3f} s after the agent had its drain, {a.at - started_at:.3f} s after the process began"
              for a in late]
    return broken, [f"{len(asked)} requests, drained at {drained_at:.3f}, new process at {started_at:.3f}, {len(late)} sent to w1 later than "
                    f"{told_at + GRACE_S:.3f}"]


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, script))
