"""A router for backend servers that own keys exclusively."""

from __future__ import annotations

__all__ = ['__version__']

__version__ = '0.1.0'
