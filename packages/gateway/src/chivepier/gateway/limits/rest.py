"""What an answer says of the time in which its target wants nothing."""

from chivepier.gateway.limits.askedrest import AskedRest
from chivepier.gateway.limits.norest import NoRest
from chivepier.gateway.limits.unreadrest import UnreadRest

Rest = NoRest | AskedRest | UnreadRest
