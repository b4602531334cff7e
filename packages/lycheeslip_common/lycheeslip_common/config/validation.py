"""Validates a YAML document against a NamedTuple declaration; reports all problems by line."""

import types
from collections.abc import Mapping
from difflib import get_close_matches
from functools import cache
from typing import Annotated, Any, TypeVar, Union, cast, get_args, get_origin, get_type_hints

from pydantic import BeforeValidator, Field, TypeAdapter, ValidationError
from pydantic_core import ErrorDetails, PydanticCustomError

from lycheeslip_common.config.yaml_lines import Document, Path, Problem

__all__ = [
    "StrictInt",
    "ProblemsError",
    "Section",
    "StrictBool",
    "validation_error",
    "validate_document",
]

T = TypeVar("T")

MAX_REPR_CHARACTERS = 40

StrictInt = Annotated[int, Field(strict=True)]
"""An integer; strings and booleans are rejected rather than converted."""

StrictBool = Annotated[bool, Field(strict=True)]
"""true or false; `yes`, `on` and 1 are rejected."""


class ProblemsError(Exception):
    """A file is invalid; `problems` lists every reason."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        """Store `problems` and use them, one per line, as the message."""
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


def validation_error(message: str) -> PydanticCustomError:
    """Return the error that a validator raises to reject a value with `message`."""
    return PydanticCustomError("refused", message.replace("{", "{{").replace("}", "}}"))


def _require_mapping(value: object) -> object:
    if value is None:
        return {}
    if isinstance(value, list | str | int | float):
        raise validation_error("must be a mapping of keys to values")
    return value


Section = Annotated[T, BeforeValidator(_require_mapping)]
"""A nested mapping; a blank value is read as an empty mapping."""


def validate_document(document: Document, declaration: type[T]) -> tuple[T | None, list[Problem]]:
    """Return the validated value, or None, and all problems in line order."""
    problems = list(document.problems)
    if document.value is None and problems:
        return None, problems
    if not isinstance(document.value, Mapping):
        return None, [document.problem_at((), "the file must be a mapping of keys to values")]
    try:
        value = _type_adapter(cast(Any, declaration)).validate_python(document.value)
    except ValidationError as error:
        problems += [_to_problem(item, declaration, document) for item in _innermost_errors(error)]
        return None, sorted(problems, key=lambda problem: problem.line)
    return value, problems


@cache
def _type_adapter(declaration: Any) -> TypeAdapter[Any]:
    return TypeAdapter(declaration)


def _innermost_errors(error: ValidationError) -> list[ErrorDetails]:
    """Return the errors, without those of containers that hold another error."""
    items = error.errors()
    outer = {item["loc"][:length] for item in items for length in range(len(item["loc"]))}
    return [item for item in items if item["loc"] not in outer]


def _to_problem(error: ErrorDetails, declaration: object, document: Document) -> Problem:
    path = tuple(str(part) for part in error["loc"] if part != "[key]")
    return document.problem_at(path, _error_message(error, declaration, path))


def _error_message(error: ErrorDetails, declaration: object, path: Path) -> str:
    match error["type"]:
        case "unexpected_keyword_argument" | "extra_forbidden":
            return _unknown_key_message(path, _known_keys(declaration, path[:-1]))
        case "missing_argument" | "missing":
            return "is required"
        case "refused":
            return error["msg"]
        case "bool_type":
            message = "must be true or false"
        case "int_type" | "int_from_float":
            message = "must be a whole number"
        case "float_type" | "float_parsing":
            message = "must be a number"
        case "string_type":
            message = "must be text (put it in quotes)"
        case "tuple_type":
            message = "must be a list"
        case _:
            message = error["msg"][:1].lower() + error["msg"][1:]
    return f"{message}, got {_truncated_repr(error['input'])}"


def _truncated_repr(value: object) -> str:
    text = repr(value)
    if len(text) <= MAX_REPR_CHARACTERS:
        return text
    return text[: MAX_REPR_CHARACTERS - 3] + "..."


def _unknown_key_message(path: Path, known: list[str]) -> str:
    close = get_close_matches(path[-1], known, n=1)
    hint = f"; did you mean {close[0]!r}?" if close else f"; known keys: {', '.join(known)}"
    return f"unknown key {path[-1]!r}{hint}"


def _known_keys(declaration: object, path: Path) -> list[str]:
    for part in path:
        declaration = _child_type(_unwrap_type(declaration), part)
    plain = _unwrap_type(declaration)
    if not hasattr(plain, "_fields"):
        return []
    return [_field_key(name, hint) for name, hint in _field_hints(plain).items()]


def _child_type(plain: Any, part: str) -> object:
    if get_origin(plain) is dict:
        return get_args(plain)[1]
    if get_origin(plain) is tuple:
        return get_args(plain)[0]
    for name, hint in _field_hints(plain).items():
        if _field_key(name, hint) == part:
            return hint
    return object


def _unwrap_type(declaration: Any) -> Any:
    while get_origin(declaration) is Annotated:
        declaration = get_args(declaration)[0]
    if get_origin(declaration) in (Union, types.UnionType):
        return _unwrap_type(get_args(declaration)[0])
    return declaration


def _field_hints(plain: Any) -> dict[str, Any]:
    return get_type_hints(plain, include_extras=True) if hasattr(plain, "_fields") else {}


def _field_key(name: str, hint: Any) -> str:
    for item in getattr(hint, "__metadata__", ()):
        if getattr(item, "alias", None):
            return item.alias
    return name
