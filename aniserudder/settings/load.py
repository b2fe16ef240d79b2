"""Reads the settings form from YAML and says in one line each what is wrong: file, line, key, found, allowed."""
from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import yaml
from pydantic import BaseModel, TypeAdapter, ValidationError

from .schema import NodeSettings, TenantForm

Form = TypeVar("Form", bound=BaseModel)
SHOWN = 60  # characters of a wrong value that are shown


class BadSettings(Exception):
    """Settings that cannot be used; ``problems`` holds one plain line for each."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__(problems[0])
        self.problems = problems


def load(path: str | Path, form: type[Form] = NodeSettings,
         under: Callable[[dict[str, Any]], dict[str, Any]] | None = None) -> Form:
    """Reads a form from a file.

    Raises:
        BadSettings: the file cannot be read, is no YAML, or breaks the schema.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as problem:
        reason = getattr(problem, "strerror", None) or "not UTF-8 text"
        raise BadSettings([f"{path}: {reason}"]) from None
    return load_text(text, str(path), form, under)


def load_text(text: str, name: str, form: type[Form] = NodeSettings,
              under: Callable[[dict[str, Any]], dict[str, Any]] | None = None) -> Form:
    """Reads a form from text; ``name`` stands for the file in messages.

    ``under`` is handed what was read and returns what to lay under it: keys that the text does not give itself.
    """
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        _no_key_twice(root, name)
        data = yaml.safe_load(text)
    except yaml.YAMLError as problem:
        mark = getattr(problem, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        raise BadSettings([f"{name}:{line}: not YAML: {getattr(problem, 'problem', None) or 'cannot be read'}"]) from None
    if not isinstance(data, dict):
        raise BadSettings([f"{name}:1: found {_show(data)}, allowed: a mapping of settings"])
    if under:
        data = under(data) | data
    try:
        return form.model_validate(data)
    except ValidationError as wrong:
        raise BadSettings([_line(name, root, e) for e in wrong.errors()]) from None


def _no_key_twice(node: yaml.Node | None, name: str) -> None:
    """YAML lets a later key silently win over an earlier one: an operator would read the wrong value."""
    if isinstance(node, yaml.MappingNode):
        seen: dict[str, int] = {}
        for key, value in node.value:
            line = key.start_mark.line + 1
            if key.value in seen:
                raise BadSettings([f"{name}:{line}: key {key.value!r} was given on line {seen[key.value]} already"])
            seen[key.value] = line
            _no_key_twice(value, name)
    elif isinstance(node, yaml.SequenceNode):
        for value in node.value:
            _no_key_twice(value, name)


def _line(name: str, root: yaml.Node | None, error: dict[str, Any]) -> str:
    path, line = error["loc"], 1
    node = root
    for step in path:
        found = _step(node, step)
        if found is None:
            break
        line, node = found
    key = ".".join(str(p) for p in path if p != "[key]") or "the whole"
    allowed = error["msg"].removeprefix("Value error, ").removeprefix("Input should be ")
    if error["type"] == "missing":
        return f"{name}:{line}: {key}: missing"
    if error["type"] == "extra_forbidden":
        return f"{name}:{line}: {key}: no such key"
    if error["type"] == "value_error":
        return f"{name}:{line}: {key}: {allowed}"
    return f"{name}:{line}: {key}: found {_show(error['input'])}, allowed: {allowed}"


def _step(node: yaml.Node | None, step: str | int) -> tuple[int, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == str(step):
                return key.start_mark.line + 1, value
    elif isinstance(node, yaml.SequenceNode) and isinstance(step, int) and step < len(node.value):
        return node.value[step].start_mark.line + 1, node.value[step]
    return None


def _show(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= SHOWN else text[:SHOWN] + "..."


def load_tenants(path: str) -> dict[str, TenantForm]:
    """Tenants from a JSON file, by name; none where no file is named.

    Raises:
        BadSettings: the file cannot be read or breaks the form.
    """
    if not path:
        return {}
    try:
        return _tenants.validate_json(Path(path).read_bytes())
    except OSError as problem:
        raise BadSettings([f"{path}: {problem.strerror}"]) from None
    except ValidationError as wrong:
        first = wrong.errors()[0]
        raise BadSettings([f"{path}: {'.'.join(map(str, first['loc'])) or 'the whole'}: {first['msg']}"]) from None


_tenants = TypeAdapter(dict[str, TenantForm])
