"""Attempts connections to endpoints that seem unreachable.

Results are logged and counted by the observer of the steerer.
"""

import asyncio
from collections.abc import Callable
import socket

from chivedoor.edge import const
from chivedoor.steering import contacts
from chivedoor.steering import view as views


class ContactChecker:
    """Runs checks in the background and reports their results.

    A check sends no request: it ends once the host of the endpoint has accepted
    or rejected a connection.
    """

    def __init__(
        self,
        *,
        on_result: Callable[[views.Endpoint, contacts.Contact], None],
    ) -> None:
        """Creates a checker.

        Args:
            on_result: Called with the endpoint and the result of its check.
        """
        self._on_result = on_result
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, endpoint: views.Endpoint) -> None:
        """Starts the check of an endpoint; must be called in an event loop."""
        task = asyncio.create_task(self._async_run(endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancels the checks under way; they report no result."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _async_run(self, endpoint: views.Endpoint) -> None:
        self._on_result(endpoint, await async_check(endpoint.address))


async def async_check(address: tuple[str, int]) -> contacts.Contact:
    """Returns whether the host of an address answers connection attempts.

    A second attempt covers a lost packet of the first one, which stays open.
    After a pause of this process, answers that arrived meanwhile are handled
    before the timer, so the result holds.
    """
    attempts: list[asyncio.Task[contacts.Contact]] = []
    try:
        for _ in range(const.CONTACT_ATTEMPTS):
            attempts.append(asyncio.create_task(_async_connect(address)))
            done, _ = await asyncio.wait(
                attempts,
                timeout=const.CONTACT_ATTEMPT_INTERVAL_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                return done.pop().result()
        return contacts.Contact.SILENT
    finally:
        for attempt in attempts:
            attempt.cancel()


async def _async_connect(address: tuple[str, int]) -> contacts.Contact:
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connection:
            connection.setblocking(False)
            await asyncio.get_running_loop().sock_connect(connection, address)
    except (ConnectionRefusedError, ConnectionResetError):
        # No process listens on the port, but the host is up and reachable.
        return contacts.Contact.ANSWERED
    except OSError:
        return contacts.Contact.FAILED
    return contacts.Contact.ANSWERED
