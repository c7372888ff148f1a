"""The signature that a target adds to what it answers."""

SIGNATURE = "X-Chivepier-Server-Stamp"


def sign(instance: str) -> dict[str, str]:
    """Return the headers that sign an answer.

    :param instance: name of the target's instance
    """
    return {SIGNATURE: f"{instance}.1"}
