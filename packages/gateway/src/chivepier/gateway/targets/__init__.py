"""Known targets, their health and load, and the choice among them."""

from chivepier.gateway.targets.classusage import ClassUsage
from chivepier.gateway.targets.decodeestimator import DecodeEstimator
from chivepier.gateway.targets.demand import Demand
from chivepier.gateway.targets.demand import NEAR_TERM_OUTPUT_TOKENS
from chivepier.gateway.targets.eligibility import ANY_TARGET
from chivepier.gateway.targets.eligibility import Eligibility
from chivepier.gateway.targets.fit import Fit
from chivepier.gateway.targets.holdestimator import HoldEstimator
from chivepier.gateway.targets.invalidreport import InvalidReport
from chivepier.gateway.targets.leavingtargets import LeavingTargets
from chivepier.gateway.targets.liveness import Liveness
from chivepier.gateway.targets.load import Load
from chivepier.gateway.targets.loadbalancer import LoadBalancer
from chivepier.gateway.targets.loadtracker import LoadTracker
from chivepier.gateway.targets.loadtracker import REPORT_EXPIRY_SECONDS
from chivepier.gateway.targets.paceadvisor import PaceAdvisor
from chivepier.gateway.targets.paceforecast import PaceForecast
from chivepier.gateway.targets.pacesurvey import PaceSurvey
from chivepier.gateway.targets.pastversion import PastVersion
from chivepier.gateway.targets.placereport import PlaceReport
from chivepier.gateway.targets.prefillestimator import PrefillEstimator
from chivepier.gateway.targets.queuetracker import QueueTracker
from chivepier.gateway.targets.reading import Reading
from chivepier.gateway.targets.reportboard import ReportBoard
from chivepier.gateway.targets.reportedload import ReportedLoad
from chivepier.gateway.targets.reportoutcome import ReportOutcome
from chivepier.gateway.targets.reportrecords import pack_report
from chivepier.gateway.targets.reportrecords import unpack_report
from chivepier.gateway.targets.requestcost import RequestCost
from chivepier.gateway.targets.target import Target
from chivepier.gateway.targets.targethealth import TargetHealth
from chivepier.gateway.targets.targetstate import TargetState
from chivepier.gateway.targets.targettable import TargetTable
from chivepier.gateway.targets.workestimator import WorkEstimator

__all__ = [
    "ClassUsage",
    "DecodeEstimator",
    "Demand",
    "ANY_TARGET",
    "Eligibility",
    "Fit",
    "HoldEstimator",
    "InvalidReport",
    "LeavingTargets",
    "Liveness",
    "Load",
    "LoadBalancer",
    "LoadTracker",
    "NEAR_TERM_OUTPUT_TOKENS",
    "PaceAdvisor",
    "PaceForecast",
    "PaceSurvey",
    "PastVersion",
    "PlaceReport",
    "PrefillEstimator",
    "QueueTracker",
    "REPORT_EXPIRY_SECONDS",
    "Reading",
    "ReportBoard",
    "ReportOutcome",
    "ReportedLoad",
    "RequestCost",
    "Target",
    "TargetHealth",
    "TargetState",
    "TargetTable",
    "pack_report",
    "unpack_report",
    "WorkEstimator",
]
