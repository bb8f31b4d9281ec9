"""Tests of the demo's plan."""

from __future__ import annotations

from coltsfootstair.demo import document_of
from coltsfootstair.demo._scenario import PLAN
from coltsfootstair.document import parse, render


def test_the_plan_makes_a_document_without_fault() -> None:
    addresses = {each.name: f'127.0.0.1:{n}' for n, each in enumerate(PLAN.servers, 1)}
    document = document_of(PLAN, addresses)
    assert parse(render(document), 'plan') == document
    south = PLAN.server_names('south')
    assert {s.name for s in document.backend_servers if s.data_centre == 'south'} == south
