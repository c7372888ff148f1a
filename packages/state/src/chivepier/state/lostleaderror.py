"""The error of losing the lead while a command was under way."""


class LostLeadError(Exception):
    """The command may be committed or not; resend it with its id."""
