"""Minimal HTTP server for the readiness, metrics and state pages."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import enum
import http
from typing import cast
import urllib.parse

import httptools

from chivedoor.edge import const


class ContentType(enum.Enum):
    """Content types of response bodies."""

    TEXT = "text/plain; charset=utf-8"
    METRICS = "text/plain; version=0.0.4; charset=utf-8"
    JSON = "application/json"


class Response:
    """An HTTP response.

    Attributes:
        status: The HTTP status.
        content_type: Content type of the body.
        body: The response body.
    """

    __slots__ = ("body", "content_type", "status")

    def __init__(
        self,
        *,
        status: http.HTTPStatus,
        content_type: ContentType = ContentType.TEXT,
        body: bytes = b"",
    ) -> None:
        """Creates a response."""
        self.status = status
        self.content_type = content_type
        self.body = body


# Returns the response for a path, or None if the path does not exist.
Handler = Callable[[str], Response | None]

# Returns the response for the parameters of a query; of a repeated parameter,
# the first value counts.
QueryHandler = Callable[[Mapping[str, str]], Response]


class WebServer:
    """Serves GET requests over persistent connections."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handle: Handler,
        query_handlers: Mapping[str, QueryHandler] | None = None,
    ) -> None:
        """Creates a server; `async_open` starts it.

        Args:
            host: The address to listen on.
            port: The port to listen on.
            handle: Returns the responses of pages without parameters.
            query_handlers: Handlers of pages with parameters, by path.
        """
        self._query_handlers = query_handlers or {}
        self._host = host
        self._port = port
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    @property
    def port(self) -> int:
        """The port that the server listens on, or its configured port."""
        if self._server is None:
            return self._port
        return self._server.sockets[0].getsockname()[1]

    async def async_open(self) -> None:
        """Starts to listen.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(
                handle=self._handle,
                query_handlers=self._query_handlers,
                connections=self._connections,
            ),
            self._host,
            self._port,
        )

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in tuple(self._connections):
            connection.close()


class _Connection(asyncio.Protocol):
    def __init__(
        self,
        *,
        handle: Handler,
        query_handlers: Mapping[str, QueryHandler],
        connections: set["_Connection"],
    ) -> None:
        self._query_handlers = query_handlers
        self._handle = handle
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._request_target = b""
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if len(self._connections) >= const.HTTP_MAX_CONNECTIONS:
            self.close()
            return
        self._connections.add(self)
        self._restart_idle_timer()

    def connection_lost(self, error: Exception | None) -> None:
        self._connections.discard(self)
        self._transport = None
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def on_message_begin(self) -> None:
        self._request_target = b""

    def on_url(self, url: bytes) -> None:
        self._request_target += url
        if len(self._request_target) > const.HTTP_MAX_TARGET_BYTES:
            self.close()

    def on_message_complete(self) -> None:
        if self._parser.get_method() == b"GET":
            response = self._make_response()
        else:
            response = Response(status=http.HTTPStatus.METHOD_NOT_ALLOWED)
        self._send(response)
        if self._parser.should_keep_alive():
            self._restart_idle_timer()
        else:
            self.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _make_response(self) -> Response:
        path, _, query = self._request_target.decode("latin-1").partition("?")
        handle_query = self._query_handlers.get(path)
        if handle_query is not None:
            parameters = urllib.parse.parse_qs(query)
            return handle_query(
                {name: values[0] for name, values in parameters.items()}
            )
        return self._handle(path) or Response(status=http.HTTPStatus.NOT_FOUND)

    def _send(self, response: Response) -> None:
        if self._transport is None:
            return
        status = response.status
        head = (
            f"HTTP/1.1 {status.value} {status.phrase}\r\n"
            f"Content-Type: {response.content_type.value}\r\n"
            f"Content-Length: {len(response.body)}\r\n\r\n"
        )
        self._transport.write(head.encode() + response.body)

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(
            const.HTTP_IDLE_TIMEOUT_S, self.close
        )
