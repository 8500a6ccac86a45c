"""Reads settings from JSON files into attrs classes and validates them."""

import functools
import json
import pathlib
from typing import Any, TypeVar

import cattrs
from cattrs.errors import ForbiddenExtraKeysError, IterableValidationNote

from wagtailstep.exceptions import SettingsError
from wagtailstep.models.settings import SettingValueError

_T = TypeVar("_T")


def _reject_wrong_type(value: Any, value_type: type) -> Any:
    accepted = (int, float) if value_type is float else value_type
    if isinstance(value, bool) != (value_type is bool) or not isinstance(
        value, accepted
    ):
        raise TypeError(f"{value!r} is not allowed; give {_TYPE_NAMES[value_type]}")
    return value_type(value)


_TYPE_NAMES = {
    str: "a string in double quotes",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


@functools.cache
def get_converter() -> cattrs.Converter:
    """Return the converter that rejects unknown keys and values of the wrong type.

    It is kept, since it compiles a function for each class that it structures, and a
    daemon reads its settings file every few seconds.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    for value_type in _TYPE_NAMES:
        converter.register_structure_hook(value_type, _reject_wrong_type)
    return converter


def read_settings(path: str, cls: type[_T]) -> _T:
    """Read one settings file.

    :param path: path of a JSON file.
    :param cls: attrs class of the settings.
    :raises SettingsError: if the file can't be read, is not valid JSON or has a key or
        value that is not allowed; the message is one line and names the key.
    """
    return structure_settings(read_json(path), cls, path)


def read_settings_list(path: str, cls: type[_T]) -> list[_T]:
    """Read a file that holds a list of settings.

    :raises SettingsError: see :func:`read_settings`.
    """
    raw = read_json(path)
    if not isinstance(raw, list):
        raise SettingsError(f"{path}: must be a JSON list")
    return [
        structure_settings(item, cls, f"{path}[{index}]")
        for index, item in enumerate(raw)
    ]


def read_json(path: str) -> Any:
    """Read and decode a JSON file.

    :raises SettingsError: if the file can't be read or is not JSON.
    """
    try:
        return json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: can't be read: {error.strerror}") from error
    except ValueError as error:
        raise SettingsError(f"{path}: not valid JSON: {error}") from error


def structure_settings(raw: Any, cls: type[_T], source: str) -> _T:
    """Convert decoded JSON to settings.

    :param raw: decoded JSON.
    :param source: name of its origin, for error messages.
    :raises SettingsError: see :func:`read_settings`.
    """
    if not isinstance(raw, dict):
        raise SettingsError(f"{source}: must be a JSON object, not {raw!r}")
    try:
        return get_converter().structure(drop_comments(raw), cls)
    except Exception as error:
        raise SettingsError(f"{source}: {'; '.join(explain(error))}") from error


def drop_comments(raw: Any) -> Any:
    """Return decoded JSON without comments, which are keys that start with ``//``."""
    if not isinstance(raw, dict):
        return raw
    return {
        key: drop_comments(value)
        for key, value in raw.items()
        if not key.startswith("//")
    }


def explain(error: BaseException, key: str = "") -> list[str]:
    """Flatten a tree of errors into one line per invalid key.

    :param error: an error or exception group.
    :param key: dotted name of the key that the error belongs to.
    """
    if isinstance(error, BaseExceptionGroup):
        lines = []
        for child in error.exceptions:
            lines.extend(explain(child, _extend_key(key, child)))
        return lines
    if isinstance(error, ForbiddenExtraKeysError):
        unknown = ", ".join(
            sorted(f"{key}.{k}".lstrip(".") for k in error.extra_fields)
        )
        return [f"unknown key {unknown}"]
    if isinstance(error, KeyError):
        return [f"key {key or error.args[0]} is missing; it has no default"]
    if isinstance(error, SettingValueError):
        key = f"{key}.{error.name}".lstrip(".")
    return [f"key {key}: {error}"]


def _extend_key(key: str, error: BaseException) -> str:
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, IterableValidationNote):
            return f"{key}[{note.index}]"
        name = getattr(note, "name", None)
        if name is not None:
            return f"{key}.{name}".lstrip(".")
    return key
