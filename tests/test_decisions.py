"""Decision traces, each compared with tests/traces/NAME.txt, which people read."""
from aniserudder.decisions.interface import Availability, Outcome, Report, Role
from story import S, Story


def test_ordinary_path():
    """A long prompt is read remotely, its next turn goes where its beginning is kept, a short one is read locally."""
    s = Story().arrive("a", session="s").serve("a")
    s.arrive("b", session="s", tokens=3300).serve("b")
    s.arrive("c", tokens=200).after(0.1).start("c", 0).after(1).end("c", 0, Outcome.GENERATED, final=True)
    s.check("ordinary_path")


def test_reader_spill():
    """A hot shared beginning does not jam its reader: the next by hash takes over before the SLO is spent."""
    s = Story()
    for i in range(6):
        s.arrive(f"h{i}", tokens=4000, shared="hot")
    s.check("reader_spill")


def test_a_beginning_has_as_many_homes_as_its_part_of_what_arrives_would_fill():
    """Each home reads a beginning once: of a thousand beginnings three homes each are mostly that. Which ones is the same
    at all nodes, and fewer homes are among the more."""
    def homes(met, of, seed=7):
        s = Story("r1 r2 r3 r4 r5 r6 r7 r8 r9 w1", seed=seed, nodes=200)
        for i in range(of):
            s.after(0.5).arrive(f"a{i}", shared="hot" if i < met else f"other{i}").serve(f"a{i}")
        s.node.arrived(s.now, "last", s.prompt("note", "last", "hot", 4000, 6.0))
        return [e.id for e in s.node.seqs["last"].homes]
    seldom, often, most = homes(1, 20), homes(4, 20), homes(16, 20)
    assert [len(h) for h in (seldom, often, most)] == [1, 2, 3]
    assert most[:2] == often and often[:1] == seldom == homes(1, 20, seed=8)


NINE = "r1 r2 r3 r4 r5 r6 r7 r8 r9 w1"


def read_where(tokens, before=(), engines=NINE, seed=7, **row):
    """Which of a zone's readers get reads of that length, of many sessions."""
    found = set()
    for i in range(30):
        s = Story(engines, seed=seed, nodes=200, writers_read=False)
        if row:
            s.roster("r9", started=s.now, **row)
        for j, length in enumerate(before):
            s.after(0.1).arrive(f"b{j}", tokens=length).serve(f"b{j}")
        s.arrive("a", session=f"s{i}", tokens=tokens)
        found |= {line.split()[3] for line in s.lines if "-> a reading" in line}
    return found


def test_long_reads_keep_to_readers_of_their_own():
    """Seen on the new engines' calm day: of 624 late reads 590 had one of over 8,000 tokens before them, at readers a fifth
    busy. No node sees which reader is at one; so all send them to the same three of nine, and nothing else there."""
    longs, shorts = read_where(12000), read_where(2000)
    assert len(longs) == 3 and len(shorts) == 6 and not longs & shorts
    assert longs == read_where(12000, seed=8)


def test_without_long_reads_or_with_cold_readers_all_read_everything():
    """Three readers of nine kept free for reads that hardly come would be missed."""
    assert len(read_where(2000, before=[1000] * 25)) == 9
    assert len(read_where(2000, before=[1000] * 20 + [30000] * 5)) == 6
    assert read_where(2000, availability=Availability.RUNNING) - {"r9"} == {f"r{i}" for i in range(1, 9)}
    assert len(read_where(2000, engines="r1 r2 r3 w1")) == 3


def test_forgotten_beginning():
    s = Story().arrive("a", session="s").serve("a").arrive("b", session="s").after(0.1)
    reader = next(e for e in s.node.engines.values() if e.kept)
    s.end("b", 0, Outcome.READ, kept=10)
    s.lines.append(f"{reader.id} keeps {sorted(reader.kept)}")
    s.check("forgotten_beginning")


def test_once_only_is_not_repeated():
    """After a writer's doubtful outcome: no further send and no rejection. After proof that it never ran: both."""
    s = Story().arrive("p", "post").after(0.1).end("p", 0, Outcome.READ).after(0.1).end("p", 1, Outcome.CUT)
    s.arrive("q", "post").after(0.1).end("q", 0, Outcome.TIMED_OUT).after(0.1).end("q", 1, Outcome.READ)
    s.after(0.1).end("q", 2, Outcome.NO_ROUTE).after(0.1).end("q", 3, Outcome.FULL)
    s.check("once_only")


