"""How late a node is, by cause: the longest of each since it was told last."""
from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Lag:
    """Longest times in seconds since the last ``line``.

    Attributes:
        loop_s: by which a timer came late.
        request_s: that a client's whole request lay unread in the kernel.
        answer_s: that the answer of a read lay unread in the kernel.
        decision_s: that one call of the decision module took.
        list_s: that the decision module took for one change of the list.
    """
    loop_s: float = 0.0
    request_s: float = 0.0
    answer_s: float = 0.0
    decision_s: float = 0.0
    list_s: float = 0.0

    def loop_late(self, seconds: float) -> None:
        """A timer came late."""
        self.loop_s = max(self.loop_s, seconds)

    def request_lay(self, seconds: float) -> None:
        """A client's request was come to so long after its last byte."""
        self.request_s = max(self.request_s, seconds)

    def answer_lay(self, seconds: float) -> None:
        """The answer of a read was come to so long after its last byte."""
        self.answer_s = max(self.answer_s, seconds)

    def decided(self, seconds: float, about_list: bool) -> None:
        """The decision module took so long for one call."""
        if about_list:
            self.list_s = max(self.list_s, seconds)
        else:
            self.decision_s = max(self.decision_s, seconds)

    def line(self) -> str:
        """For the log; begins anew."""
        said = (f"late {self.loop_s * 1000:.0f} ms, requests lay {self.request_s * 1000:.0f} ms, answers {self.answer_s * 1000:.0f} ms, "
                f"longest decision {self.decision_s * 1000:.1f} ms, list {self.list_s * 1000:.1f} ms")
        self.loop_s = self.request_s = self.answer_s = self.decision_s = self.list_s = 0.0
        return said
