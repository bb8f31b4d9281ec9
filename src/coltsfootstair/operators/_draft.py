"""A document that is being edited; it may have faults until it is applied."""

from __future__ import annotations

import tomllib
from typing import Any, NamedTuple

from coltsfootstair.document import Document, parse
from coltsfootstair.errors import BadInputError
from coltsfootstair.operators._fields import TITLE_BY_KIND
from coltsfootstair.typed_toml import dump_tables

__all__ = ['Draft', 'Fault']

DRAFT_NAME = 'draft'


class Fault(NamedTuple):
    """Why a draft can't be applied yet.

    :param path: the field, such as ``services[1].kind``
    """

    path: str
    text: str


class Draft(NamedTuple):
    """The TOML of a document, and the version of the document it was made from."""

    text: str
    base: int

    def entries(self) -> dict[str, list[dict[str, Any]]]:
        """Return the entries by kind; none if the text is no TOML."""
        try:
            root = tomllib.loads(self.text)
        except tomllib.TOMLDecodeError:
            root = {}
        return {kind: _tables(root.get(kind)) for kind in TITLE_BY_KIND}

    def names_by_kind(self) -> dict[str, list[str]]:
        """Return the names of the entries by kind."""
        return {
            kind: [str(entry.get('name', '')) for entry in entries]
            for kind, entries in self.entries().items()
        }

    def with_entry(self, kind: str, number: int, entry: dict[str, Any]) -> Draft:
        """Return a draft with ``entry`` in place of entry ``number``, or at the end."""
        entries = self.entries()
        entries[kind][number : number + 1] = [entry]
        return self._replace(text=dump_tables(entries))

    def without_entry(self, kind: str, number: int) -> Draft:
        """Return a draft without entry ``number``."""
        entries = self.entries()
        del entries[kind][number : number + 1]
        return self._replace(text=dump_tables(entries))

    def check(self) -> tuple[Document | None, list[Fault]]:
        """Return the document, or its faults."""
        try:
            return parse(self.text, DRAFT_NAME), []
        except ExceptionGroup as group:
            return None, [
                Fault(error.field.partition(' (line')[0], f'{error.field}: {error.allowed}')
                for error in group.exceptions
                if isinstance(error, BadInputError)
            ]

    def faults_by_field(self, kind: str, number: int) -> dict[str, str]:
        """Return what is wrong with the fields of one entry."""
        prefix = f'{kind}[{number + 1}].'
        found: dict[str, str] = {}
        for fault in self.check()[1]:
            if fault.path.startswith(prefix):
                allowed = fault.text.partition(': ')[2]
                found.setdefault(fault.path.removeprefix(prefix), allowed)
        return found


def _tables(value: object) -> list[dict[str, Any]]:
    if not isinstance(value, list):
        return []
    return [entry for entry in value if isinstance(entry, dict)]
