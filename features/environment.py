"""One cluster of real processes per scenario, on loopback."""

import pathlib
import tempfile


def before_scenario(context, scenario):
    """Make an empty folder for the scenario's processes."""
    context.folder = tempfile.TemporaryDirectory()
    context.cluster = None


def after_scenario(context, scenario):
    """End the processes; show their logs when the scenario failed."""
    if context.cluster is not None:
        if scenario.status.name in ("failed", "error"):
            for log in sorted(pathlib.Path(context.folder.name).glob("*.log")):
                print(f"--- {log.name}\n{log.read_text()[-2000:]}")
        context.cluster.__exit__(None, None, None)
    context.folder.cleanup()
