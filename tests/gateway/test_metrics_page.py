"""Tests of the page of metrics of a daemon."""

from __future__ import annotations

from coltsfootstair.metrics import GatewayMetrics


def test_a_page_that_is_cut_off_still_has_the_figures_of_the_daemon() -> None:
    """Guards against a page that begins with the figures of the interpreter."""
    metrics = GatewayMetrics('d1')
    metrics.add_gauge('coltsfootstair.state', 'State', lambda: {'ready': 1.0}, 'what')
    page = metrics.render_page()
    metrics.close()
    assert 0 < page.index(b'coltsfootstair_state') < page.index(b'python_info')
