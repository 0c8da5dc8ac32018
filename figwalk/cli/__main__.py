"""Runs the command line by `python -m figwalk.cli`."""

from figwalk.cli.main import main

main()
