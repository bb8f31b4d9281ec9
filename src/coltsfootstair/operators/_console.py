"""The console: pages for operators, without scripts."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from coltsfootstair.document import (
    Document,
    State,
    find_changes,
    parse,
    render,
    with_backend_server,
    with_data_centre,
)
from coltsfootstair.errors import BadInputError
from coltsfootstair.operators._editor import Editor
from coltsfootstair.operators._guard import TOKEN_FIELD, FormGuard
from coltsfootstair.operators._http import HttpError, Request, Response
from coltsfootstair.operators._outcome import result_page
from coltsfootstair.operators._ownership_page import owners_page
from coltsfootstair.operators._pages import page, style
from coltsfootstair.timeline import EventName, TimelineEvent

if TYPE_CHECKING:
    from coltsfootstair.operators._ports import DaemonPort

__all__ = ['Console']

MAX_EVENTS_SHOWN = 500

_OF_REQUESTS = (EventName.REQUEST_REFUSED, EventName.REQUEST_BROKEN)


class Console:
    """Answers a browser's requests."""

    def __init__(self, port: DaemonPort) -> None:
        self._port = port
        self._guard = FormGuard()
        self._editor = Editor(port)

    def handle(self, request: Request) -> Response:
        """Answer ``request``.

        :raises HttpError: there is nothing at its path, or it is not allowed
        """
        cookie, headers = self._guard.cookie(request)
        token = self._guard.token(cookie)
        if request.method == 'GET':
            response = self._show(request, token)
        else:
            form = request.form()
            self._guard.check(request, _one(form, TOKEN_FIELD))
            response = self._post(request.path, form, token)
        return response._replace(headers=response.headers + headers)

    def error(self, error: HttpError) -> Response:
        """Return a page that tells of ``error``."""
        return page('error', error.status, title=error.status.phrase, detail=error.detail)

    def _show(self, request: Request, token: str) -> Response:
        query = {name: values[0] for name, values in request.query.items()}
        match request.path:
            case '/':
                return self._overview()
            case '/style.css':
                return style()
            case '/document':
                return self._editor.open(token)
            case '/change':
                return self._review_change(query, token)
            case '/owners':
                return owners_page(self._port, self._document()[0], query)
            case '/refusals':
                return self._refusals(query)
            case '/timeline':
                return self._timeline(query)
        raise HttpError(HTTPStatus.NOT_FOUND, 'there is no such page')

    def _post(self, path: str, form: dict[str, list[str]], token: str) -> Response:
        match path:
            case '/document':
                return self._editor.step(form, token)
            case '/document/entry':
                return self._editor.entry(form, token)
            case '/document/text':
                return self._editor.text(form, token)
            case '/document/apply':
                return self._editor.apply(form, token)
            case '/change':
                return self._change({name: values[0] for name, values in form.items()}, token)
        raise HttpError(HTTPStatus.NOT_FOUND, 'there is no such form')

    def _overview(self) -> Response:
        document, _ = self._document()
        return page('overview', report=self._port.status(), document=document)

    def _review_change(self, query: dict[str, str], token: str) -> Response:
        old, version = self._document()
        entry, name, state = _asked_change(query)
        try:
            change = with_data_centre if entry == 'data-centre' else with_backend_server
            new = change(old, name, state)
        except BadInputError as error:
            raise HttpError(HTTPStatus.NOT_FOUND, str(error)) from None
        return page(
            'review',
            title=f'{"Take out" if state is State.OUT else "Bring back"} {name}',
            action='/change',
            hidden={'entry': entry, 'name': name, 'state': state.value},
            changes=[str(one) for one in find_changes(old, new)],
            dangers=self._port.find_dangers(render(new)),
            version=version,
            stale=False,
            token=token,
        )

    def _change(self, form: dict[str, str], token: str) -> Response:
        entry, name, state = _asked_change(form)
        force = form.get('force') == 'true'
        if entry == 'data-centre':
            return result_page(self._port.set_data_centre(name, state, force), token)
        return result_page(self._port.set_backend_server(name, state, force), token)

    def _refusals(self, query: dict[str, str]) -> Response:
        events = self._events(query)
        refusals = [event for event in events if event.name in _OF_REQUESTS]
        return page(
            'refusals', report=self._port.status(), query=query, events=refusals[-100:][::-1]
        )

    def _timeline(self, query: dict[str, str]) -> Response:
        events = self._events(query)
        shown = events[-MAX_EVENTS_SHOWN:]
        return page('timeline', query=query, events=shown, left_out=len(events) - len(shown))

    def _events(self, query: dict[str, str]) -> list[TimelineEvent]:
        daemon, word = query.get('daemon', ''), query.get('word', '')
        return [
            event
            for event in self._port.timeline()
            if daemon in ('', event.daemon) and (not word or _mentions(event, word))
        ]

    def _document(self) -> tuple[Document, int]:
        present = self._port.document()
        return parse(present.text, 'document'), present.version


def _mentions(event: TimelineEvent, word: str) -> bool:
    return word in event.name or any(word in str(value) for value in event.fields.values())


def _asked_change(values: dict[str, str]) -> tuple[str, str, State]:
    entry, state = values.get('entry', ''), values.get('state', '')
    if entry not in ('data-centre', 'backend-server') or state not in list(State):
        raise HttpError(HTTPStatus.BAD_REQUEST, 'the form names no change')
    return entry, values.get('name', ''), State(state)


def _one(form: dict[str, list[str]], name: str) -> str:
    return form.get(name, [''])[0]