def test_tokened_keeps_to_its_group_and_window():
    s = Story("r1 w1 wx").arrive("t", "mark").after(0.1).end("t", 0, Outcome.READ)
    s.after(0.1).end("t", 1, Outcome.CUT).after(0.1).end("t", 2, Outcome.ERROR)
    s.arrive("u", "mark", time_left=20.0).after(0.1).end("u", 0, Outcome.READ)
    s.after(5.5).end("u", 1, Outcome.TIMED_OUT)
    s.check("tokened")


def test_a_tokened_sequence_is_not_read_again_outside_its_group_or_window():
    """Seen on herd+mass of depot-hall: a writer may have run it, its state is gone, and it was read again in another zone or too late."""
    outside = Story("rx w1 w2", writers_read=False, max_attempts=6).arrive("t", "mark").after(0.1).end("t", 0, Outcome.READ)
    outside.after(0.1).end("t", 1, Outcome.CUT).after(0.1).end("t", 2, Outcome.NO_STATE)
    late = Story("r1 r2 w1 w2", writers_read=False, max_attempts=6).arrive("t", "mark", time_left=20.0).after(0.1).end("t", 0, Outcome.READ)
    late.after(0.1).end("t", 1, Outcome.CUT).after(5.5).end("t", 2, Outcome.NO_STATE)
    inside = Story("r1 r2 w1 w2", writers_read=False, max_attempts=6).arrive("t", "mark").after(0.1).end("t", 0, Outcome.READ)
    inside.after(0.1).end("t", 1, Outcome.CUT).after(0.1).end("t", 2, Outcome.NO_STATE)
    reads = [sum(" reading " in line for line in s.lines) for s in (outside, late, inside)]
    assert reads == [1, 1, 2]


def test_nothing_stays_pinned():
    """Let go with a late read after the client left, after 'no state', and with the end of an awaited attempt."""
    s = Story().arrive("a").leave("a").after(0.1).end("a", 0, Outcome.READ)
    s.arrive("b").after(0.1).end("b", 0, Outcome.READ).after(0.1).end("b", 1, Outcome.NO_STATE)
    s.arrive("c").after(0.1).end("c", 0, Outcome.READ).leave("c").after(0.1).end("c", 1, Outcome.FULL)
    s.check("pinned")


def test_drains():
    s = Story("r1 w1 w2").arrive("a").after(0.1)
    s.roster("w1", availability=Availability.DRAINING).end("a", 0, Outcome.READ)
    s.roster("w2", availability=Availability.GONE).arrive("b")
    s.check("drains")


def test_cold_engine():
    """A cold writer gets its share of what warm ones take, evenly spaced, and nothing before that is known."""
    s = Story("r1 r2 r3 w1 w2").roster("w3", started=S)
    for i in range(30):  # what warm ones take is what is counted by: each begins
        s.arrive(f"c{i}").after(0.1).end(f"c{i}", 0, Outcome.READ).start(f"c{i}", 1)
    sends = [line.split()[3] for line in s.lines if " writing " in line]
    s.lines = [" ".join(sends)]
    s.check("cold_engine")


def test_failures_in_a_row():
    """Three failures eject, older answers do not readmit, one trial does."""
    s = Story("r1 w1").arrive("old")
    for i in range(3):
        s.arrive(f"f{i}", tokens=500).after(0.01).end(f"f{i}", 0, Outcome.ERROR)
    s.after(0.1).end("old", 0, Outcome.READ).arrive("g").after(1.2).arrive("h").arrive("i")
    s.after(0.1).end("h", 0, Outcome.READ).arrive("j")
    s.check("failures_in_a_row")


def test_mixed_engines_with_slow_streams_read_less():
    """Streams at one and a half times the expected: a remainder that was read before is not; a short one still is."""
    for pace in (0.9, 1.5):
        s = Story("m1")
        s.node.engines["m1"].stream_pace = pace
        s.arrive("a", tokens=2500).arrive("b", tokens=300).check(f"mixed_slow_{pace}")


def test_one_failure_after_long_silence_ejects():
    """A node of many comes by an engine seldom: after 5 s without a good answer one failure leaves it out for 5 s."""
    s = Story("r1 w1").arrive("a", tokens=500).after(0.01).start("a", 0).after(5).arrive("b", tokens=500)
    s.after(0.25).end("b", 0, Outcome.NO_ROUTE).after(4).arrive("c", tokens=500).after(1).arrive("d", tokens=500)
    s.check("silent_engine")


