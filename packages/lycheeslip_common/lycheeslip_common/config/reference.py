"""Renders reference tables from the declarations that validate a file, so that they match."""

import types
from collections.abc import Callable, Iterator
from enum import Enum
from typing import Annotated, Any, Literal, NamedTuple, Union, get_args, get_origin, get_type_hints

from annotated_types import Ge, Gt, Le, Lt
from pydantic.fields import FieldInfo

__all__ = ["Display", "render_sections"]


class Display(NamedTuple):
    """Annotation that sets how a reference table names a type and formats its default."""

    type_name: str
    format_default: Callable[[Any], str] = str


class _Row(NamedTuple):
    key: str
    type_name: str
    default: str
    description: str


def render_sections(declaration: Any, title: str) -> str:
    """Return a heading and a table for `declaration` and for each of its nested sections."""
    return "\n".join(_render_section(declaration, title, ""))


def _render_section(declaration: Any, title: str, path: str) -> Iterator[str]:
    hints = get_type_hints(declaration, include_extras=True)
    children = []
    yield f"## {title}"
    yield ""
    yield (declaration.__doc__ or "").strip().splitlines()[0]
    yield ""
    yield "| Key | Type | Default | Description |"
    yield "|---|---|---|---|"
    for name, hint in hints.items():
        row = _build_row(declaration, name, hint)
        yield f"| `{row.key}` | {row.type_name} | {row.default} | {row.description} |"
        child, suffix = _child_section(hint)
        if child is not None:
            children.append((child, f"{path}{row.key}{suffix}"))
    yield ""
    for child, child_path in children:
        yield from _render_section(child, f"`{child_path}`", f"{child_path}.")


def _build_row(declaration: Any, name: str, hint: Any) -> _Row:
    display = _find_item(hint, Display)
    key = next((item.alias for item in _field_infos(hint) if item.alias), name)
    description = next((item.description for item in _field_infos(hint) if item.description), "")
    defaults = declaration._field_defaults
    default = "required"
    if name in defaults:
        default = _render_default(defaults[name], display)
    return _Row(key, _type_name(hint, display), default, description)


def _render_default(value: Any, display: Display | None) -> str:
    if value in (None, "", {}, ()) or hasattr(value, "_fields"):
        return "none" if not hasattr(value, "_fields") else "see below"
    if display is not None:
        return f"`{display.format_default(value)}`"
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    if isinstance(value, Enum):
        return f"`{value.value}`"
    return f"`{', '.join(value)}`" if isinstance(value, tuple) else f"`{value}`"


def _type_name(hint: Any, display: Display | None) -> str:
    if display is not None:
        return display.type_name
    plain = _unwrap_type(hint)
    origin = get_origin(plain)
    if origin is Literal:
        return ", ".join(f"`{item}`" for item in get_args(plain))
    if origin is tuple:
        return f"list of {_type_name(get_args(plain)[0], _find_item(get_args(plain)[0], Display))}"
    if origin is dict:
        return "mapping by id"
    if isinstance(plain, type) and issubclass(plain, Enum):
        return ", ".join(f"`{item.value}`" for item in plain)
    if hasattr(plain, "_fields"):
        return "mapping"
    names = {bool: "true or false", int: "whole number", float: "number", str: "text"}
    return names.get(plain, "value") + _describe_range(hint)


def _describe_range(hint: Any) -> str:
    limits = [limit for info in _field_infos(hint) for limit in info.metadata]
    words = {Ge: "from", Gt: "over", Le: "to", Lt: "under"}
    parts = []
    for kind in (Ge, Gt, Le, Lt):
        for limit in limits:
            if isinstance(limit, kind):
                parts.append(f"{words[kind]} {getattr(limit, kind.__name__.lower())}")
    return " " + " ".join(parts) if parts else ""


def _child_section(hint: Any) -> tuple[Any, str]:
    plain, suffix = _unwrap_type(hint), ""
    if get_origin(plain) is dict:
        plain, suffix = _unwrap_type(get_args(plain)[1]), ".<id>"
    elif get_origin(plain) is tuple:
        plain, suffix = _unwrap_type(get_args(plain)[0]), "[]"
    return (plain, suffix) if hasattr(plain, "_fields") else (None, "")


def _unwrap_type(hint: Any) -> Any:
    while get_origin(hint) is Annotated:
        hint = get_args(hint)[0]
    if get_origin(hint) in (Union, types.UnionType):
        return _unwrap_type(get_args(hint)[0])
    return hint


def _metadata(hint: Any) -> tuple[Any, ...]:
    return getattr(hint, "__metadata__", ())


def _field_infos(hint: Any) -> list[FieldInfo]:
    return [item for item in _metadata(hint) if isinstance(item, FieldInfo)]


def _find_item(hint: Any, kind: type) -> Any:
    return next((item for item in _metadata(hint) if isinstance(item, kind)), None)
