"""A write may be short: a file that is only added to holds whole lines all the same, or ends."""
import io

from aniserudder.durable import AtOnce
from aniserudder.durable.writer import Paper


class ShortWrites(io.RawIOBase):
    """A raw file that takes at most seven bytes in a call."""

    def __init__(self):
        self.data = b""

    def write(self, data):
        taken = bytes(data[:7])
        self.data += taken
        return len(taken)


def test_a_record_whose_writes_are_short_has_no_torn_line_in_its_middle():
    out = ShortWrites()
    paper = Paper(AtOnce(), "record", out, lambda *a, **k: None)
    for number in range(5):
        paper.write(b'{"call": %d, "text": "some more"}\n' % number)
    assert out.data == b"".join(b'{"call": %d, "text": "some more"}\n' % number for number in range(5))


def test_a_record_ends_where_a_write_takes_nothing():
    out = ShortWrites()
    paper = Paper(AtOnce(), "record", out, lambda *a, **k: None)
    paper.write(b"whole\n")
    out.write = lambda data: 0
    paper.write(b"never\n")
    del out.write
    paper.write(b"behind a gap\n")
    assert out.data == b"whole\n"