def test_many_nodes_do_not_pick_the_same_writer():
    """Forty nodes that have sent nothing yet: one sequence each, writers of two sizes."""
    sent = []
    for i in range(40):
        s = Story("r1 w1 w2 w3 w4", nodes=40, seed=i).arrive("a").after(0.1).end("a", 0, Outcome.READ)
        sent += [line.split()[3] for line in s.lines if " writing " in line]
    s.lines = [" ".join(f"{w} {sent.count(w)}" for w in sorted(set(sent)))]
    s.check("writers_apart")


def test_work_that_was_lost_is_done_again_within_bounds():
    """Two lost reads are repeated, the third is given up at once, until more sequences have come."""
    s = Story("r1 r2 r3 r4 w1", writers_read=False)
    for i in range(3):
        s.arrive(f"a{i}").after(0.5).end(f"a{i}", 0, Outcome.CUT)
    s.check("bounded_repeats")


def test_what_was_reset_at_once_is_repeated_at_once():
    """Seen on sockets: kept connections that are reset at the next request; no work was lost with them."""
    s = Story("r1 r2 r3 r4 w1", writers_read=False)
    for i in range(8):
        s.arrive(f"a{i}", tokens=2000).after(0.005).end(f"a{i}", 0, Outcome.CUT)
    s.check("reset_at_once")


def test_what_a_reader_turned_away_is_read_by_a_writer_with_room():
    """Seen in incident rbb0dc4: all readers turned some sequences away, each after two thirds of a second."""
    s = Story("r1 r2 w1 m1")
    s.arrive("a1").after(0.65).end("a1", 0, Outcome.FULL).after(0.3).start("a1", 1)
    s.check("turned_away")


def test_queue_is_not_illness():
    """Time-outs at an engine that goes on answering others do not eject it."""
    s = Story("r1 w1")
    for i in range(4):
        s.arrive(f"a{i}", tokens=600).arrive(f"b{i}", tokens=600).after(0.05).end(f"b{i}", 0, Outcome.READ)
        s.after(2).end(f"a{i}", 0, Outcome.TIMED_OUT).after(12)
    s.lines = [f"{e.id} {e.standing.value} after {e.failures} failures" for e in s.node.engines.values()]
    s.check("queue_is_not_illness")


def test_admission():
    """What reading would make miss the SLO is turned away at once, with a time to come back; nothing is queued up."""
    s = Story("r1 w1", writers_read=False)
    for i in range(7):
        s.arrive(f"a{i}", tokens=9000)
    s.check("admission")


def test_a_long_read_counts_once_more_where_others_wait():
    """Seen on fleet days: reads of 20,000 tokens jammed readers that others' sequences then waited for in vain."""
    for wait, taken in ((0.0, [True, True]), (2000.0, [False, True])):  # microseconds for each token ahead
        s = Story("r1 w1", writers_read=False)
        s.node.read_pace[Role.READER], s.node.read_wait[Role.READER, False] = 50.0, wait
        assert ["reading" in s.arrive(f"a{n}", tokens=n).lines[-1] for n in (10000, 1000)] == taken


def test_nothing_can_serve():
    Story("").arrive("a").check("nothing_can_serve")


def test_node_beyond_share():
    """A node's part of a customer's allowance is its share among the nodes."""
    s = Story(allowances={"big": 4.0})
    beyond = []
    for i in range(4):
        s.arrive(f"a{i}", customer="big")
        beyond.append(s.node.seqs[f"a{i}"].over_share)
    s.lines = [str(beyond)]
    s.check("beyond_share")


def test_a_type_that_settings_do_not_name():
    Story().arrive("a", "odd").after(0.1).end("a", 0, Outcome.READ).after(0.1).end("a", 1, Outcome.CUT).check("unknown_type")


def test_mixed_engines_help_readers_out():
    """Where the readers cannot read soon, a mixed engine reads even a long remainder."""
    s = Story("r1 m1 m2")
    for i in range(5):
        s.arrive(f"a{i}", tokens=3600)
    s.check("mixed_help")


def test_many_nodes_do_not_jam_mixed_engines_in_the_same_second():
    """Seen on the new engines' join day: 329 reads went to 19 mixed engines in ten seconds, most nodes' first, and 25 of them
    were in time. Each node may take its part of half of their time: two engines read some three such prompts a second."""
    sent = 0
    for seed in range(200):
        s = Story("r1 m1 m2", nodes=200, seed=seed)
        for second in range(10):
            s.after(1)
            for i in range(3):
                s.arrive(f"a{second}-{i}", tokens=3600)
        sent += sum(" writing m" in line for line in s.lines)
    assert 25 <= sent <= 60


