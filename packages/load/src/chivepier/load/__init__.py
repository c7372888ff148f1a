"""The load tool: seeded arrivals, every answer verified."""

from chivepier.load.answercheck import AnswerCheck
from chivepier.load.arrival import Arrival
from chivepier.load.outcome import Outcome
from chivepier.load.plan import plan_arrivals
from chivepier.load.plot import plot_report
from chivepier.load.report import Report
from chivepier.load.run import run_plan
from chivepier.load.teamload import TeamLoad

__all__ = [
    "AnswerCheck",
    "Arrival",
    "Outcome",
    "Report",
    "TeamLoad",
    "plan_arrivals",
    "plot_report",
    "run_plan",
]
