"""Tests of what the demo and the measurements start."""

from __future__ import annotations

import pytest
from bench._plans import DEPLOYMENTS

from coltsfootstair.demo import Plan, build_document
from coltsfootstair.demo._scenario import PLAN
from coltsfootstair.document import parse, render

PLANS = [PLAN, *(each.plan for each in DEPLOYMENTS.values())]


@pytest.mark.parametrize('plan', PLANS)
def test_the_plan_makes_a_document_without_fault(plan: Plan) -> None:
    addresses = {each.name: f'127.0.0.1:{n}' for n, each in enumerate(plan.servers, 1)}
    document = build_document(plan, addresses)
    assert parse(render(document), 'plan') == document
    first = document.data_centres[0].name
    there = {s.name for s in document.backend_servers if s.data_centre == first}
    assert there == plan.find_server_names(first)


def test_the_deployments_have_the_sizes_of_today() -> None:
    sizes = {
        name: (len(each.plan.daemons), [
            sum(s.service == service.name for s in each.plan.servers)
            for service in each.plan.services
        ])
        for name, each in DEPLOYMENTS.items()
    }  # fmt: skip
    assert sizes == {'lakeshore': (9, [17, 8, 8]), 'tesfaye': (8, [14, 8, 6])}
