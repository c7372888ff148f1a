"""What a run of the load tool measured."""

import json

from chivepier.load.outcome import Outcome
from chivepier.load.teamreport import percentiles
from chivepier.load.teamreport import TeamReport


class Report:
    """Figures by team, and all broken answers."""

    def __init__(self) -> None:
        self.teams: dict[str, TeamReport] = {}
        self.problems: list[str] = []

    def add(self, outcome: Outcome) -> None:
        """Count one outcome."""
        team = self.teams.setdefault(outcome.team, TeamReport())
        team.add(outcome)
        if outcome.kind == "broken":
            self.problems += outcome.problems

    def render_json(self) -> str:
        """Return the report as JSON."""
        teams = {n: t.summarise() for n, t in sorted(self.teams.items())}
        plain = {"teams": teams, "problems": self.problems}
        return json.dumps(plain, indent=2)

    def render_table(self) -> str:
        """Return the report as a table."""
        head = (
            f"{'team':<14}{'requests':>9}{'ok':>6}{'tokens':>8}"
            f"{'resumes':>8}{'stall s':>9}{'first p99':>11}"
            f"{'itl p50':>9}{'itl p99':>9}"
        )
        rows = [head]
        for name, team in sorted(self.teams.items()):
            first = percentiles(team.first_token)["p99"]
            gaps = percentiles(team.gap)
            rows.append(
                f"{name:<14}{team.requests:>9}{team.kinds.get('ok', 0):>6}"
                f"{team.tokens:>8}{team.resumes:>8}{team.stalled:>9.2f}"
                f"{first:>9.1f}ms{gaps['p50']:>7.1f}ms{gaps['p99']:>7.1f}ms"
            )
            others = {k: n for k, n in team.kinds.items() if k != "ok"}
            if others:
                rows.append(f"  not ok: {others}")
        rows.append(f"broken answers: {len(self.problems)}")
        return "\n".join(rows)
