"""Checks histories of concurrent runs of figwalk against real processes on loopback."""
