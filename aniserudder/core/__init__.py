"""The library: one ``Router`` owns one decision node, its sequences and its clock. No sockets, no globals."""
from .ports import Answer, Attempt, Engines, Request, Usage
from .record import NoRecord, Record, Recorder, Unequal, replay
from .router import Router

__all__ = ["Answer", "Attempt", "Engines", "NoRecord", "Record", "Recorder", "Request", "Router", "Unequal",
           "Usage", "replay"]
