"""Protocol layer: messages between figwalk processes, log records, bodies of model calls."""
