"""The console's pages that edit, review and apply the document."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from coltsfootstair.document import Document, find_changes, parse
from coltsfootstair.operators._draft import Draft
from coltsfootstair.operators._fields import TITLE_BY_KIND, fields_of, posted_values
from coltsfootstair.operators._http import HttpError, Response
from coltsfootstair.operators._outcome import result_page
from coltsfootstair.operators._pages import page

if TYPE_CHECKING:
    from coltsfootstair.operators._ports import DaemonPort

__all__ = ['Editor']

Form = dict[str, list[str]]


class Editor:
    """Edits a draft that travels in the forms, so that any daemon can serve any step."""

    def __init__(self, port: DaemonPort) -> None:
        self._port = port

    def open(self, token: str) -> Response:
        """Show the present document as a draft."""
        present = self._port.document()
        return _draft_page(Draft(present.text, present.version), token)

    def step(self, form: Form, token: str) -> Response:
        """Do what the pressed button of the draft's page says."""
        draft = _draft(form)
        match _one(form, 'action').split():
            case ['edit', kind, number] if kind in TITLE_BY_KIND and number.isdecimal():
                return _entry_page(draft, kind, int(number), token)
            case ['add', kind] if kind in TITLE_BY_KIND:
                return _entry_page(draft, kind, len(draft.entries()[kind]), token)
            case ['remove', kind, number] if kind in TITLE_BY_KIND and number.isdecimal():
                return _draft_page(draft.without_entry(kind, int(number)), token)
            case ['text']:
                return page('text', draft=draft, faults=draft.check()[1], token=token)
            case ['review']:
                return self._review(draft, token)
        return _draft_page(draft, token)

    def entry(self, form: Form, token: str) -> Response:
        """Take the fields of one entry into the draft, or show what is wrong with them."""
        draft, kind, number = _draft(form), _one(form, 'entries'), _one(form, 'number')
        if kind not in TITLE_BY_KIND or not number.isdecimal():
            raise HttpError(HTTPStatus.BAD_REQUEST, 'the form names no entry')
        place = min(int(number), len(draft.entries()[kind]))
        fields = fields_of(kind, draft.names_by_kind())
        changed = draft.with_entry(kind, place, posted_values(fields, form))
        faults = changed.faults_by_field(kind, place)
        if faults:
            shown = changed.entries()[kind][place]
            return _entry_page(draft, kind, place, token, shown, faults)
        return _draft_page(changed, token)

    def text(self, form: Form, token: str) -> Response:
        """Take the draft's text, or show what is wrong with it."""
        draft = _draft(form)
        faults = draft.check()[1]
        if faults:
            status = HTTPStatus.UNPROCESSABLE_ENTITY
            return page('text', status, draft=draft, faults=faults, token=token)
        return _draft_page(draft, token)

    def apply(self, form: Form, token: str) -> Response:
        """Apply the draft."""
        draft = _draft(form)
        force = _one(form, 'force') == 'true'
        return result_page(self._port.apply(draft.text, draft.base, force), token)

    def _review(self, draft: Draft, token: str) -> Response:
        document, _faults = draft.check()
        if document is None:
            return _draft_page(draft, token, HTTPStatus.UNPROCESSABLE_ENTITY)
        present = self._port.document()
        old = parse(present.text, 'document') if present.version else Document()
        return page(
            'review',
            title='Review the changes',
            action='/document/apply',
            hidden={'draft': draft.text, 'base': draft.base},
            changes=[str(change) for change in find_changes(old, document)],
            dangers=self._port.find_dangers(draft.text),
            version=present.version,
            stale=present.version != draft.base,
            token=token,
        )


def _draft_page(draft: Draft, token: str, status: HTTPStatus = HTTPStatus.OK) -> Response:
    return page(
        'document',
        status,
        draft=draft,
        entries_by_kind=draft.entries(),
        title_by_kind=TITLE_BY_KIND,
        faults=draft.check()[1],
        token=token,
    )


def _entry_page(
    draft: Draft,
    kind: str,
    number: int,
    token: str,
    values: dict[str, Any] | None = None,
    faults: dict[str, str] | None = None,
) -> Response:
    entries = draft.entries()[kind]
    if values is None:
        values = entries[number] if number < len(entries) else {}
    return page(
        'entry',
        HTTPStatus.UNPROCESSABLE_ENTITY if faults else HTTPStatus.OK,
        draft=draft,
        kind=kind,
        number=number,
        title=TITLE_BY_KIND[kind],
        fields=fields_of(kind, draft.names_by_kind()),
        values={field: _shown(value) for field, value in values.items()},
        faults=faults or {},
        token=token,
    )


def _shown(value: Any) -> Any:
    if isinstance(value, bool):
        return 'true' if value else 'false'
    return value


def _draft(form: Form) -> Draft:
    base = _one(form, 'base')
    if not base.isdecimal():
        raise HttpError(HTTPStatus.BAD_REQUEST, 'the form names no version')
    return Draft(_one(form, 'draft').replace('\r\n', '\n'), int(base))


def _one(form: Form, name: str) -> str:
    return form.get(name, [''])[0]
