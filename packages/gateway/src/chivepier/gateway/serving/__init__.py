"""Request handling, from a caller's request to the relayed answer."""

from chivepier.gateway.serving.answerfacts import AnswerFacts
from chivepier.gateway.serving.answermemory import AnswerMemory
from chivepier.gateway.serving.answerstatus import FINAL_STATUSES
from chivepier.gateway.serving.answerstatus import is_success
from chivepier.gateway.serving.bodyallocation import BodyAllocation
from chivepier.gateway.serving.bodymemory import BodyMemory
from chivepier.gateway.serving.bodymemory import SMALL_BODY_BYTES
from chivepier.gateway.serving.bodytype import declares_events
from chivepier.gateway.serving.bodytype import is_coded
from chivepier.gateway.serving.bodytype import may_be_events
from chivepier.gateway.serving.brittleadmission import BrittleAdmission
from chivepier.gateway.serving.callerconnection import CallerConnection
from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.serving.callpurpose import CallPurpose
from chivepier.gateway.serving.connectionuse import ConnectionUse
from chivepier.gateway.serving.continuationjudge import CONTINUED_STATUS
from chivepier.gateway.serving.crashguard import CrashGuard
from chivepier.gateway.serving.detour import Detour
from chivepier.gateway.serving.dispatcher import Dispatcher
from chivepier.gateway.serving.doubt import Doubt
from chivepier.gateway.serving.errors import BrokenAnswerError
from chivepier.gateway.serving.errors import ConnectionLostError
from chivepier.gateway.serving.errors import NotPermittedError
from chivepier.gateway.serving.errors import NotSentError
from chivepier.gateway.serving.errors import UnansweredError
from chivepier.gateway.serving.errors import UnreachableError
from chivepier.gateway.serving.exchange import Exchange
from chivepier.gateway.serving.headerrecorder import HeaderRecorder
from chivepier.gateway.serving.identification import Identification
from chivepier.gateway.serving.identity import Identity
from chivepier.gateway.serving.kvorigin import KvOrigin
from chivepier.gateway.serving.moveoutcome import MoveOutcome
from chivepier.gateway.serving.mover import Mover
from chivepier.gateway.serving.moveresult import MoveResult
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.planner import Planner
from chivepier.gateway.serving.prompt import Prompt
from chivepier.gateway.serving.requesthandler import RequestHandler
from chivepier.gateway.serving.retryafterscheduler import RetryAfterScheduler
from chivepier.gateway.serving.retrybudget import RetryBudget
from chivepier.gateway.serving.sendgate import SendGate
from chivepier.gateway.serving.sendoptions import SendOptions
from chivepier.gateway.serving.servingstate import ServingState
from chivepier.gateway.serving.shedding import Shedding
from chivepier.gateway.serving.shortage import Shortage
from chivepier.gateway.serving.targetanswer import TargetAnswer
from chivepier.gateway.serving.targetcalls import TargetCalls
from chivepier.gateway.serving.targetclient import TargetClient

__all__ = [
    "CONTINUED_STATUS",
    "AnswerFacts",
    "AnswerMemory",
    "BodyAllocation",
    "BodyMemory",
    "BrittleAdmission",
    "BrokenAnswerError",
    "CallPurpose",
    "CallerConnection",
    "CallerRequest",
    "ConnectionLostError",
    "ConnectionUse",
    "CrashGuard",
    "Detour",
    "Dispatcher",
    "Doubt",
    "Exchange",
    "FINAL_STATUSES",
    "HeaderRecorder",
    "Identification",
    "Identity",
    "KvOrigin",
    "MoveOutcome",
    "MoveResult",
    "Mover",
    "NotPermittedError",
    "NotSentError",
    "Plan",
    "Planner",
    "Prompt",
    "RequestHandler",
    "RetryAfterScheduler",
    "RetryBudget",
    "SendGate",
    "SendOptions",
    "ServingState",
    "SMALL_BODY_BYTES",
    "Shedding",
    "Shortage",
    "TargetAnswer",
    "TargetCalls",
    "TargetClient",
    "UnansweredError",
    "UnreachableError",
    "declares_events",
    "is_coded",
    "is_success",
    "may_be_events",
]
