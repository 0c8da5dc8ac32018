"""State models of the core protocols, checked exhaustively by `make model`.

They cover the controller lease and its orders, publishing configuration, and keyed calls.
"""
