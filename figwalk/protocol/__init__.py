"""Protocol layer: messages between figwalk processes, log records and model request bodies."""
