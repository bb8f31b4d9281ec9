"""Tests of the client of backend servers."""
