"""A serving system for a fixed fleet of model backend servers."""

__version__ = "0.1.0"
