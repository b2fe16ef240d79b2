"""The audit: a record in which all is well, and that record altered by hand to break each rule in turn."""
import copy

import pytest

from aniserudder.rehearsal.audit import BadRecord, Record, audit, read

RULES = {"answer_slack_ms": 50, "drain_grace_ms": 500, "let_go_ms": 300, "seen_slack_ms": 50}
MS = 1000


def line(at_ms, what, **fields):
    return {"at": at_ms * MS, "what": what, **fields}


def sequence(at, ref, op, effect, kind="generated", writer="w1"):
    """One try from its asking to its answer, as sockets show it."""
    asked = line(at, "asked", ref=ref, op=op, node="n1", type=effect, effect=effect, abandon_us=3_000_000,
                 slo_us=1_000_000, streamed=True, key="")
    lines = [asked,
             line(at + 1, "attempt", engine="r1", ref=ref, node="n1", reads=True, held_back=False),
             line(at + 50, "held", engine="r1", ref=ref, block=f"b-{ref}", node="n1"),
             line(at + 50, "attempt_end", engine="r1", ref=ref, result="read"),
             line(at + 52, "attempt", engine=writer, ref=ref, node="n1", reads=False, held_back=False)]
    if kind != "generated":
        return [*lines, line(at + 53, "attempt_end", engine=writer, ref=ref, result="full"),
                line(at + 60, "let_go", engine="r1", ref=ref, block=f"b-{ref}"),
                line(at + 61, "answered", ref=ref, kind=kind, in_order=True)]
    return [*lines, line(at + 55, "taken", engine="r1", ref=ref, block=f"b-{ref}"),
            line(at + 60, "effect", engine=writer, ref=ref),
            line(at + 61, "first", ref=ref),
            line(at + 300, "attempt_end", engine=writer, ref=ref, result="generated"),
            line(at + 301, "answered", ref=ref, kind="generated", in_order=True)]


def day():
    lines = [line(0, "day", rules=RULES, connect_ms=250, max_attempts=4), line(0, "node_started", node="n1"),
             line(0, "told", node="n1", engine="w1", availability="running", started_at=0.0),
             *sequence(100, "op1.0", 1, "once-only"), *sequence(200, "op2.0", 2, "repeatable"),
             *sequence(300, "op3.0", 3, "tokened"), *sequence(400, "op4.0", 4, "once-only", "rejected"),
             *sequence(1000, "op4.1", 4, "once-only"),
             line(2000, "told", node="n1", engine="w1", availability="draining", started_at=0.0),
             line(3000, "engine_up", engine="w2", rate=10.0, cold_share=0.3, cold_us=4_000_000, fall_multiple=2.5,
                  fall_us=1_500_000),
             line(3100, "told", node="n1", engine="w2", availability="running", started_at=3.0),
             *sequence(3200, "op5.0", 5, "repeatable", writer="w2"), line(9000, "over")]
    return sorted(lines, key=lambda x: x["at"])


def test_all_is_well():
    verdict = audit(Record(day()))
    assert not verdict.findings and verdict.sequences == 6
    assert verdict.types["once-only"].rejected == 1 and verdict.types["once-only"].effects == 2


def drop(what, ref):
    return lambda lines: [x for x in lines if not (x["what"] == what and x.get("ref") == ref)]


def change(what, ref, **fields):
    def altered(lines):
        for x in lines:
            if x["what"] == what and x.get("ref") == ref:
                x.update(fields)
        return sorted(lines, key=lambda x: x["at"])
    return altered


def add(*more):
    return lambda lines: sorted([*lines, *copy.deepcopy(more)], key=lambda x: x["at"])


