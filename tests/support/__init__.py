"""Helpers shared by tests."""
