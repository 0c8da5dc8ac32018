"""Duties that one process carries out for all: usage reports and orders to engines."""
