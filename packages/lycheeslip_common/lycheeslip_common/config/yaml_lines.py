"""Reads YAML and records the line of each key, so that errors can refer to it."""

import re
from typing import NamedTuple

import yaml

__all__ = ["Document", "Path", "Problem", "read_yaml"]

Path = tuple[str, ...]

MAX_DEPTH = 20  # the reader takes over a second to reach the interpreter's limit
NUMBER_FIRST_CHARACTERS = list("-+0123456789.")


class Problem(NamedTuple):
    """An error in a file; `line` counts from 1, `key` is dotted ("" for the whole file)."""

    source: str
    line: int
    key: str
    message: str

    def __str__(self) -> str:
        """Return the format of compiler messages, so that editors can jump to the line."""
        key = f"{self.key}: " if self.key else ""
        return f"{self.source}:{self.line}: {key}{self.message}"


class Document(NamedTuple):
    """The values of a file, the line of each path, and its syntax problems."""

    source: str
    value: object
    line_by_path: dict[Path, int]
    problems: tuple[Problem, ...]

    def line_of(self, path: Path) -> int:
        """Return the line of `path`, or of its closest ancestor present in the file."""
        for length in range(len(path), 0, -1):
            if path[:length] in self.line_by_path:
                return self.line_by_path[path[:length]]
        return 1

    def problem_at(self, path: Path, message: str) -> Problem:
        """Return a problem at the line of `path`."""
        return Problem(self.source, self.line_of(path), ".".join(path), message)


class _Loader(yaml.SafeLoader):
    """Resolves plain scalars as in YAML 1.2: `22:00`, `yes` and dates remain strings."""

    yaml_implicit_resolvers: dict = {}
    _depth = 0

    def compose_node(self, parent: yaml.Node | None, index: int) -> yaml.Node | None:
        """Reject aliases, with which a short file could expand without bound, and deep nesting."""
        if self.check_event(yaml.AliasEvent):
            mark = self.peek_event().start_mark
            raise yaml.composer.ComposerError(None, None, "aliases are not supported", mark)
        if self._depth >= MAX_DEPTH:
            raise RecursionError
        self._depth += 1
        node = super().compose_node(parent, index)
        self._depth -= 1
        return node


def _add_resolver(tag: str, pattern: str, first_characters: list[str]) -> None:
    _Loader.add_implicit_resolver(f"tag:yaml.org,2002:{tag}", re.compile(pattern), first_characters)


_add_resolver("null", r"^(?:~|null|Null|NULL|)$", ["~", "n", "N", ""])
_add_resolver("bool", r"^(?:true|True|TRUE|false|False|FALSE)$", list("tTfF"))
_add_resolver("int", r"^[-+]?[0-9]{1,18}$", NUMBER_FIRST_CHARACTERS)
_add_resolver(
    "float",
    r"^[-+]?(?:[0-9]{1,18}\.[0-9]{0,18}|\.[0-9]{1,18})(?:[eE][-+]?[0-9]{1,3})?$",
    NUMBER_FIRST_CHARACTERS,
)


class _NodeConverter:
    def __init__(self, source: str) -> None:
        self._source = source
        self.line_by_path: dict[Path, int] = {}
        self.problems: list[Problem] = []

    def convert(self, node: yaml.Node, path: Path) -> object:
        if isinstance(node, yaml.MappingNode):
            return self._convert_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return self._convert_sequence(node, path)
        return _convert_scalar(node)

    def _convert_mapping(self, node: yaml.MappingNode, path: Path) -> dict[str, object]:
        value_by_key: dict[str, object] = {}
        for key_node, value_node in node.value:
            line = key_node.start_mark.line + 1
            if not isinstance(key_node, yaml.ScalarNode):
                self._add_problem(line, path, "a key must be a scalar")
                continue
            key = key_node.value
            key_path = (*path, key)
            if key in value_by_key:
                first_line = self.line_by_path[key_path]
                self._add_problem(
                    line, key_path, f"duplicate key, first given in line {first_line}"
                )
                continue
            self.line_by_path[key_path] = line
            value_by_key[key] = self.convert(value_node, key_path)
        return value_by_key

    def _convert_sequence(self, node: yaml.SequenceNode, path: Path) -> list[object]:
        values = []
        for index, item in enumerate(node.value):
            item_path = (*path, str(index))
            self.line_by_path[item_path] = item.start_mark.line + 1
            values.append(self.convert(item, item_path))
        return values

    def _add_problem(self, line: int, path: Path, message: str) -> None:
        self.problems.append(Problem(self._source, line, ".".join(path), message))


def _convert_scalar(node: yaml.Node) -> object:
    text = node.value
    match node.tag.rpartition(":")[2]:
        case "null" if text.lower() in ("", "~", "null"):
            return None
        case "bool" if text.lower() in ("true", "false"):
            return text.lower() == "true"
        case "int" if re.fullmatch(r"[-+]?[0-9]{1,18}", text):
            return int(text)
        case "float" if re.fullmatch(r"[-+.0-9eE]{1,48}", text):
            return float(text)
    return text


def read_yaml(text: str, source: str) -> Document:
    """Return the values and lines of `text`; syntax errors are in `problems`."""
    try:
        node = yaml.compose(text, Loader=_Loader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        return _unreadable_document(source, line, f"not valid YAML: {error.problem}")
    except yaml.reader.ReaderError as error:
        line = text.count("\n", 0, error.position) + 1
        return _unreadable_document(source, line, f"not valid YAML: {error.reason}")
    except (yaml.YAMLError, ValueError) as error:
        return _unreadable_document(source, 1, f"not valid YAML: {error}")
    except RecursionError:
        return _unreadable_document(source, 1, "nested too deeply")
    converter = _NodeConverter(source)
    value = {} if node is None else converter.convert(node, ())
    return Document(source, value, converter.line_by_path, tuple(converter.problems))


def _unreadable_document(source: str, line: int, message: str) -> Document:
    return Document(source, None, {}, (Problem(source, line, "", message),))
