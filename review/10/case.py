"""One reader of ten engines runs 9.9 times slower for 20 s; reads that were given up run on and leave states. Rule: pinned."""
import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from world import TROUBLE, Habits, held_too_long, play, settings  # noqa: E402

NODES, RATE = 3, 24.0
SLOWER, SLOW_FOR_S = 9.9, 20.0
LET_GO_S = 0.5               # of the settings
ALLOWED_S = LET_GO_S + 0.3 + 0.05
SERVICES = [{"deadline": 5.0, "goal-time": 1.2, "group": "all", "late-worth": 0.1, "name": "car-lookup", "points": 1.0, "semantics": "pure",
             "stream": True, "window": 5.0},
            {"deadline": 10.0, "goal-time": 2.5, "group": "all", "late-worth": 0.1, "name": "train-review", "points": 3.0, "semantics": "pure",
             "stream": True, "window": 5.0}]


async def script(world):
    chance = random.Random(5)
    for n in range(5):
        await world.engine(f"r{n}", "prefill", "read", n % 2, Habits(rate=18_000.0, at_once=8, queue=30, goes_on=True))
        await world.engine(f"w{n}", "decode", "write", n % 2, Habits(at_once=60))
    agent = await world.agent()
    family = {"aim-us-per-1000-prompt-tokens": [60000.0, 120000.0], "let-go-by": LET_GO_S, "token-aim": [0.05, 0.08]}
    given = settings(SERVICES, balancers=NODES, family_info=family, rules={"cold": 14.0, "cold-share": 0.31, "fall": 2.0, "drain-grace": 1.0})
    nodes = [world.node(f"n{n}", given) for n in range(NODES)]
    for node in nodes:
        node.start(agent.whole(), agent)
    for node in nodes:
        await node.ready()
    count = 0

    async def load(seconds):
        nonlocal count
        until = world.now() + seconds
        while world.now() < until:
            count += 1
            port = chance.choice(nodes).port
            if chance.random() < 0.6:
                world.request(port, "car-lookup", f"s{count}", f"p{chance.randrange(6)}", chance.randrange(2400, 3200), 2300, 5.0)
            else:
                world.request(port, "train-review", f"s{count}", "", chance.randrange(2100, 3900), 0, 10.0)
            await asyncio.sleep(chance.expovariate(RATE))

    await load(8.0)
    if TROUBLE:
        world.engines["r1"].slower = SLOWER
        world.note("slow", "r1", f"{SLOWER} times")
    await load(SLOW_FOR_S)
    world.engines["r1"].slower = 1.0
    world.note("slow", "r1", "no more")
    await load(2.0)
    await world.over(12.0)
    await asyncio.sleep(4.0)
    reads = [a for r in world.requests.values() for a in r.attempts if a.reads]
    late = [s for s in [*world.past, *world.states.values()] if any(a.given_up and a.engine == s.engine and a.id == s.id for a in reads)]
    return held_too_long(world, ALLOWED_S), [
        f"{len(world.requests)} requests, {len(reads)} reads, {sum(a.given_up for a in reads)} of them given up, {len(late)} of those left a state, "
        f"{len(world.states)} states held at the end"]


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, script))
