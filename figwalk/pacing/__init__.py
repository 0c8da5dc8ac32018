"""Speeds of backend servers, and the pace at which new and recovered ones get calls."""
