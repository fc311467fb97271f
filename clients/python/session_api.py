"""A typed client of the session API (session.v2.jsonrpc), written from its AsyncAPI description.

Requires the package websocket-client. `python session_api.py ADDRESS TITLE CLASS` opens a session, prints it and closes it.
"""

from __future__ import annotations

import json
import sys
from dataclasses import asdict, dataclass
from typing import Any, Optional

import websocket

SUBPROTOCOL = "session.v2.jsonrpc"


@dataclass(frozen=True)
class Open:
    """Parameters of session.open. Optional ones that are None are not sent; `klass` is sent as `class`."""

    key: str
    title: str
    klass: str
    tenant: Optional[str] = None
    viewer: Optional[str] = None
    top: Optional[int] = None
    give_up_ms: Optional[int] = None
    hint_ms: Optional[int] = None
    again: bool = False

    def params(self) -> dict[str, Any]:
        """The parameters under their names in the API."""
        fields = {name: value for name, value in asdict(self).items() if value is not None}
        fields["class"] = fields.pop("klass")
        return fields


@dataclass(frozen=True)
class Opened:
    """Result of session.open and session.resume."""

    session: str
    media: str
    rung: int
    hall: Optional[str] = None


class ApiError(Exception):
    """A JSON-RPC error that a call was answered with, such as refused (-32001) or failed (-32002)."""

    def __init__(self, code: int, message: str, data: Optional[dict[str, Any]] = None) -> None:
        super().__init__(f"{code} {message} {data or ''}".strip())
        self.code, self.data = code, data or {}

    @property
    def reason(self) -> Optional[str]:
        """Why the call was refused or failed; None if the error does not say."""
        return self.data.get("reason")

    @property
    def retry_after_ms(self) -> Optional[int]:
        """Milliseconds after which a retry is worthwhile; None if the error does not say."""
        return self.data.get("retry_after_ms")


class Client:
    """A connection to a front. Notifications that arrive while a call waits for its answer are kept in `notifications`."""

    def __init__(self, address: str, timeout: float = 10.0) -> None:
        self._socket = websocket.create_connection(
            f"ws://{address}/session", subprotocols=[SUBPROTOCOL], timeout=timeout
        )
        self._calls = 0
        self.notifications: list[dict[str, Any]] = []

    def call(self, method: str, params: dict[str, Any]) -> Any:
        """Calls a method and waits for its answer. Raises ApiError if it is answered with an error."""
        self._calls += 1
        request = {"jsonrpc": "2.0", "id": self._calls, "method": method, "params": params}
        self._socket.send(json.dumps(request))
        while True:
            message = json.loads(self._socket.recv())
            if "method" in message:
                self.notifications.append(message)
            elif message["id"] == self._calls:
                if "error" in message:
                    raise ApiError(**message["error"])
                return message["result"]

    def open(self, request: Open) -> Opened:
        """Requests a session, once for each key."""
        return Opened(**self.call("session.open", request.params()))

    def resume(self, key: str) -> Opened:
        """Resumes the session with this key after its connection was lost."""
        return Opened(**self.call("session.resume", {"key": key}))

    def close(self, session: str) -> None:
        """Ends a session of this connection."""
        self.call("session.close", {"session": session})


def main() -> int:
    address, title, klass = sys.argv[1:4]
    client = Client(address)
    try:
        opened = client.open(Open(key="python-client-1", title=title, klass=klass))
    except ApiError as error:
        print(f"not opened: {error}")
        return 1
    print(opened)
    client.close(opened.session)
    return 0


if __name__ == "__main__":
    sys.exit(main())
