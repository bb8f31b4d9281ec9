"""The console's pages that edit, review and apply the document."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from coltsfootstair.document import Document, find_changes, parse
from coltsfootstair.operators._draft import Draft
from coltsfootstair.operators._fields import TITLE_BY_KIND, convert_posted_values, list_fields
from coltsfootstair.operators._http import HttpError, Response
from coltsfootstair.operators._outcome import render_result
from coltsfootstair.operators._pages import render_page

if TYPE_CHECKING:
    from coltsfootstair.operators._ports import DaemonPort

__all__ = ['Editor']

Form = dict[str, list[str]]


class Editor:
    """Edits a draft that is kept in hidden fields of the forms, not in a daemon."""

    def __init__(self, port: DaemonPort) -> None:
        self._port = port

    def show_draft(self, token: str) -> Response:
        """Return a page with the present document as a draft."""
        present = self._port.document()
        return _render_draft(Draft(present.text, present.version), token)

    def handle_action(self, form: Form, token: str) -> Response:
        """Carry out the action of the button that was pressed on the page of the draft."""
        draft = _read_draft(form)
        match _first_value(form, 'action').split():
            case ['edit', kind, number] if kind in TITLE_BY_KIND and number.isdecimal():
                return _render_entry(draft, kind, int(number), token)
            case ['add', kind] if kind in TITLE_BY_KIND:
                return _render_entry(draft, kind, len(draft.entries()[kind]), token)
            case ['remove', kind, number] if kind in TITLE_BY_KIND and number.isdecimal():
                return _render_draft(draft.without_entry(kind, int(number)), token)
            case ['text']:
                return render_page('text', draft=draft, faults=draft.check()[1], token=token)
            case ['review']:
                return self._render_review(draft, token)
        return _render_draft(draft, token)

    def save_entry(self, form: Form, token: str) -> Response:
        """Save the fields of one entry in the draft, or show their faults."""
        draft, kind, number = (
            _read_draft(form),
            _first_value(form, 'entries'),
            _first_value(form, 'number'),
        )
        if kind not in TITLE_BY_KIND or not number.isdecimal():
            raise HttpError(
                HTTPStatus.BAD_REQUEST, 'the form must name a known kind of entry and a number'
            )
        index = min(int(number), len(draft.entries()[kind]))
        fields = list_fields(kind, draft.collect_names_by_kind())
        changed = draft.with_entry(kind, index, convert_posted_values(fields, form))
        faults = changed.find_faults_by_field(kind, index)
        if faults:
            values = changed.entries()[kind][index]
            return _render_entry(draft, kind, index, token, values, faults)
        return _render_draft(changed, token)

    def save_text(self, form: Form, token: str) -> Response:
        """Save the text of the draft, or show its faults."""
        draft = _read_draft(form)
        faults = draft.check()[1]
        if faults:
            status = HTTPStatus.UNPROCESSABLE_ENTITY
            return render_page('text', status, draft=draft, faults=faults, token=token)
        return _render_draft(draft, token)

    def apply_draft(self, form: Form, token: str) -> Response:
        """Apply the draft."""
        draft = _read_draft(form)
        force = _first_value(form, 'force') == 'true'
        return render_result(self._port.apply(draft.text, draft.base, force), token)

    def _render_review(self, draft: Draft, token: str) -> Response:
        document, _faults = draft.check()
        if document is None:
            return _render_draft(draft, token, HTTPStatus.UNPROCESSABLE_ENTITY)
        present = self._port.document()
        old = parse(present.text, 'document') if present.version else Document()
        return render_page(
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


def _render_draft(draft: Draft, token: str, status: HTTPStatus = HTTPStatus.OK) -> Response:
    return render_page(
        'document',
        status,
        draft=draft,
        entries_by_kind=draft.entries(),
        title_by_kind=TITLE_BY_KIND,
        faults=draft.check()[1],
        token=token,
    )


def _render_entry(
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
    return render_page(
        'entry',
        HTTPStatus.UNPROCESSABLE_ENTITY if faults else HTTPStatus.OK,
        draft=draft,
        kind=kind,
        number=number,
        title=TITLE_BY_KIND[kind],
        fields=list_fields(kind, draft.collect_names_by_kind()),
        values={field: _format_value(value) for field, value in values.items()},
        faults=faults or {},
        token=token,
    )


def _format_value(value: Any) -> Any:
    """Return a boolean as ``true`` or ``false``, and any other value unchanged."""
    if isinstance(value, bool):
        return 'true' if value else 'false'
    return value


def _read_draft(form: Form) -> Draft:
    base = _first_value(form, 'base')
    if not base.isdecimal():
        raise HttpError(HTTPStatus.BAD_REQUEST, 'the form must name a version number as base')
    return Draft(_first_value(form, 'draft').replace('\r\n', '\n'), int(base))


def _first_value(form: Form, name: str) -> str:
    """Return the first value of a field, or an empty string if the form lacks the field."""
    return form.get(name, [''])[0]
