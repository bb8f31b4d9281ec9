"""Tests of the console, operated like a person with a browser does."""

from __future__ import annotations

import http.client
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import mechanicalsoup
import pytest
from tests.document.examples import EXAMPLE
from tests.operators.fakes import FakeDaemon, serve_daemon

from coltsfootstair.document import Document, State, parse

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

PAGES = ['/', '/document', '/owners?service=slots&key=k', '/refusals', '/timeline?word=north']
BEFORE_EVENTS = ('2025-01-01T00:00:00', 'do not go back that far')
REVIEW = '/change?entry=data-centre&state=out&name=south'


class User:
    """A simulated user, who finds fields by their labels and buttons by their texts."""

    def __init__(self, address: str) -> None:
        self.url = f'http://{address}'
        self.browser = mechanicalsoup.StatefulBrowser(raise_on_404=False)

    @property
    def page(self) -> Any:
        return self.browser.page

    def open(self, path: str) -> None:
        self.browser.open(self.url + path)

    def press(self, text: str) -> int:
        button = self.page.find('button', string=text)
        assert button is not None, text
        form = mechanicalsoup.Form(button.find_parent('form'))
        if button.get('name'):
            form.choose_submit(button)
        self.browser._StatefulBrowser__state.form = form
        return int(self.browser.submit_selected().status_code)

    def fill(self, label: str, value: str) -> None:
        field = self.page.find(id=self.page.find('label', string=label)['for'])
        if field.name == 'select':
            for option in field.find_all('option'):
                del option['selected']
                if option['value'] == value:
                    option['selected'] = ''
        elif field.name == 'textarea':
            field.string = value
        else:
            field['value'] = value

    def read_fault(self, label: str) -> str:
        field = self.page.find(id=self.page.find('label', string=label)['for'])
        assert field['aria-invalid'] == 'true'
        identifier = field['aria-describedby'].split()[-1]
        return str(self.page.find(id=identifier).string)


@pytest.fixture
def daemon() -> FakeDaemon:
    return FakeDaemon()


@pytest.fixture
def user(daemon: FakeDaemon) -> Iterator[User]:
    with serve_daemon(daemon) as address:
        yield User(address)


def read_document(daemon: FakeDaemon) -> Document:
    return parse(daemon.document().text, 'stored')


@pytest.mark.parametrize('path', [*PAGES, REVIEW, '/nowhere'])
def test_page(path: str, user: User, snapshot: SnapshotAssertion) -> None:
    user.open(path)
    for hidden in user.page.find_all('input', attrs={'name': 'csrf'}):
        hidden['value'] = 'TOKEN'
    assert str(user.page) == snapshot


@pytest.mark.parametrize('path', [*PAGES, REVIEW])
def test_page_is_accessible(path: str, user: User) -> None:
    user.open(path)
    assert user.page.html['lang'] == 'en'
    assert not user.page.find_all('script')
    assert len(user.page.find_all('h1')) == 1
    labelled = {label.get('for') for label in user.page.find_all('label')}
    for field in user.page.select('input:not([type=hidden]):not([type=checkbox]), select'):
        assert field['id'] in labelled


def test_document_can_be_written_with_forms() -> None:
    daemon = FakeDaemon('')
    with serve_daemon(daemon) as address:
        user = User(address)
        user.open('/document')
        user.press('Add a data centre')
        user.fill('Name', 'no/rth')
        assert user.press('Save in draft') == 422
        assert user.read_fault('Name').startswith('Name must be a name of 1 to 63 letters')
        user.fill('Name', 'north')
        user.press('Save in draft')
        user.press('Add a service')
        user.fill('Name', 'slots')
        user.press('Save in draft')
        assert 'must name at least one data centre' in user.page.find(class_='fault').string
        user.page.find('input', type='checkbox')['checked'] = ''
        user.press('Save in draft')
        user.press('Add a backend server')
        values = {
            'Name': 'slots-1',
            'Address': 'here:80',
            'Slots': '0',
            'Connections': 'many',
            'Checks grants': 'false',
            'State': 'out',
        }
        for label, value in values.items():
            user.fill(label, value)
        assert user.press('Save in draft') == 422
        assert 'IP:PORT' in user.read_fault('Address')
        assert 'a whole number from 1' in user.read_fault('Slots')
        assert 'a whole number from 1' in user.read_fault('Connections')
        assert user.page.find(id='connections')['value'] == 'many'
        for label, value in {'Address': '[::1]:80', 'Slots': '4', 'Connections': '5'}.items():
            user.fill(label, value)
        assert user.press('Save in draft') == 200
        assert daemon.document().version == 0
        user.press('Review the changes')
        assert 'backend server slots-1: added' in user.page.get_text()
        assert user.press('Apply') == 200
        assert user.page.h1.string == 'Accepted as version 1'
    document = read_document(daemon)
    assert [one.name for one in document.services] == ['slots']
    assert document.services[0].data_centres == ('north',)
    server = document.backend_servers[0]
    assert (server.address, server.slots, server.connections) == ('[::1]:80', 4, 5)
    assert (server.checks_grants, server.state) == (False, State.OUT)


def test_entries_can_be_edited_and_removed(user: User, daemon: FakeDaemon) -> None:
    user.open('/document')
    user.press('Edit backend server slots-2')
    user.fill('Slots', '8')
    user.press('Save in draft')
    user.press('Remove data centre north')
    assert user.press('Review the changes') == 422
    assert 'must be corrected' not in user.page.get_text()
    assert '"north" is not a data centre' in user.page.find(role='alert').get_text()
    user.open('/document')
    user.press('Edit backend server slots-2')
    user.fill('Slots', '8')
    user.press('Save in draft')
    user.press('Remove backend server slots-1')
    user.press('Review the changes')
    changes = [item.string for item in user.page.find_all('li')]
    assert changes == [
        'backend server slots-1: removed',
        'backend server slots-2: slots 4 -> 8',
    ]
    user.press('Apply')
    assert [one.slots for one in read_document(daemon).backend_servers] == [8]


