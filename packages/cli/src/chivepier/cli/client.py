"""HTTP calls to any instance."""

import json
import urllib.error
import urllib.request

from chivepier.cli.commanderror import CommandError
from chivepier.types import ErrorKind

CALL_SECONDS = 75.0
PROBE_SECONDS = 2.0


class Client:
    """Calls the operators' interface; tries each address in turn.

    :param addresses: ``ip:port`` of entry instances
    :param key: the operator key
    """

    def __init__(self, addresses: tuple[str, ...], key: str):
        self._addresses = addresses
        self.key = key

    def call(self, method: str, path: str, body: object = None) -> dict:
        """Make one call.

        :param method: the HTTP method
        :param path: path and query
        :param body: sent as JSON
        :returns: the parsed answer
        :raises CommandError: with the answer's error kind
        """
        problem = None
        for address in self._addresses:
            try:
                self._probe(address)
                return self._send(address, method, path, body)
            except urllib.error.HTTPError as error:
                raise _translate(error) from None
            except OSError as error:
                problem = CommandError(
                    ErrorKind.NOT_READY, f"{address}: {error}"
                )
        raise problem

    def _probe(self, address: str) -> None:
        # a repair may take a minute to be answered; an instance that is
        # frozen or cut off must not be waited for that long
        url = f"http://{address}/healthz"
        with urllib.request.urlopen(url, timeout=PROBE_SECONDS) as answer:
            answer.read()

    def _send(
        self, address: str, method: str, path: str, body: object
    ) -> dict:
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://{address}{path}",
            data=data,
            method=method,
            headers={
                "Authorization": f"Bearer {self.key}",
                "Content-Type": "application/json",
            },
        )
        with urllib.request.urlopen(request, timeout=CALL_SECONDS) as answer:
            return json.load(answer)


def _translate(error: urllib.error.HTTPError) -> CommandError:
    try:
        body = json.load(error)["error"]
        return CommandError(ErrorKind(body["kind"]), body["message"])
    except (ValueError, KeyError, TypeError):
        return CommandError(ErrorKind.INTERNAL, f"HTTP {error.code}")
