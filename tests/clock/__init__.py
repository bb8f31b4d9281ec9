"""Tests of the clocks."""
