"""Child processes of tests and benchmarks."""

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
    """A child process whose output goes to a log file."""

    def __init__(self, *, name: str, arguments: list[str], logs: pathlib.Path):
        """Creates a process without starting it.

        `arguments` are those of the Python interpreter, such as
        `-m standins.fabric`.
        """
        self.name = name
        self.log_path = logs / f"{name}.log"
        self._arguments = [sys.executable, *arguments]
        self._child: subprocess.Popen | None = None
        self._started_at = 0.0

    @property
    def age_s(self) -> float:
        """Seconds since the last start."""
        return time.monotonic() - self._started_at

    @property
    def pid(self) -> int:
        """The process id.

        Raises:
            ProcessError: The process was never started.
        """
        return self._get_child().pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Starts the process; appends its output to the log."""
        if self.is_running:
            raise exceptions.ProcessError(f"{self.name} is already running")
        # The packages of this working tree take precedence over an installed
        # copy.
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
        """Sends a signal if the process is running."""
        if self.is_running:
            self._get_child().send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        self.send_signal(signal.SIGKILL)
        self._get_child().wait()

    def pause(self) -> None:
        """Pauses the process with SIGSTOP until `resume`."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a paused process."""
        self.send_signal(signal.SIGCONT)

    def reload(self) -> None:
        """Asks the process to reload its settings, with SIGHUP."""
        self.send_signal(signal.SIGHUP)

    async def async_stop(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Stops the process, by SIGKILL after a timeout; returns its status."""
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
            ProcessError: The process exited or was not ready in time. The
                message contains the end of its log.
        """
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if not self.is_running:
                raise exceptions.ProcessError(
                    f"{self.name} exited early:\n{self.read_log()}"
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
            raise exceptions.ProcessError(f"{self.name} was never started")
        return self._child


class ProcessGroup:
    """The processes of a run, which are stopped in reverse order."""

    def __init__(self, *, logs: pathlib.Path):
        """Creates an empty group with a log directory."""
        self._logs = logs
        self._processes: dict[str, Process] = {}

    def __getitem__(self, name: str) -> Process:
        """Returns a process by name."""
        return self._processes[name]

    def is_running(self, name: str) -> bool:
        """Returns whether a process with this name is running."""
        process = self._processes.get(name)
        return process is not None and process.is_running

    def start(self, name: str, arguments: list[str]) -> Process:
        """Starts a process, also when one with this name has exited.

        Raises:
            ProcessError: A process with this name is still running.
        """
        process = self._processes.get(name)
        if process is not None and process.is_running:
            raise exceptions.ProcessError(f"{name} is already running")
        process = Process(name=name, arguments=arguments, logs=self._logs)
        self._processes[name] = process
        process.start()
        return process

    async def async_start(
        self, name: str, arguments: list[str], is_ready: Callable
    ) -> Process:
        """Starts a process and waits until it is ready.

        Raises:
            ProcessError: The process exited or was not ready in time.
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
    """Returns a coroutine function that checks for status 200 of a URL."""

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
    """Returns a check for the administration interface of a stand-in."""
    return build_url_check(f"http://{address[0]}:{address[1]}/statistics")
