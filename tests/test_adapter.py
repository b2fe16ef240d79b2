"""The wire adapter: what it refuses, what it passes over, and one batch from end to end."""
import io
import json

import pytest

from aniserudder import simhost

SPAWN = {"cmd": "spawn", "node": "node/0", "prng": 1, "boot-info": {
    "balancers": 1, "kinds": ["prefill", "decode", "odd"], "later-key": 1, "zone": "a", "dcs": ["a"],
    "family-info": {"duty-by-kind": ["read", "write", "else"], "self-prefill": True},
    "services": [{"name": "draft", "goal-time": 1.5, "deadline": 6.0, "semantics": "pure"}], "bounds": {"max-attempts": 4}}}
ROWS = [{"engine": f"e:{k}", "kind": k, "az": "a", "availability": "Running"} for k in ("prefill", "decode", "odd", "new")]
FLEET = {"cmd": "fleet", "node": "node/0", "epoch": 1, "how": "restored", "rows": ROWS}
KNOCK = {"cmd": "knock", "node": "node/0", "request-id": "s1", "input-len": 3000, "grace": 6.0, "type": "draft"}


def play(*messages, at=1.0):
    lines = [{"cmd": "tick", "t": at}, *messages, {"cmd": "end"}]
    out = io.StringIO()
    code = simhost.main(io.StringIO("\n".join(m if isinstance(m, str) else json.dumps(m) for m in lines)), out)
    return code, [json.loads(line) for line in out.getvalue().splitlines()]


def test_a_batch():
    code, reply = play(SPAWN, FLEET, KNOCK)
    assert code == 0 and [a["cmd"] for a in reply] == ["send", "ready"]
    assert reply[0]["engine"] == "e:prefill" and reply[0]["give-up-after"] == pytest.approx(1.2)


def test_what_is_no_longer_held_is_passed_over():
    late = [{"cmd": "response", "node": "node/0", "request-id": "gone", "result": "pass", "engine": "e:odd"},
            {"cmd": "dropped", "node": "node/0", "request-id": "gone"},
            {"cmd": "timeout-fired", "node": "node/0", "token": 99}, {"cmd": "started", "node": "node/9", "request-id": "x"}]
    assert play(SPAWN, FLEET, *late) == (0, [{"cmd": "ready"}])


@pytest.mark.parametrize("line, problem", [
    ("{nonsense", "line 2: not JSON"), ('{"cmd":"dance"}', "line 2: unknown message 'dance'"),
    ('{"cmd":"exit"}', "line 2: lacks 'node'"), ("[1]", "line 2: not an object")])
def test_malformed_lines_end_it_plainly(line, problem, capsys):
    code, _ = play(line)
    said = capsys.readouterr().err
    assert code == 2 and said.startswith(problem) and said.count("\n") == 1


def test_a_missing_field_is_named(capsys):
    assert play(SPAWN, FLEET, {k: v for k, v in KNOCK.items() if k != "grace"})[0] == 2
    assert "line 4: knock lacks 'grace'" in capsys.readouterr().err


def test_a_failing_module_is_reported(monkeypatch):
    monkeypatch.setattr(simhost.Node, "arrived", lambda *_: 1 / 0)
    code, reply = play(SPAWN, FLEET, KNOCK)
    assert code == 0 and reply[0]["cmd"] == "bug" and "node/0: ZeroDivisionError" in reply[0]["msg"]
