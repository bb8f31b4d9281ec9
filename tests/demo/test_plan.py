"""Tests of the plans that the demo and the benchmarks start."""

from __future__ import annotations

import pytest
from bench._plans import DEPLOYMENTS

from coltsfootstair.demo import Plan, build_document
from coltsfootstair.demo._scenario import PLAN
from coltsfootstair.document import parse, render

PLANS = [PLAN, *(each.plan for each in DEPLOYMENTS.values())]


@pytest.mark.parametrize('plan', PLANS)
def test_the_document_of_a_plan_is_valid(plan: Plan) -> None:
    addresses = {each.name: f'127.0.0.1:{n}' for n, each in enumerate(plan.servers, 1)}
    document = build_document(plan, addresses)
    assert parse(render(document), 'plan') == document
    first = document.data_centres[0].name
    servers_in_first = {s.name for s in document.backend_servers if s.data_centre == first}
    assert servers_in_first == plan.find_server_names(first)


def test_the_deployments_have_the_sizes_that_the_requirements_name() -> None:
    sizes = {
        name: (len(each.plan.daemons), [
            sum(s.service == service.name for s in each.plan.servers)
            for service in each.plan.services
        ])
        for name, each in DEPLOYMENTS.items()
    }  # fmt: skip
    assert sizes == {'lakeshore': (9, [17, 8, 8]), 'tesfaye': (8, [14, 8, 6])}
