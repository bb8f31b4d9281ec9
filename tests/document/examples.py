"""An example document for tests."""

from __future__ import annotations

EXAMPLE = """\
[[data_centres]]
name = "north"

[[data_centres]]
name = "south"

[[services]]
name = "slots"
divided_by_key = true
kind = "lookup"
data_centres = ["north", "south"]

[[backend_servers]]
name = "slots-1"
service = "slots"
data_centre = "north"
address = "127.0.0.1:9001"
slots = 4
connections = 110
checks_grants = true

[[backend_servers]]
name = "slots-2"
service = "slots"
data_centre = "south"
address = "127.0.0.1:9002"
slots = 4
connections = 110
checks_grants = true
"""