def test_load_reports():
    """The writer with most room by its report, less own sends since; asked for once a second."""
    s = Story("r1 w1 w2", may_probe=True, report_fields=("inflight",)).arrive("a", tokens=2000).after(0.1)
    for name, held in (("w1", 9.0), ("w2", 8.0)):
        s.show(f"probed {name} {held}", s.node.probed(s.now, name, True, Report(s.now, {"inflight": held})))
    s.arrive("b", tokens=2000).arrive("c", tokens=2000).after(0.1)
    for id in "abc":
        s.end(id, 0, Outcome.READ)
    s.check("load_reports")


def test_a_whole_kind_comes_back_cold():
    """With no warm reader left, only what cold ones are due is read; the rest is turned away."""
    s = Story("r1 w1", writers_read=False).roster("r1", availability=Availability.GONE).roster("r2", started=S)
    s.lines = []
    for i in range(40):
        s.after(0.1).arrive(f"b{i}")
    s.lines = [" ".join("+" if " reading " in line else "-" for line in s.lines if "->" in line)]
    s.check("whole_kind_cold")


def test_many_nodes_keep_a_cold_engine_within_its_part():
    """The same sequences over few nodes and over many: what a cold writer and a warm one get together."""
    lines = []
    for nodes in (2, 100):
        stories = [Story("r1 w1 w2", nodes=nodes, seed=i).roster("w3", started=S) for i in range(nodes)]
        for i in range(300):
            s = stories[i % nodes]
            s.arrive(f"a{i}").after(0.05).end(f"a{i}", 0, Outcome.READ).start(f"a{i}", 1)
            s.end(f"a{i}", 1, Outcome.GENERATED, final=True)
        sent = " ".join(line for s in stories for line in s.lines if " writing " in line)
        lines.append(f"{nodes} nodes: " + " ".join(f"{w} {sent.count(w)}" for w in ("w1", "w2", "w3")))
    s.lines = lines
    s.check("cold_parts")


def test_far_slower_than_its_peers():
    """Three late starts in a row while the others start at once eject a writer; with no peers nothing is judged."""
    s = Story("r1 r2 w1 w2 w3")
    for i in range(13):
        s.arrive(f"a{i}").after(0.05).end(f"a{i}", 0, Outcome.READ)
        at = s.node.seqs[f"a{i}"].out.engine.id
        s.after(0.9 if at == "w2" else 0.02).start(f"a{i}", 1)
    alone = Story("r1 w1").arrive("a").after(0.05).end("a", 0, Outcome.READ)
    alone.roster("w1", availability=Availability.GONE).after(2).start("a", 1)
    s.lines = [line for line in s.lines if "w2" in line] + alone.lines[-2:]
    s.check("far_slower")


def test_what_is_left_of_a_try():
    """A late try that reading alone would outlast is turned away; a jam's pace does not close an idle reader."""
    s = Story("r1 w1", writers_read=False).arrive("a", tokens=3000).arrive("b", tokens=6000, time_left=0.4)
    s.serve("a")
    s.node.engines["r1"].read_wait = 5000.0
    s.after(5).arrive("c", tokens=3000).check("left_of_a_try")


def test_bits_are_learned():
    """A bit flips on enough samples of both paths, not on few, not while both miss alike, and not back at once."""
    node, lines = Story().node, []
    bit = node.clusters[0]
    for tries, local, remote in ((5, 0, 5), (10, 2, 4), (10, 9, 10), (10, 3, 9), (10, 3, 9)):
        bit.tries, bit.wins = {True: float(tries), False: float(tries)}, {True: float(local), False: float(remote)}
        node._judge(bit)
        lines.append(f"of {tries} each {local} local and {remote} remote: {'local' if bit.local else 'remote'}")
    s = Story(allowances={"big": 2.0}).arrive("a", customer="big").serve("a").arrive("b", customer="big")
    s.arrive("c", customer="big").serve("c", 0)
    s.lines = lines + [f"counted {sum(sum(c.tries.values()) for c in s.node.clusters):.0f} of 2 served, one beyond its share"]
    s.check("learned_bits")