BROKEN = [
    (1, "no final answer", drop("answered", "op2.0")),
    (1, "two final answers", add(line(500, "answered", ref="op2.0", kind="rejected", in_order=True))),
    (1, "something came after", add(line(502, "extra", ref="op2.0"))),
    (1, "abandoned after 3000 ms", change("first", "op2.0", at=3_400 * MS)),
    (1, "text is missing, doubled", change("answered", "op2.0", in_order=False)),
    (1, "no engine generated it", drop("effect", "op2.0")),
    (1, "without a final answer", lambda lines: add(line(400, "lost", ref="op2.0"))(drop("answered", "op2.0")(lines))),
    (1, "after its final answer", add(line(900, "attempt", engine="w3", ref="op2.0", node="n1", reads=False))),
    (2, "2 effects of a once-only", add(line(170, "effect", engine="w3", ref="op1.0"))),
    (2, "may have run it", add(line(401, "attempt", engine="w3", ref="op1.0", node="n1", reads=False, held_back=False))),
    (2, "rejected though it may have run", change("attempt_end", "op4.0", result="left")),
    (2, "rejected though it has had its effect", add(line(455, "effect", engine="w1", ref="op4.0"))),
    (2, "2 effects over its tries", add(line(310, "effect", engine="w3", ref="op3.0"))),
    (3, "after it was told", add(line(2600, "attempt", engine="w1", ref="op9.0", node="n1", reads=False))),
    (4, "w2: ", add(*(line(3200 + n * 20, "attempt", engine="w2", ref="op9.0", node="n1", reads=False)
                      for n in range(40)))),
    (4, "fell over while cold", add(line(3300, "fell", engine="w2"))),
    (5, "with nothing out", lambda lines: change("let_go", "op4.0", at=1200 * MS)(lines)),
    (5, "with nothing out", drop("taken", "op5.0")),
]


@pytest.mark.parametrize("rule, said, alter", BROKEN, ids=[f"{r} {s}" for r, s, _ in BROKEN])
def test_broken(rule, said, alter):
    verdict = audit(Record(alter(day())))
    assert verdict.broken == [rule], verdict.findings
    assert any(said in f.text for f in verdict.findings), verdict.findings


def test_what_a_killed_node_held_is_not_its_duty():
    lines = drop("answered", "op5.0")(drop("taken", "op5.0")(drop("first", "op5.0")(day())))
    lines = add(line(3255, "node_killed", node="n1"), line(3256, "lost", ref="op5.0"))(lines)
    assert not audit(Record(lines)).findings
    early = add(line(3240, "node_killed", node="n1"), line(3241, "lost", ref="op5.0"))(drop("attempt_end", "op5.0")(
        drop("lost", "op5.0")([x for x in lines if x["what"] != "node_killed"])))  # killed while it was read
    assert not audit(Record(early)).findings


def test_a_sequence_that_reaches_a_node_that_is_just_dying_is_not_its_duty():
    lines = [x for x in day() if x.get("ref") != "op5.0"] + [x for x in sequence(3200, "op5.0", 5, "repeatable")[:1]]
    lines = add(line(3199, "node_killed", node="n1"), line(3207, "lost", ref="op5.0"),
                line(3208, "node_ended", node="n1", killed=True), line(4000, "node_started", node="n1"))(lines)
    assert not audit(Record(lines)).findings


def test_a_kill_excuses_nothing_before_it():
    lines = drop("answered", "op2.0")(day())
    again = add(line(600, "node_ended", node="n1", killed=False), line(700, "node_started", node="n1"),
                line(800, "node_killed", node="n1"), line(900, "node_started", node="n1"))(lines)
    assert audit(Record(again)).broken == [1]


def test_records_that_cannot_be_read():
    for lines in ([], [b"{}"], [b"nonsense"], [b'{"at":1,"what":"first","ref":"op1.0"}']):
        with pytest.raises(BadRecord):
            read(lines)


def test_what_the_witness_saw_late_is_not_held_against_a_node():
    """The witness was busy for 0.9 s, so the letting go that it stamped late was in time; a stall elsewhere excuses nothing."""
    late = change("let_go", "op4.0", at=1200 * MS)(day())
    assert not audit(Record(add(line(1200, "stalled", us=900_000))(late))).findings
    assert audit(Record(add(line(2900, "stalled", us=900_000))(late))).broken == [5]
