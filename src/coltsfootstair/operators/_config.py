"""Reads the document in the store, and changes it by conditional updates."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from coltsfootstair.document import (
    Document,
    State,
    find_changes,
    find_dangers,
    parse,
    render,
    with_backend_server_state,
    with_data_centre_state,
)
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

__all__ = ['DOCUMENT_KEY', 'DocumentStore', 'format_faults']

DOCUMENT_KEY = 'config'
"""Key of the object in the store that holds the document."""

MAX_ATTEMPTS = 5
"""Attempts at one step of a change when there are conflicts or calls without an answer."""

Load = Mapping[str, float]
"""Slots in use at present, by name of the service."""


class DocumentStore:
    """Reads and changes the document in the store; thread-safe."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def read(self) -> VersionedText:
        """Read the document.

        :raises StoreUnavailableError: the store did not answer
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
        """Replace the document by ``text``.

        :param base: version that must be the present one; ``None`` for any
        :param force: whether to apply a dangerous change as well
        :param history: documents by version, to tell what changed since ``base``
        """
        try:
            new = parse(text, 'document')
        except ExceptionGroup as group:
            return Faulty(format_faults(group))
        try:
            present = self.read()
        except StoreUnavailableError as error:
            return Unavailable(f'nothing was changed: {error}')
        if base is not None and base != present.version:
            return _build_conflict(history.get(base), present)
        return self._replace_document(present, new, force=force, load=load)

    def set_data_centre(
        self, name: str, state: State, *, force: bool, load: Load
    ) -> ApplyResult:
        """Take a data centre out or bring it back."""
        return self._apply_change(
            lambda old: with_data_centre_state(old, name, state), force, load
        )

    def set_backend_server(
        self, name: str, state: State, *, force: bool, load: Load
    ) -> ApplyResult:
        """Drain or restore a backend server."""
        return self._apply_change(
            lambda old: with_backend_server_state(old, name, state), force, load
        )

    def _apply_change(
        self, change: Callable[[Document], Document], force: bool, load: Load
    ) -> ApplyResult:
        result: ApplyResult = Unavailable('the change was not attempted')
        for _ in range(MAX_ATTEMPTS):
            try:
                present = self.read()
            except StoreUnavailableError as error:
                return Unavailable(f'nothing was changed: {error}')
            try:
                new = change(parse(present.text, 'document'))
            except BadInputError as error:
                return Faulty((str(error),))
            result = self._replace_document(present, new, force=force, load=load)
            if not isinstance(result, Conflict):
                return result
        return result

    def _replace_document(
        self, present: VersionedText, new: Document, *, force: bool, load: Load
    ) -> ApplyResult:
        old = parse(present.text, 'document')
        changes = tuple(str(change) for change in find_changes(old, new))
        if not changes and present.version != ABSENT:
            return Applied(present.version, ())
        found = find_dangers(old, new, load)
        if found and not force:
            return Dangerous(tuple(str(danger) for danger in found))
        return self._write_document(present, render(new), changes)

    def _write_document(
        self, present: VersionedText, text: str, changes: tuple[str, ...]
    ) -> ApplyResult:
        was_answer_lost = False
        for _ in range(MAX_ATTEMPTS):
            try:
                version = self._store.put(
                    DOCUMENT_KEY, text.encode(), expected_version=present.version
                )
            except StoreConflictError:
                return self._resolve_conflict(present, text, changes, was_answer_lost)
            except StoreUnavailableError:
                # The update may have taken effect or may still do so. A retry is safe because
                # it expects the same version; a conflict then shows whether it took effect.
                was_answer_lost = True
                continue
            return Applied(version, changes)
        return Unavailable('the store did not answer; the change may have taken effect')

    def _resolve_conflict(
        self, base: VersionedText, text: str, changes: tuple[str, ...], was_answer_lost: bool
    ) -> ApplyResult:
        for _ in range(MAX_ATTEMPTS):
            try:
                present = self.read()
            except StoreUnavailableError:
                continue
            if was_answer_lost and present.text == text:
                return Applied(present.version, changes)
            detail = ''
            if was_answer_lost:
                detail = 'an answer was lost: the change may have been in force earlier'
            return _build_conflict(base.text, present)._replace(detail=detail)
        return Unavailable('the store did not answer; the change may have taken effect')


def format_faults(group: BaseExceptionGroup[Exception]) -> tuple[str, ...]:
    """Return the faults in ``group``, each on one line."""
    lines: list[str] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            lines.extend(format_faults(error))
        else:
            lines.append(' '.join(str(error).split()))
    return tuple(lines)


def _build_conflict(base_text: str | None, present: VersionedText) -> Conflict:
    if base_text is None:
        return Conflict(present.version, ())
    old, new = parse(base_text, 'document'), parse(present.text, 'document')
    return Conflict(present.version, tuple(str(change) for change in find_changes(old, new)))
