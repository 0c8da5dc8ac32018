"""Measurements on one machine with the stand-ins as real processes."""
