"""What the kernel tells of a TCP connection: when its newest data came, and what of its own the other side has not acknowledged."""
from __future__ import annotations

import fcntl
import socket
import struct
import termios

# Linux, tcp(7): ``struct tcp_info`` has eight bytes and then 32-bit values; one is the age of the newest data in milliseconds.
_TCP_INFO = struct.Struct("8x13I")
_INT = struct.Struct("i")
_LAST_DATA_RECEIVED = 11
_LAST_SEGMENT_RECEIVED = 12
_CLOSE_WAIT = 8  # the state, which is the first byte: the other side has ended its sending
MOST_AGE_S = 60.0


def data_age(handle: socket.socket) -> float:
    """Seconds since the newest data arrived at this system, whether or not it was read then; 0 where the system does not tell."""
    try:
        told = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
        return min(MOST_AGE_S, _TCP_INFO.unpack(told)[_LAST_DATA_RECEIVED] / 1000)
    except (OSError, AttributeError, struct.error):
        return 0.0


def end_age(handle: socket.socket) -> float | None:
    """Seconds since the other side's end of sending arrived at this system, at most; None where that cannot be told."""
    try:
        told = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
        if told[0] != _CLOSE_WAIT:
            return None
        return min(MOST_AGE_S, _TCP_INFO.unpack(told)[_LAST_SEGMENT_RECEIVED] / 1000)
    except (OSError, AttributeError, struct.error, IndexError):
        return None


def unacknowledged_bytes(handle: socket.socket) -> int:
    """Bytes that were written and that the other side's system has not acknowledged (SIOCOUTQ, tcp(7)); 0 where the system does not tell."""
    try:
        return _INT.unpack(fcntl.ioctl(handle, termios.TIOCOUTQ, bytes(_INT.size)))[0]
    except (OSError, ValueError, struct.error):
        return 0
