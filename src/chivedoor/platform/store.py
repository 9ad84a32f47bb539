"""HTTP client of a feed of the platform's store, with a single connection."""

import asyncio
import base64
import binascii
from collections.abc import Callable
from collections.abc import Mapping
import json
import socket
from typing import Any
from typing import NamedTuple
from typing import cast
import urllib.parse

import httptools

from chivedoor import ids
from chivedoor.feed import const as feed_const
from chivedoor.feed import exceptions
from chivedoor.feed import records
from chivedoor.feed import transfers
from chivedoor.platform import const

_HTTP_OK = 200
_HTTP_GONE = 410


class StoreClient:
    """Reads the keys of a feed and waits for changes.

    A failed call closes the connection and the next call opens a new one, so
    an unresponsive connection is never reused.

    Attributes:
        calls: Number of calls made, including failed ones.
        transfer_s: Time from the first to the last byte of the last response,
            in seconds.
    """

    def __init__(
        self,
        *,
        feed: records.Feed,
        host: str,
        port: int,
        observe_call: Callable[[float], None],
        clock: Callable[[], float],
        observe_transfer: transfers.Observer = transfers.ignore_transfer,
    ) -> None:
        """Creates a client; the first call opens the connection.

        Args:
            feed: The feed that is read.
            host: The store's address.
            port: The store's port.
            observe_call: Called with the duration of each call in seconds.
            clock: Returns the time in seconds.
            observe_transfer: Called with each response, complete or not.
        """
        self.calls = 0
        self.transfer_s = 0.0
        # Latest era of the store that a response named.
        self._era = ids.Era(0)
        self._prefix = const.FEED_PREFIXES[feed]
        self._observe_call = observe_call
        self._clock = clock
        self._observe_transfer = observe_transfer
        self._host = host
        self._port = port
        self._connection: _Connection | None = None

    async def async_read_page(self, after: str) -> records.Page:
        """Reads the page of keys after `after`, or the first page for "".

        Raises:
            FeedError: The store did not respond, refused the request or sent
                an invalid response.
        """
        query = {"prefix": self._prefix} | ({"after": after} if after else {})
        era, response = await self._async_get(
            "/v1/kv-range",
            query,
            timeout_s=feed_const.READ_TIMEOUT_S,
            max_bytes=const.MAX_BODY_BYTES,
        )
        return records.Page(
            records=self._decode_items(response, "items", era),
            revision=_get_revision(response, "store_revision", era),
            has_more=bool(response.get("has_more")),
        )

    async def async_wait(
        self, after: records.Revision, wait_s: float
    ) -> records.Batch:
        """Waits for changes with a long poll.

        Args:
            after: The last known revision.
            wait_s: How long the store may wait for a change, in seconds.

        Raises:
            HistoryLostError: The changes since `after` are no longer available,
                or the store was restored since then.
            ResponseTooLargeError: The changes are larger than a full read.
            FeedError: As for `async_read_page`.
        """
        query = {
            "prefix": self._prefix,
            "after": str(after.number),
            "wait_ms": str(round(wait_s * 1000)),
        }
        era, response = await self._async_get(
            "/v1/kv-watch",
            query,
            timeout_s=wait_s + feed_const.WATCH_TIMEOUT_MARGIN_S,
            max_bytes=feed_const.MAX_WATCH_BYTES,
        )
        # A restored store may have passed the number of `after` again. The
        # changes since then would lack those in between.
        if era != after.era:
            raise exceptions.HistoryLostError(f"store restored, era {era}")
        return records.Batch(
            records=self._decode_items(response, "events", era),
            revision=_get_revision(response, "store_revision", era),
            complete=False,
        )

    def close(self) -> None:
        """Closes the connection; a pending call fails."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _decode_items(
        self, response: Mapping[str, Any], name: str, era: ids.Era
    ) -> tuple[records.Record, ...]:
        items = response.get(name)
        if not isinstance(items, list):
            raise exceptions.MalformedAnswerError(name)
        decoded = (_decode_item(item, era) for item in items)
        return tuple(
            record for record in decoded if record.key.startswith(self._prefix)
        )

    async def _async_get(
        self,
        path: str,
        query: Mapping[str, str],
        *,
        timeout_s: float,
        max_bytes: int,
    ) -> tuple[ids.Era, Mapping[str, Any]]:
        """Sends a request and returns the era and the body of the response.

        Args:
            path: The path of the call.
            query: Its parameters.
            timeout_s: Time limit for the beginning of the response, in seconds.
            max_bytes: Limit for the body of the response.

        Raises:
            FeedError: As for the callers.
        """
        self.calls += 1
        sent_at = self._clock()
        connection: _Connection | None = None
        complete = False
        try:
            async with asyncio.timeout(timeout_s) as deadline:
                connection = await self._async_connect()
                response = await connection.async_get(
                    f"{path}?{urllib.parse.urlencode(query)}",
                    deadline=deadline,
                    max_bytes=max_bytes,
                )
            complete = True
        except (OSError, TimeoutError) as error:
            self.close()
            raise exceptions.SourceUnreachableError(
                f"{type(error).__name__}: {error}"
            ) from error
        except BaseException:
            self.close()
            raise
        finally:
            self._observe_call(self._clock() - sent_at)
            if connection is not None:
                self._report_transfer(connection, complete=complete)
        if response.status == _HTTP_GONE:
            raise exceptions.HistoryLostError(path)
        if response.status != _HTTP_OK:
            raise exceptions.SourceRefusedError(response.status)
        era = _parse_era(response.era)
        if era < self._era:
            raise exceptions.MalformedAnswerError(
                f"era {era} after era {self._era}"
            )
        self._era = era
        return era, _parse_response(response.body)

    def _report_transfer(
        self, connection: "_Connection", *, complete: bool
    ) -> None:
        if connection.first_byte_at is None:
            return
        self.transfer_s = self._clock() - connection.first_byte_at
        self._observe_transfer(
            transfers.Transfer(
                kind=transfers.TransferKind.RESPONSE,
                host=self._host,
                size_bytes=connection.received_bytes,
                duration_s=self.transfer_s,
                complete=complete,
            )
        )

    async def _async_connect(self) -> "_Connection":
        if self._connection is not None and self._connection.is_open:
            return self._connection
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(feed_const.CONNECT_TIMEOUT_S):
            _, self._connection = await loop.create_connection(
                lambda: _Connection(
                    host=f"{self._host}:{self._port}", clock=self._clock
                ),
                self._host,
                self._port,
                family=socket.AF_INET,
            )
        return self._connection


class _Response(NamedTuple):
    """Status, era header and body of a response."""

    status: int
    era: bytes | None
    body: bytes


class _Connection(asyncio.Protocol):
    """An HTTP/1.1 connection for one request at a time.

    Attributes:
        received_bytes: Number of bytes of the current response.
        first_byte_at: Time of its first byte, None before.
    """

    def __init__(self, *, host: str, clock: Callable[[], float]) -> None:
        self.received_bytes = 0
        self.first_byte_at: float | None = None
        self._host = host
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[_Response] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._era: bytes | None = None
        self._deadline: asyncio.Timeout | None = None
        # Time by the event loop at which a transfer is broken off.
        self._latest_end = 0.0
        self._max_bytes = 0
        self._body = bytearray()

    @property
    def is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    async def async_get(
        self,
        request_target: str,
        *,
        deadline: asyncio.Timeout,
        max_bytes: int,
    ) -> _Response:
        """Sends a GET request and returns the response.

        Args:
            request_target: Path and query.
            deadline: Time limit, which is extended while data arrives.
            max_bytes: Limit for the body.

        Raises:
            FeedError: The connection was lost or the response is malformed.
        """
        if self._transport is None:
            raise exceptions.SourceUnreachableError("not connected")
        loop = asyncio.get_running_loop()
        self._response = loop.create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._era = None
        self._body.clear()
        self.received_bytes = 0
        self.first_byte_at = None
        self._deadline = deadline
        self._max_bytes = max_bytes
        self._latest_end = loop.time() + feed_const.TRANSFER_MAX_S
        self._transport.write(
            f"GET {request_target} HTTP/1.1\r\n"
            f"Host: {self._host}\r\n\r\n".encode()
        )
        return await self._response

    def close(self) -> None:
        """Aborts the connection without flushing buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; a malformed response fails the pending call."""
        if self.first_byte_at is None:
            self.first_byte_at = self._clock()
        self.received_bytes += len(data)
        self._extend_deadline()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(exceptions.MalformedAnswerError(str(error)))

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the pending call."""
        self._transport = None
        self._fail(
            exceptions.SourceUnreachableError(f"connection lost: {error}")
        )

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps the era of the store; refuses a body that is too large."""
        if name.lower() == const.ERA_HEADER:
            self._era = value
        elif name.lower() == b"content-length" and value.isdigit():
            self._check_size(int(value))

    def on_body(self, body: bytes) -> None:
        """Appends to the body; a body that is too large fails the call."""
        self._body += body
        self._check_size(len(self._body))

    def on_message_complete(self) -> None:
        """Completes the pending call."""
        if self._response is not None and not self._response.done():
            self._response.set_result(
                _Response(
                    status=self._parser.get_status_code(),
                    era=self._era,
                    body=bytes(self._body),
                )
            )
        if not self._parser.should_keep_alive():
            self.close()

    def _check_size(self, size_bytes: int) -> None:
        if size_bytes > self._max_bytes:
            self._fail(
                exceptions.ResponseTooLargeError(
                    f"{size_bytes} bytes, limit {self._max_bytes}"
                )
            )

    def _extend_deadline(self) -> None:
        deadline = self._deadline
        if deadline is None or deadline.expired():
            return
        end = min(
            asyncio.get_running_loop().time() + feed_const.TRANSFER_STALL_S,
            self._latest_end,
        )
        if end > (deadline.when() or 0.0):
            deadline.reschedule(end)

    def _fail(self, error: exceptions.FeedError) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)
        self.close()


def _parse_era(value: bytes | None) -> ids.Era:
    """Returns the era in a header, 0 for a store that names none."""
    if value is None:
        return ids.Era(0)
    if not value.isdigit() or len(value) > const.MAX_ERA_DIGITS:
        raise exceptions.MalformedAnswerError("era")
    return ids.Era(int(value))


def _parse_response(body: bytes) -> Mapping[str, Any]:
    try:
        response = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise exceptions.MalformedAnswerError("not valid JSON") from error
    if not isinstance(response, dict):
        raise exceptions.MalformedAnswerError("not a JSON object")
    return response


def _decode_item(item: Any, era: ids.Era) -> records.Record:
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        raise exceptions.MalformedAnswerError("key")
    return records.Record(
        key=item["key"],
        value=None if item.get("deleted") else _decode_value(item),
        revision=_get_revision(item, "revision", era),
    )


def _decode_value(item: Mapping[str, Any]) -> bytes:
    try:
        return base64.b64decode(item.get("value", ""), validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise exceptions.MalformedAnswerError("value") from error


def _get_revision(
    fields: Mapping[str, Any], name: str, era: ids.Era
) -> records.Revision:
    number = fields.get(name)
    if not isinstance(number, int) or isinstance(number, bool):
        raise exceptions.MalformedAnswerError(name)
    return records.Revision(era=era, number=number)
