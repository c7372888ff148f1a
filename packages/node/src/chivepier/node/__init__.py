"""The chivepierd process."""
