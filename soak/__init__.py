"""Fault soak: the real daemons against stand-ins, with faults drawn from a seed."""
