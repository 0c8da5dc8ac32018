"""State layer: settings, configuration, and folds over log records."""
