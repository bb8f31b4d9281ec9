"""Changes the document in the store by conditional updates."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from coltsfootstair.document import Document, State, dangers, difference, parse, render
from coltsfootstair.document import with_backend_server as change_backend_server
from coltsfootstair.document import with_data_centre as change_data_centre
from coltsfootstair.errors import BadInputError, StoreConflictError, StoreUnavailableError
from coltsfootstair.operators._types import (
    Applied,
    ApplyResult,
    Conflict,
    Dangerous,
    Faulty,
    Unavailable,
    VersionedText,
)
from coltsfootstair.store import ABSENT, Store

__all__ = ['DOCUMENT_KEY', 'DocumentStore', 'fault_lines']

DOCUMENT_KEY = 'config'
"""The store's object that holds the document."""

MAX_ATTEMPTS = 5
"""How often a change is tried again after a conflict or a lost answer."""

Load = Mapping[str, float]
"""Slots in use at present, by service."""


class DocumentStore:
    """The document in the store; safe for several threads."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def read(self) -> VersionedText:
        """Read the document.

        :raises StoreUnavailableError: the store gave no answer
        """
        stored = self._store.get(DOCUMENT_KEY)
        return VersionedText(stored.value.decode(), stored.version)

    def apply(
        self,
        text: str,
        base: int | None,
        *,
        force: bool,
        load: Load,
        history: Mapping[int, str],
    ) -> ApplyResult:
        """Put ``text`` in place of version ``base``, or of the present one.

        :param history: documents by version, to show what changed since ``base``
        """
        try:
            new = parse(text, 'document')
        except ExceptionGroup as group:
            return Faulty(fault_lines(group))
        try:
            present = self.read()
        except StoreUnavailableError as error:
            return Unavailable(f'nothing was changed: {error}')
        if base is not None and base != present.version:
            return _conflict(history.get(base), present)
        return self._replace(present, new, force=force, load=load)

    def set_data_centre(
        self, name: str, state: State, *, force: bool, load: Load
    ) -> ApplyResult:
        """Take a data centre out, or bring it back."""
        return self._modify(lambda old: change_data_centre(old, name, state), force, load)

    def set_backend_server(
        self, name: str, state: State, *, force: bool, load: Load
    ) -> ApplyResult:
        """Drain a backend server, or restore it."""
        return self._modify(lambda old: change_backend_server(old, name, state), force, load)

    def _modify(
        self, change: Callable[[Document], Document], force: bool, load: Load
    ) -> ApplyResult:
        result: ApplyResult = Unavailable('the change was not tried')
        for _ in range(MAX_ATTEMPTS):
            try:
                present = self.read()
            except StoreUnavailableError as error:
                return Unavailable(f'nothing was changed: {error}')
            try:
                new = change(parse(present.text, 'document'))
            except BadInputError as error:
                return Faulty((str(error),))
            result = self._replace(present, new, force=force, load=load)
            if not isinstance(result, Conflict):
                return result
        return result

    def _replace(
        self, present: VersionedText, new: Document, *, force: bool, load: Load
    ) -> ApplyResult:
        old = parse(present.text, 'document')
        changes = tuple(str(change) for change in difference(old, new))
        if not changes and present.version != ABSENT:
            return Applied(present.version, ())
        found = dangers(old, new, load)
        if found and not force:
            return Dangerous(tuple(str(danger) for danger in found))
        return self._write(present, render(new), changes)

    def _write(
        self, present: VersionedText, text: str, changes: tuple[str, ...]
    ) -> ApplyResult:
        asked = False
        for _ in range(MAX_ATTEMPTS):
            try:
                version = self._store.put(
                    DOCUMENT_KEY, text.encode(), expected_version=present.version
                )
            except StoreConflictError:
                return self._settle_conflict(present, text, changes, asked)
            except StoreUnavailableError:
                # The update may have taken effect, or may do so yet. To ask again is safe,
                # as it is bound to the same version: a conflict then tells which.
                asked = True
                continue
            return Applied(version, changes)
        return Unavailable('the store did not answer; the change may have taken effect')

    def _settle_conflict(
        self, base: VersionedText, text: str, changes: tuple[str, ...], asked: bool
    ) -> ApplyResult:
        for _ in range(MAX_ATTEMPTS):
            try:
                present = self.read()
            except StoreUnavailableError:
                continue
            if asked and present.text == text:
                return Applied(present.version, changes)
            detail = ''
            if asked:
                detail = 'an answer was lost: the change may have been in force before that'
            return _conflict(base.text, present)._replace(detail=detail)
        return Unavailable('the store did not answer; the change may have taken effect')


def fault_lines(group: BaseExceptionGroup[Exception]) -> tuple[str, ...]:
    """Return one line for each fault in ``group``."""
    lines: list[str] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            lines.extend(fault_lines(error))
        else:
            lines.append(' '.join(str(error).split()))
    return tuple(lines)


def _conflict(base: str | None, present: VersionedText) -> Conflict:
    if base is None:
        return Conflict(present.version, ())
    old, new = parse(base, 'document'), parse(present.text, 'document')
    return Conflict(present.version, tuple(str(change) for change in difference(old, new)))
