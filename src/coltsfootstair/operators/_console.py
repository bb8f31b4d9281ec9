"""The console: web pages for operators, without scripts."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from coltsfootstair.document import (
    Document,
    State,
    find_changes,
    parse,
    render,
    with_backend_server_state,
    with_data_centre_state,
)
from coltsfootstair.errors import BadInputError
from coltsfootstair.operators._editor import Editor
from coltsfootstair.operators._guard import TOKEN_FIELD, FormGuard
from coltsfootstair.operators._http import HttpError, Request, Response
from coltsfootstair.operators._outcome import render_result
from coltsfootstair.operators._ownership_page import render_owners_page
from coltsfootstair.operators._pages import load_style_sheet, render_page
from coltsfootstair.timeline import EventName, TimelineEvent

if TYPE_CHECKING:
    from coltsfootstair.operators._ports import DaemonPort

__all__ = ['Console']

MAX_SHOWN_EVENT_COUNT = 500
"""Events that the page of the time line shows at most."""

_REQUEST_EVENTS = (EventName.REQUEST_REFUSED, EventName.REQUEST_BROKEN)


class Console:
    """Answers the requests of browsers."""

    def __init__(self, port: DaemonPort) -> None:
        self._port = port
        self._guard = FormGuard()
        self._editor = Editor(port)

    def handle(self, request: Request) -> Response:
        """Answer ``request``.

        :raises HttpError: its path does not exist, or the request is not allowed
        """
        cookie, headers = self._guard.get_or_issue_cookie(request)
        token = self._guard.compute_token(cookie)
        if request.method == 'GET':
            response = self._handle_get(request, token)
        else:
            form = request.parse_form()
            self._guard.check(request, _first_value(form, TOKEN_FIELD))
            response = self._handle_post(request.path, form, token)
        return response._replace(headers=response.headers + headers)

    def render_error(self, error: HttpError) -> Response:
        """Return a page that shows ``error``."""
        return render_page(
            'error', error.status, title=error.status.phrase, detail=error.detail
        )

    def _handle_get(self, request: Request, token: str) -> Response:
        query = {name: values[0] for name, values in request.query.items()}
        match request.path:
            case '/':
                return self._render_overview()
            case '/style.css':
                return load_style_sheet()
            case '/document':
                return self._editor.show_draft(token)
            case '/change':
                return self._render_review(query, token)
            case '/owners':
                return render_owners_page(self._port, self._read_document()[0], query)
            case '/refusals':
                return self._render_refusals(query)
            case '/timeline':
                return self._render_timeline(query)
        raise HttpError(HTTPStatus.NOT_FOUND, 'no such page')

    def _handle_post(self, path: str, form: dict[str, list[str]], token: str) -> Response:
        match path:
            case '/document':
                return self._editor.handle_action(form, token)
            case '/document/entry':
                return self._editor.save_entry(form, token)
            case '/document/text':
                return self._editor.save_text(form, token)
            case '/document/apply':
                return self._editor.apply_draft(form, token)
            case '/change':
                return self._apply_change(
                    {name: values[0] for name, values in form.items()}, token
                )
        raise HttpError(HTTPStatus.NOT_FOUND, 'no such form')

    def _render_overview(self) -> Response:
        document, _ = self._read_document()
        return render_page('overview', report=self._port.status(), document=document)

    def _render_review(self, query: dict[str, str], token: str) -> Response:
        old, version = self._read_document()
        entry, name, state = _parse_change(query)
        try:
            set_state = (
                with_data_centre_state if entry == 'data-centre' else with_backend_server_state
            )
            new = set_state(old, name, state)
        except BadInputError as error:
            raise HttpError(HTTPStatus.NOT_FOUND, str(error)) from None
        return render_page(
            'review',
            title=f'{"Take out" if state is State.OUT else "Bring back"} {name}',
            action='/change',
            hidden={'entry': entry, 'name': name, 'state': state.value},
            changes=[str(change) for change in find_changes(old, new)],
            dangers=self._port.find_dangers(render(new)),
            version=version,
            stale=False,
            token=token,
        )

    def _apply_change(self, form: dict[str, str], token: str) -> Response:
        entry, name, state = _parse_change(form)
        force = form.get('force') == 'true'
        if entry == 'data-centre':
            return render_result(self._port.set_data_centre(name, state, force), token)
        return render_result(self._port.set_backend_server(name, state, force), token)

    def _render_refusals(self, query: dict[str, str]) -> Response:
        events = self._select_events(query)
        # The page shows the latest 100 of them.
        refusals = [event for event in events if event.name in _REQUEST_EVENTS]
        return render_page(
            'refusals', report=self._port.status(), query=query, events=refusals[-100:][::-1]
        )

    def _render_timeline(self, query: dict[str, str]) -> Response:
        events = self._select_events(query)
        shown = events[-MAX_SHOWN_EVENT_COUNT:]
        return render_page(
            'timeline', query=query, events=shown, left_out=len(events) - len(shown)
        )

    def _select_events(self, query: dict[str, str]) -> list[TimelineEvent]:
        daemon, word = query.get('daemon', ''), query.get('word', '')
        return [
            event
            for event in self._port.timeline()
            if daemon in ('', event.daemon) and (not word or _contains_text(event, word))
        ]

    def _read_document(self) -> tuple[Document, int]:
        present = self._port.document()
        return parse(present.text, 'document'), present.version


def _contains_text(event: TimelineEvent, word: str) -> bool:
    return word in event.name or any(word in str(value) for value in event.fields.values())


def _parse_change(values: dict[str, str]) -> tuple[str, str, State]:
    entry, state = values.get('entry', ''), values.get('state', '')
    if entry not in ('data-centre', 'backend-server') or state not in list(State):
        raise HttpError(
            HTTPStatus.BAD_REQUEST,
            'the request must name an entry of a known kind and the state "in" or "out"',
        )
    return entry, values.get('name', ''), State(state)


def _first_value(form: dict[str, list[str]], name: str) -> str:
    return form.get(name, [''])[0]
