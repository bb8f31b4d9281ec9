"""The draft of a document that is being edited."""

from __future__ import annotations

import tomllib
from typing import Any, NamedTuple

from coltsfootstair.document import Document, parse
from coltsfootstair.errors import BadInputError
from coltsfootstair.operators._fields import TITLE_BY_KIND
from coltsfootstair.typed_toml import dump_tables

__all__ = ['Draft', 'Fault']

DRAFT_NAME = 'draft'
"""Source that errors in a draft name."""


class Fault(NamedTuple):
    """A fault of a draft, because of which it cannot be applied yet.

    :param path: path of the field, such as ``services[1].kind``
    :param text: path with its line, and what is allowed
    """

    path: str
    text: str


class Draft(NamedTuple):
    """A document that is being edited; it may have faults.

    :param text: TOML of the draft
    :param base: version of the document that the draft is based on
    """

    text: str
    base: int

    def entries(self) -> dict[str, list[dict[str, Any]]]:
        """Return the entries by kind; there are none if the text is not TOML."""
        try:
            root = tomllib.loads(self.text)
        except tomllib.TOMLDecodeError:
            root = {}
        return {kind: _select_tables(root.get(kind)) for kind in TITLE_BY_KIND}

    def collect_names_by_kind(self) -> dict[str, list[str]]:
        """Return the names of the entries by kind."""
        return {
            kind: [str(entry.get('name', '')) for entry in entries]
            for kind, entries in self.entries().items()
        }

    def with_entry(self, kind: str, number: int, entry: dict[str, Any]) -> Draft:
        """Return a draft with ``entry`` in place of entry ``number``, or appended."""
        entries = self.entries()
        entries[kind][number : number + 1] = [entry]
        return self._replace(text=dump_tables(entries))

    def without_entry(self, kind: str, number: int) -> Draft:
        """Return a draft without entry ``number``."""
        entries = self.entries()
        del entries[kind][number : number + 1]
        return self._replace(text=dump_tables(entries))

    def check(self) -> tuple[Document | None, list[Fault]]:
        """Return the document, or ``None`` and the faults of the draft."""
        try:
            return parse(self.text, DRAFT_NAME), []
        except ExceptionGroup as group:
            return None, [
                Fault(error.field.partition(' (line')[0], f'{error.field}: {error.allowed}')
                for error in group.exceptions
                if isinstance(error, BadInputError)
            ]

    def find_faults_by_field(self, kind: str, number: int) -> dict[str, str]:
        """Return, by field, what is allowed in each faulty field of one entry."""
        prefix = f'{kind}[{number + 1}].'
        found: dict[str, str] = {}
        for fault in self.check()[1]:
            if fault.path.startswith(prefix):
                allowed = fault.text.partition(': ')[2]
                found.setdefault(fault.path.removeprefix(prefix), allowed)
        return found


def _select_tables(value: object) -> list[dict[str, Any]]:
    if not isinstance(value, list):
        return []
    return [entry for entry in value if isinstance(entry, dict)]
