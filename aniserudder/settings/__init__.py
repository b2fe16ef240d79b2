"""One YAML form for everything an operator sets: schema.py holds it, load.py reads it and names what is wrong."""
from .load import BadSettings, load, load_tenants, load_text
from .schema import NodeSettings

__all__ = ["BadSettings", "NodeSettings", "load", "load_tenants", "load_text"]
