"""Counts the test reports and prints the closing line."""

import pathlib
import sys
import xml.etree.ElementTree as ElementTree

SHOWN_LINES = 60
UNIT_REPORT = "unit.xml"
CROWDS_REPORT = "crowds.xml"
KNOWN_RED = pathlib.Path("KNOWN-RED.txt")


def load_known_red() -> set[str]:
    """Read the names of tests that may fail, one a line before a comma."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split(",")[0].strip() for line in lines if line.strip()}


def name_of(case: ElementTree.Element) -> str:
    """Return a test's name as KNOWN-RED.txt writes it."""
    return f"{case.get('classname')}::{case.get('name')}"


def show(case: ElementTree.Element) -> None:
    """Print the end of what a failed test said."""
    for part in case:
        lines = (part.text or "").splitlines()
        print("\n".join(lines[-SHOWN_LINES:]))


def main(folder: str) -> int:
    """Count what the reports in a folder say.

    :param folder: where the JUnit files are
    :returns: the exit code
    """
    passed = failed = 0
    known = load_known_red()
    reports = sorted(pathlib.Path(folder).rglob("*.xml"))
    names = {path.name for path in reports}
    needed = {UNIT_REPORT}
    if len(names) > 1:
        # of a whole run, not of some tests only
        needed.add(CROWDS_REPORT)
    for name in sorted(needed - names):
        # it did not start, or did not come to its end
        failed += 1
        print(f"failed: pytest wrote no {name}")
    for report in reports:
        for case in ElementTree.parse(report).getroot().iter("testcase"):
            broken = case.find("failure") is not None
            broken = broken or case.find("error") is not None
            if case.find("skipped") is not None:
                print(f"skipped: {name_of(case)}")
            elif not broken:
                passed += 1
            elif name_of(case) in known:
                print(f"known red: {name_of(case)}")
            else:
                failed += 1
                show(case)
                print(f"failed: {name_of(case)}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
