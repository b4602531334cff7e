"""Renders the reference of a declared file, so that its page can't differ from its checks."""

import types
from collections.abc import Callable, Iterator
from enum import Enum
from typing import Annotated, Any, Literal, NamedTuple, Union, get_args, get_origin, get_type_hints

from annotated_types import Ge, Gt, Le, Lt
from pydantic.fields import FieldInfo

__all__ = ["Shown", "render_sections"]


class Shown(NamedTuple):
    """How a page names a type and shows its default; put into the type's annotation."""

    form: str
    format_default: Callable[[Any], str] = str


class _Row(NamedTuple):
    key: str
    form: str
    default: str
    meaning: str


def render_sections(declaration: Any, title: str) -> str:
    """Return a heading and a table for `declaration` and for each section inside it."""
    return "\n".join(_section(declaration, title, ""))


def _section(declaration: Any, title: str, path: str) -> Iterator[str]:
    hints = get_type_hints(declaration, include_extras=True)
    children = []
    yield f"## {title}"
    yield ""
    yield (declaration.__doc__ or "").strip().splitlines()[0]
    yield ""
    yield "| Key | Form | Default | Meaning |"
    yield "|---|---|---|---|"
    for name, hint in hints.items():
        row = _row(declaration, name, hint)
        yield f"| `{row.key}` | {row.form} | {row.default} | {row.meaning} |"
        child, suffix = _child(hint)
        if child is not None:
            children.append((child, f"{path}{row.key}{suffix}"))
    yield ""
    for child, child_path in children:
        yield from _section(child, f"`{child_path}`", f"{child_path}.")


def _row(declaration: Any, name: str, hint: Any) -> _Row:
    shown = _find(hint, Shown)
    key = next((item.alias for item in _infos(hint) if item.alias), name)
    meaning = next((item.description for item in _infos(hint) if item.description), "")
    defaults = declaration._field_defaults
    default = "required"
    if name in defaults:
        default = _default(defaults[name], shown)
    return _Row(key, _form(hint, shown), default, meaning)


def _default(value: Any, shown: Shown | None) -> str:
    if value in (None, "", {}, ()) or hasattr(value, "_fields"):
        return "none" if not hasattr(value, "_fields") else "see below"
    if shown is not None:
        return f"`{shown.format_default(value)}`"
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    if isinstance(value, Enum):
        return f"`{value.value}`"
    return f"`{', '.join(value)}`" if isinstance(value, tuple) else f"`{value}`"


def _form(hint: Any, shown: Shown | None) -> str:
    if shown is not None:
        return shown.form
    plain = _plain(hint)
    origin = get_origin(plain)
    if origin is Literal:
        return ", ".join(f"`{item}`" for item in get_args(plain))
    if origin is tuple:
        return f"list of {_form(get_args(plain)[0], _find(get_args(plain)[0], Shown))}"
    if origin is dict:
        return "mapping by id"
    if isinstance(plain, type) and issubclass(plain, Enum):
        return ", ".join(f"`{item.value}`" for item in plain)
    if hasattr(plain, "_fields"):
        return "mapping"
    names = {bool: "true or false", int: "whole number", float: "number", str: "text"}
    return names.get(plain, "value") + _range(hint)


def _range(hint: Any) -> str:
    limits = [limit for info in _infos(hint) for limit in info.metadata]
    words = {Ge: "from", Gt: "over", Le: "to", Lt: "under"}
    parts = []
    for kind in (Ge, Gt, Le, Lt):
        for limit in limits:
            if isinstance(limit, kind):
                parts.append(f"{words[kind]} {getattr(limit, kind.__name__.lower())}")
    return " " + " ".join(parts) if parts else ""


def _child(hint: Any) -> tuple[Any, str]:
    plain, suffix = _plain(hint), ""
    if get_origin(plain) is dict:
        plain, suffix = _plain(get_args(plain)[1]), ".<id>"
    elif get_origin(plain) is tuple:
        plain, suffix = _plain(get_args(plain)[0]), "[]"
    return (plain, suffix) if hasattr(plain, "_fields") else (None, "")


def _plain(hint: Any) -> Any:
    while get_origin(hint) is Annotated:
        hint = get_args(hint)[0]
    if get_origin(hint) in (Union, types.UnionType):
        return _plain(get_args(hint)[0])
    return hint


def _metadata(hint: Any) -> tuple[Any, ...]:
    return getattr(hint, "__metadata__", ())


def _infos(hint: Any) -> list[FieldInfo]:
    return [item for item in _metadata(hint) if isinstance(item, FieldInfo)]


def _find(hint: Any, kind: type) -> Any:
    return next((item for item in _metadata(hint) if isinstance(item, kind)), None)
