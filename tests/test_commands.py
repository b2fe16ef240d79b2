"""The command line: one plain line and exit 2 on bad input; a short rehearsal with nodes in processes of their own."""
import subprocess
import sys

import pytest
from click.testing import CliRunner

from aniserudder.cli import main

SHORT = """\
about: a short day with a kill, a dead engine and a hang
like: fleet
seconds: 5
nodes: {east: 1, west: 1}
traffic: {per_s: 12}
rules: {answer_margin_ms: 250, seen_slack_ms: 150}
troubles:
  - {at: 0.8, trouble: hang, kinds: [decode], count: 1, seconds: 1}
  - {at: 1.5, trouble: balancer_crash, count: 1, seconds: 0.5}
  - {at: 2.5, trouble: refuse, kinds: [prefill], count: 1, seconds: 0.5}
"""


@pytest.mark.parametrize("command, said", [
    (["serve", "nowhere.yaml"], "nowhere.yaml: No such file or directory"),
    (["settings", "check", "nowhere.yaml"], "nowhere.yaml: No such file or directory"),
    (["rehearse", "nothing"], "nothing: neither a shipped day (see --list) nor a file"),
    (["rehearse"], "DAY is missing"),
    (["audit", "nowhere"], "nowhere: No such file or directory"),
    (["replay", "nowhere"], "nowhere: No such file or directory"),
    (["standin", "roster", "nowhere"], "nowhere: No such file or directory")])
def test_bad_input_is_one_plain_line(command, said):
    got = CliRunner().invoke(main, command)
    assert got.exit_code == 2 and got.stderr.startswith(said) and got.stderr.count("\n") == 1


def test_settings_commands():
    good = CliRunner().invoke(main, ["settings", "check", "examples/node.yaml"])
    assert good.exit_code == 0 and "good: node first" in good.stdout
    assert '"latency_slo_ms"' in CliRunner().invoke(main, ["settings", "schema"]).stdout


def test_a_short_day_keeps_the_rules_and_its_record_can_be_audited(tmp_path):
    (tmp_path / "day.yaml").write_text(SHORT)
    record, kept = tmp_path / "record", tmp_path / "kept"
    command = [sys.executable, "-m", "aniserudder"]
    ran = subprocess.run([*command, "rehearse", str(tmp_path / "day.yaml"), "--seed", "3", "--record", str(record),
                          "--keep", str(kept), "--quiet"], capture_output=True, text=True, timeout=90)
    assert ran.returncode == 0, ran.stdout + ran.stderr
    last = ran.stdout.splitlines()[-1]
    assert last.startswith("rules: 5 kept, 0 broken; ") and "all decided alike" in ran.stdout
    judged = CliRunner().invoke(main, ["audit", str(record)])
    assert judged.exit_code == 0 and judged.stdout.splitlines()[-1] == last
    for one in kept.glob("*.decisions.*"):
        assert "all decided alike" in CliRunner().invoke(main, ["replay", str(one)]).stdout
    lines = [x for x in record.read_text().splitlines() if '"answered"' not in x or "op3." not in x]
    record.write_text("\n".join(lines))
    assert CliRunner().invoke(main, ["audit", str(record)]).exit_code == 1
