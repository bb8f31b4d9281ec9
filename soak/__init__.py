"""Fault soak: real daemons run against stand-ins while faults drawn from a seed occur."""
