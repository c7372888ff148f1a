"""Entries that serve callers, and the voters that keep their intent."""
