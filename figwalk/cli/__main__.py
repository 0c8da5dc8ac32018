"""Entry point of `python -m figwalk.cli`."""

from figwalk.cli.main import main

main()
