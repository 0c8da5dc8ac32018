"""State layer: settings, configuration, and state replayed from log records."""
