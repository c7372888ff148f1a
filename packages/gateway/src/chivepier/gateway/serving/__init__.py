"""Request handling, from a caller's request to the relayed answer."""

from chivepier.gateway.serving.answerfacts import AnswerFacts
from chivepier.gateway.serving.bodyallocation import BodyAllocation
from chivepier.gateway.serving.bodymemory import BodyMemory
from chivepier.gateway.serving.callerport import CallerPort
from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.serving.contact import Contact
from chivepier.gateway.serving.dispatcher import Dispatcher
from chivepier.gateway.serving.errand import Errand
from chivepier.gateway.serving.errors import AnswerCutError
from chivepier.gateway.serving.errors import LostError
from chivepier.gateway.serving.errors import NotPermittedError
from chivepier.gateway.serving.errors import NotSentError
from chivepier.gateway.serving.guard import Guard
from chivepier.gateway.serving.moveoutcome import MoveOutcome
from chivepier.gateway.serving.mover import Mover
from chivepier.gateway.serving.moveresult import MoveResult
from chivepier.gateway.serving.origin import Origin
from chivepier.gateway.serving.planner import Planner
from chivepier.gateway.serving.prompt import Prompt
from chivepier.gateway.serving.remarks import Remarks
from chivepier.gateway.serving.requesthandler import RequestHandler
from chivepier.gateway.serving.retryafterscheduler import RetryAfterScheduler
from chivepier.gateway.serving.retrybudget import RetryBudget
from chivepier.gateway.serving.sendgate import SendGate
from chivepier.gateway.serving.sendorder import SendOrder
from chivepier.gateway.serving.servingstate import ServingState
from chivepier.gateway.serving.targetanswer import TargetAnswer
from chivepier.gateway.serving.targetcalls import TargetCalls
from chivepier.gateway.serving.targetport import TargetPort

__all__ = [
    "AnswerCutError",
    "AnswerFacts",
    "BodyMemory",
    "BodyAllocation",
    "CallerPort",
    "CallerRequest",
    "Contact",
    "Errand",
    "Guard",
    "LostError",
    "MoveResult",
    "MoveOutcome",
    "Planner",
    "Mover",
    "Dispatcher",
    "NotPermittedError",
    "NotSentError",
    "Origin",
    "Prompt",
    "Remarks",
    "RetryBudget",
    "RetryAfterScheduler",
    "SendGate",
    "SendOrder",
    "RequestHandler",
    "ServingState",
    "TargetAnswer",
    "TargetCalls",
    "TargetPort",
]
