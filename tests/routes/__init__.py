"""Tests of routes and of what may be claimed from a configuration."""
