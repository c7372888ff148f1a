"""Serving callers: from a request to a whole answer of one target."""

from chivepier.gateway.serving.answerfacts import AnswerFacts
from chivepier.gateway.serving.bodyroom import BodyRoom
from chivepier.gateway.serving.bodyshare import BodyShare
from chivepier.gateway.serving.callerconnection import CallerConnection
from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.serving.callpurpose import CallPurpose
from chivepier.gateway.serving.crashguard import CrashGuard
from chivepier.gateway.serving.dispatcher import Dispatcher
from chivepier.gateway.serving.errors import BrokenAnswerError
from chivepier.gateway.serving.errors import ConnectionLostError
from chivepier.gateway.serving.errors import NotPermittedError
from chivepier.gateway.serving.errors import NotSentError
from chivepier.gateway.serving.exchange import Exchange
from chivepier.gateway.serving.headerrecorder import HeaderRecorder
from chivepier.gateway.serving.kvorigin import KvOrigin
from chivepier.gateway.serving.moved import Moved
from chivepier.gateway.serving.moveoutcome import MoveOutcome
from chivepier.gateway.serving.mover import Mover
from chivepier.gateway.serving.planner import Planner
from chivepier.gateway.serving.prompt import Prompt
from chivepier.gateway.serving.retrybudget import RetryBudget
from chivepier.gateway.serving.returns import Returns
from chivepier.gateway.serving.sendgate import SendGate
from chivepier.gateway.serving.sendoptions import SendOptions
from chivepier.gateway.serving.serving import Serving
from chivepier.gateway.serving.servingstate import ServingState
from chivepier.gateway.serving.targetanswer import TargetAnswer
from chivepier.gateway.serving.targetcalls import TargetCalls
from chivepier.gateway.serving.targetclient import TargetClient

__all__ = [
    "BrokenAnswerError",
    "AnswerFacts",
    "BodyRoom",
    "BodyShare",
    "CallerConnection",
    "CallerRequest",
    "Exchange",
    "CallPurpose",
    "CrashGuard",
    "ConnectionLostError",
    "Moved",
    "MoveOutcome",
    "Planner",
    "Mover",
    "Dispatcher",
    "NotPermittedError",
    "NotSentError",
    "KvOrigin",
    "Prompt",
    "HeaderRecorder",
    "RetryBudget",
    "Returns",
    "SendGate",
    "SendOptions",
    "Serving",
    "ServingState",
    "TargetAnswer",
    "TargetCalls",
    "TargetClient",
]