def test_document_can_be_edited_as_text(user: User, daemon: FakeDaemon) -> None:
    user.open('/document')
    user.press('Edit as text')
    user.fill('Document in TOML', EXAMPLE.replace('kind = "lookup"', 'kind = "x"'))
    assert user.press('Save in draft') == 422
    assert 'services[1].kind (line 10)' in user.page.find(role='alert').get_text()
    user.fill('Document in TOML', EXAMPLE.replace('kind = "lookup"', 'kind = "booking"'))
    user.press('Save in draft')
    user.press('Review the changes')
    user.press('Apply')
    assert read_document(daemon).services[0].kind == 'booking'


def test_outdated_draft_is_not_applied(user: User, daemon: FakeDaemon) -> None:
    user.open('/document')
    daemon.set_data_centre('north', State.OUT, False)
    user.press('Remove backend server slots-1')
    user.press('Review the changes')
    assert 'Version 2 is newer than this draft' in user.page.find(role='alert').get_text()
    assert user.page.find('button', string='Apply') is None
    assert daemon.document().version == 2


def test_data_centre_and_server_are_taken_out_and_back(user: User, daemon: FakeDaemon) -> None:
    for link, state in (('Take out north', 'out'), ('Bring back north', 'in')):
        user.open('/')
        user.browser.follow_link(user.page.find('a', string=link))
        user.press('Apply')
        assert read_document(daemon).data_centres[0].state == state
    for link, state in (('Drain slots-1', 'out'), ('Restore slots-1', 'in')):
        user.open('/')
        user.browser.follow_link(user.page.find('a', string=link))
        user.press('Apply')
        assert read_document(daemon).backend_servers[0].state == state


def test_dangerous_change_requires_confirmation(user: User, daemon: FakeDaemon) -> None:
    daemon.set_data_centre('north', State.OUT, False)
    user.open(REVIEW)
    assert 'last data centre would be out' in user.page.find(role='alert').get_text()
    assert user.press('Apply') == 428
    user.open(REVIEW)
    user.page.find(id='force')['checked'] = ''
    assert user.press('Apply') == 200
    assert read_document(daemon).data_centres[1].state is State.OUT


def test_owner_and_refusals_can_be_found(user: User) -> None:
    user.open('/owners')
    user.fill('Service', 'slots')
    user.fill('Key', '<i>')
    user.fill('Time of ownership', 'noon')
    user.press('Show owner')
    assert 'row 5 is assigned' in user.page.get_text()
    assert 'must be a time in UTC' in user.read_fault('Time of ownership')
    for time, expected in (
        ('2026-01-01T00:16:40.000Z+1', 'slots-2 was the owner'),
        BEFORE_EVENTS,
    ):
        user.fill('Time of ownership', time)
        user.press('Show owner')
        assert expected in user.page.get_text()
    user.open('/refusals')
    user.fill('Request id, service, key or other text', 'r-1')
    user.press('Show')
    assert 'request refused' in user.page.get_text()
    assert user.page.find('b') is None


def send_raw(address: str, method: str, path: str, **headers: str) -> http.client.HTTPResponse:
    connection = http.client.HTTPConnection(address)
    connection.request(method, path, b'csrf=x', headers)
    return connection.getresponse()


@pytest.mark.parametrize(
    ('path', 'headers'),
    [
        ('/change', {}),
        ('/document', {'Cookie': 'coltsfootstair-form=x'}),
        ('/document/apply', {'Cookie': 'coltsfootstair-form=x', 'Origin': 'http://evil'}),
        ('/api/document', {}),
        ('/api/data-centres?name=north&state=out', {}),
    ],
)
def test_forms_of_other_sites_are_refused(
    path: str, headers: dict[str, str], daemon: FakeDaemon
) -> None:
    with serve_daemon(daemon) as address:
        assert send_raw(address, 'POST', path, **headers).status == 403
    assert daemon.document().version == 1


def test_valid_token_from_another_site_is_refused(user: User, daemon: FakeDaemon) -> None:
    user.open(REVIEW)
    user.browser.session.headers['Origin'] = 'http://127.0.0.1:1'
    assert user.press('Apply') == 403
    assert daemon.document().version == 1


@pytest.mark.parametrize(
    ('method', 'path', 'status'),
    [
        ('GET', '/-/ready', 200),
        ('GET', '/metrics', 200),
        ('HEAD', '/', 200),
        ('PUT', '/', 405),
        ('GET', '/api/nothing', 404),
        ('GET', '/change?entry=x', 400),
        ('GET', '/change?entry=data-centre&state=out&name=%3Cb%3E', 404),
        ('GET', '/style.css', 200),
    ],
)
def test_status_and_security_headers(
    method: str, path: str, status: int, daemon: FakeDaemon
) -> None:
    with serve_daemon(daemon) as address:
        response = send_raw(address, method, path)
        body = response.read()
    assert response.status == status
    assert response.getheader('Cache-Control') == 'no-store'
    assert "default-src 'none'" in str(response.getheader('Content-Security-Policy'))
    assert b'<b>' not in body


def test_daemon_that_is_not_ready_fails_the_readiness_probe(daemon: FakeDaemon) -> None:
    daemon.serves_callers = False
    with serve_daemon(daemon) as address:
        assert send_raw(address, 'GET', '/-/ready').status == 503
