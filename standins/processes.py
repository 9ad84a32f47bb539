"""Starting, stopping and pausing of the processes of a test or a bench."""

import asyncio
from collections.abc import Callable
import os
import pathlib
import signal
import subprocess
import sys
import time

import aiohttp

from standins import exceptions
from standins import link

_POLL_S = 0.05
_REQUEST_TIMEOUT_S = 1.0
_STOP_TIMEOUT_S = 10.0
_LOG_TAIL_BYTES = 2000
ROOT = pathlib.Path(__file__).resolve().parent.parent


class Process:
    """One child process, with its output in a file of a log folder."""

    def __init__(self, *, name: str, arguments: list[str], logs: pathlib.Path):
        """Creates a process that does not run yet.

        `arguments` follow the Python interpreter, as in `-m standins.fabric`.
        """
        self.name = name
        self.log_path = logs / f"{name}.log"
        self._arguments = [sys.executable, *arguments]
        self._child: subprocess.Popen | None = None
        self._started_at = 0.0

    @property
    def age_s(self) -> float:
        """Seconds since its last start."""
        return time.monotonic() - self._started_at

    @property
    def pid(self) -> int:
        """The process id.

        Raises:
            ProcessError: The process was not started.
        """
        return self._get_child().pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Starts the process; its output is added to its log."""
        if self.is_running:
            raise exceptions.ProcessError(f"{self.name} already runs")
        # The packages next to this file come first, so that a worktree does
        # not run the code of an installed copy.
        path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
        self._started_at = time.monotonic()
        with self.log_path.open("ab") as log:
            self._child = subprocess.Popen(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": path},
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process still runs."""
        if self.is_running:
            self._get_child().send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send_signal(signal.SIGKILL)
        self._get_child().wait()

    def pause(self) -> None:
        """Stops the process until `resume`."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a paused process go on."""
        self.send_signal(signal.SIGCONT)

    def reload(self) -> None:
        """Asks the process to read its settings again."""
        self.send_signal(signal.SIGHUP)

    async def async_stop(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Asks the process to end, kills it when late; returns its status."""
        child = self._get_child()
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        end = time.monotonic() + timeout_s
        while child.poll() is None and time.monotonic() < end:
            await asyncio.sleep(_POLL_S)
        if child.poll() is None:
            self.kill()
        return child.wait()

    async def async_wait_until(
        self, is_ready: Callable, timeout_s: float = 20.0
    ) -> None:
        """Waits until the coroutine function `is_ready` returns True.

        Raises:
            ProcessError: The process ended, or is not ready in time. The
                message has the end of its log.
        """
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if not self.is_running:
                raise exceptions.ProcessError(
                    f"{self.name} ended early:\n{self.read_log()}"
                )
            if await is_ready():
                return
            await asyncio.sleep(_POLL_S)
        raise exceptions.ProcessError(
            f"{self.name} is not ready after {timeout_s} s:\n{self.read_log()}"
        )

    def read_log(self) -> str:
        """Returns the end of the log."""
        return self.log_path.read_text(errors="replace")[-_LOG_TAIL_BYTES:]

    def _get_child(self) -> subprocess.Popen:
        if self._child is None:
            raise exceptions.ProcessError(f"{self.name} was not started")
        return self._child


class ProcessGroup:
    """The processes of one run; the last one started is stopped first."""

    def __init__(self, *, logs: pathlib.Path):
        """Creates an empty group whose logs go to a folder."""
        self._logs = logs
        self._processes: dict[str, Process] = {}

    def __getitem__(self, name: str) -> Process:
        """Returns a process by its name."""
        return self._processes[name]

    def is_running(self, name: str) -> bool:
        """Returns whether a process of this name was started and runs."""
        process = self._processes.get(name)
        return process is not None and process.is_running

    def start(self, name: str, arguments: list[str]) -> Process:
        """Starts a process, again when one of this name has ended.

        Raises:
            ProcessError: A process of this name still runs.
        """
        process = self._processes.get(name)
        if process is not None and process.is_running:
            raise exceptions.ProcessError(f"{name} already runs")
        process = Process(name=name, arguments=arguments, logs=self._logs)
        self._processes[name] = process
        process.start()
        return process

    async def async_start(
        self, name: str, arguments: list[str], is_ready: Callable
    ) -> Process:
        """Starts a process and waits until it is ready.

        Raises:
            ProcessError: The process ended, or is not ready in time.
        """
        process = self.start(name, arguments)
        await process.async_wait_until(is_ready)
        return process

    async def async_stop(self) -> dict[str, int]:
        """Stops all processes; returns the exit status of each."""
        names = list(reversed(self._processes))
        statuses = [await self._processes[n].async_stop() for n in names]
        return dict(zip(names, statuses, strict=True))


def build_url_check(url: str) -> Callable:
    """Returns a coroutine function that tells whether a URL answers."""

    async def async_check() -> bool:
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url) as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    return async_check


def build_admin_check(address: link.Address) -> Callable:
    """Returns a check of a stand-in's administration interface."""
    return build_url_check(f"http://{address[0]}:{address[1]}/statistics")