def test_broken_streams_speak_against_an_engine():
    """Three streams that break in a row eject it; a stream's good end does not wipe out its slow start."""
    s = Story("r1 w1")
    for i in range(3):
        s.arrive(f"a{i}", tokens=500).after(0.05).start(f"a{i}", 0)
    for i in range(3):
        s.end(f"a{i}", 0, Outcome.CUT, final=True)
    s.check("broken_streams")


def test_a_deployment_without_readers():
    """Every read is local and may take what a reader might."""
    s = Story("w1", roles={"w": Role.WRITER})
    s.arrive("a", tokens=6000).arrive("b", tokens=2000).arrive("c", tokens=9000).check("without_readers")


def test_mixed_engines_at_ease_read_longer():
    for pace in (0.2, 0.8):
        s = Story("m1")
        s.node.engines["m1"].stream_pace = pace
        s.arrive("a", tokens=7000).check(f"mixed_at_{pace}")


def test_broken_streams_go_on_where_they_may():
    """Repeatable: its turn comes from the host; twice broken; out of schedule attempts. Once-only: aborted at once."""
    s = Story("r1 r2 w1 w2 w3", streams_go_on=True, max_attempts=6).arrive("a").after(0.1).end("a", 0, Outcome.READ)
    s.after(0.05).start("a", 1).after(1).end("a", 1, Outcome.CUT).after(0.2).turn("a", 3020)
    s.after(0.1).end("a", 2, Outcome.READ).after(0.05).start("a", 3).after(1).end("a", 3, Outcome.CUT)
    s.turn("a", 3040).after(0.1).end("a", 4, Outcome.READ).after(0.05).start("a", 5).after(1).end("a", 5, Outcome.ERROR)
    s.arrive("b", "post").after(0.1).end("b", 0, Outcome.READ).after(0.05).start("b", 1).after(1).end("b", 1, Outcome.CUT)
    s.check("streams_go_on")


def test_a_broken_stream_waits_where_none_can_take_it_and_ends_when_told():
    """What was read for it is let go while it waits. No turn any more: rejected, as it is repeatable."""
    s = Story("r1 w1", streams_go_on=True, max_attempts=6).arrive("a").after(0.1).end("a", 0, Outcome.READ)
    s.after(0.05).start("a", 1).roster("w1", availability=Availability.GONE).after(1).end("a", 1, Outcome.CUT)
    s.turn("a", 3020).after(1).end("a", 2, Outcome.READ).after(0.2).turn("a", 3020).after(0.5).turn("a", 0)
    s.check("stream_waits")


def test_a_tokened_stream_goes_on_inside_its_window_alone():
    s = Story("r1 w1 w2 wx", streams_go_on=True, max_attempts=9).arrive("a", "mark").after(0.1).end("a", 0, Outcome.READ)
    s.after(0.05).start("a", 1).after(1).end("a", 1, Outcome.CUT).turn("a", 3020).after(0.1).end("a", 2, Outcome.READ)
    s.after(0.05).start("a", 3).after(5).end("a", 3, Outcome.CUT)
    s.check("tokened_stream")


def test_a_trickling_stream_is_moved_where_another_writer_can_take_it():
    s = Story("r1 w1 w2", streams_go_on=True, max_attempts=6)
    for id, kind in (("a", "note"), ("b", "post")):
        s.arrive(id, kind).after(0.1).end(id, 0, Outcome.READ).after(0.05).start(id, 1).after(1).trickle(id, 1)
    s.end("a", 1, Outcome.RECALLED).turn("a", 3020).after(0.1).end("a", 2, Outcome.READ).after(0.05).start("a", 3)
    s.roster("w1", availability=Availability.GONE).roster("w2", availability=Availability.GONE).after(1).trickle("a", 3)
    s.check("trickles")


def test_engines_that_are_gone_for_good_are_forgotten():
    """Thousands come and go; what is out at one that left keeps it, and one that is back soon is the one it was."""
    s = Story("r1 w1").arrive("a").after(0.1).end("a", 0, Outcome.READ)
    engines = s.node.engines
    for i in range(3000):
        s.after(1).roster(f"r{i}", f"w{i}", complete=True)
        assert len(engines) <= 2 * 63 + 1
    assert "w1" in engines and "r1" not in engines  # the stream at w1 has not ended
    s.end("a", 1, Outcome.CUT, final=True).after(61).roster("r9").after(61).roster("r9")
    assert "w1" not in engines
    before = engines["r9"]
    s.roster("r8", complete=True).after(30).roster("r9")
    assert engines["r9"] is before
