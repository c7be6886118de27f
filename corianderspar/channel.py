"""How bytes pass between daemons: over pynng, or within a process."""

import asyncio
import collections
import math
from pathlib import Path
import random
from typing import NamedTuple
from typing import Protocol

import pynng

from corianderspar import clock as clocks

MAX_QUEUED_MESSAGES = (
    64  # for one peer; more would be old news when it is back
)
MAX_RECEIVED_MESSAGES = (
    512  # from all peers; as many as a large fleet may have
)
RECEIVE_BATCH_MESSAGES = 32  # messages, before other tasks get a turn


class Channel(Protocol):
    """Unreliable delivery of messages to peers, in order for each peer."""

    async def open(self) -> None:
        """Begin to accept messages."""
        ...

    async def close(self) -> None:
        """Give up all connections; queued messages are lost."""
        ...

    def connect(self, vm: str, address: str) -> None:
        """Keep a connection to a VM's peer address, such as ip:port."""
        ...

    def disconnect(self, vm: str) -> None:
        """Give up the connection to a VM."""
        ...

    def send(self, vm: str, payload: bytes) -> bool:
        """Queue a message; False if there is no room or no connection."""
        ...

    async def receive(self) -> bytes:
        """Return the next message from any peer."""
        ...


class TlsFiles(NamedTuple):
    """Paths of PEM files for mutual authentication."""

    ca: Path
    certificate: Path
    key: Path


class NngChannel:
    """Messages over pynng push and pull sockets, one socket per peer.

    Sending never waits, and what has arrived is taken in one go once the
    listener's descriptor says so: a call of pynng that waits costs three
    times as much processor time for each message.

    Parameters
    ----------
    address : str
        ip:port to listen on.
    tls : TlsFiles or None
        With it, both sides prove membership by certificate.
    queue_messages : int
        How many messages wait for one slow peer before more are dropped.
    """

    def __init__(
        self,
        address: str,
        tls: TlsFiles | None = None,
        queue_messages: int = MAX_QUEUED_MESSAGES,
    ) -> None:
        self._address = address
        self._tls = tls
        self._queue_messages = queue_messages
        self._listener: pynng.Pull0 | None = None
        self._arrival = asyncio.Event()
        self._taken = 0
        self._sockets_by_vm: dict[str, pynng.Push0] = {}

    async def open(self) -> None:
        """Listen.

        Raises
        ------
        pynng.NNGException
            If the address can't be had.
        """
        socket = pynng.Pull0(recv_buffer_size=MAX_RECEIVED_MESSAGES)
        if self._tls is not None:
            socket.tls_config = self._config(
                pynng.TLSConfig.MODE_SERVER, self._tls
            )
        socket.listen(self._url(self._address))
        self._listener = socket
        asyncio.get_running_loop().add_reader(
            socket.recv_fd, self._arrival.set
        )

    async def close(self) -> None:
        """Close all sockets."""
        for vm in list(self._sockets_by_vm):
            self.disconnect(vm)
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener.recv_fd)
            self._listener.close()
            self._listener = None

    def connect(self, vm: str, address: str) -> None:
        """Begin to connect to the peer, unless that was done."""
        if vm in self._sockets_by_vm:
            return
        socket = pynng.Push0(send_buffer_size=self._queue_messages)
        if self._tls is not None:
            socket.tls_config = self._config(
                pynng.TLSConfig.MODE_CLIENT, self._tls, address
            )
        socket.dial(self._url(address), block=False)
        self._sockets_by_vm[vm] = socket

    def disconnect(self, vm: str) -> None:
        """Close the peer's socket."""
        socket = self._sockets_by_vm.pop(vm, None)
        if socket is not None:
            socket.close()

    def send(self, vm: str, payload: bytes) -> bool:
        """Hand a message to the peer's socket."""
        socket = self._sockets_by_vm.get(vm)
        if socket is None:
            return False
        try:
            socket.send(payload, block=False)
        except pynng.TryAgain:
            return False
        return True

    async def receive(self) -> bytes:
        """Return the next message."""
        while self._listener is not None:
            try:
                payload = self._listener.recv(block=False)
            except pynng.TryAgain:
                self._taken = 0
                self._arrival.clear()
                await self._arrival.wait()
                continue
            self._taken += 1
            if self._taken % RECEIVE_BATCH_MESSAGES == 0:
                await asyncio.sleep(0)
            return payload
        # `close` ends this channel; the caller's task is being cancelled.
        raise asyncio.CancelledError

    def _url(self, address: str) -> str:
        scheme = 'tcp' if self._tls is None else 'tls+tcp'
        return f'{scheme}://{address}'

    @staticmethod
    def _config(
        mode: int, files: TlsFiles, address: str | None = None
    ) -> pynng.TLSConfig:
        config = pynng.TLSConfig(
            mode,
            ca_files=[str(files.ca)],
            own_key_string=files.key.read_text(),
            own_cert_string=files.certificate.read_text(),
            auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
        )
        if address is not None:
            config.set_server_name(address.rsplit(':', 1)[0])
        return config


class MemoryNetwork:
    """Joins `MemoryChannel` objects; can cut, delay and lose messages.

    Parameters
    ----------
    rng : random.Random
        Decides which messages are lost.
    latency : float
        Seconds from sending to receipt.
    """

    def __init__(self, rng: random.Random, latency: float = 0.0005) -> None:
        self.latency = latency
        self.loss_rate = 0.0
        self.message_count = 0
        self.byte_count = 0
        self._rng = rng
        self._groups: list[frozenset[str]] = []
        self._channels_by_address: dict[str, MemoryChannel] = {}
        self._arrivals_by_link: dict[tuple[str, str], float] = {}

    def partition(self, *groups: set[str]) -> None:
        """Let VMs reach only those in their own group.

        VMs in no group reach one another.
        """
        self._groups = [frozenset(group) for group in groups]

    def heal(self) -> None:
        """End all partitions."""
        self._groups = []

    def reachable(self, a: str, b: str) -> bool:
        """Return whether a message passes between two VMs now."""
        return self._group(a) == self._group(b)

    def _group(self, vm: str) -> frozenset[str]:
        for group in self._groups:
            if vm in group:
                return group
        return frozenset()

    def attach(self, channel: 'MemoryChannel') -> None:
        """Make a channel reachable at its address."""
        self._channels_by_address[channel.address] = channel

    def detach(self, channel: 'MemoryChannel') -> None:
        """Make a channel unreachable."""
        if self._channels_by_address.get(channel.address) is channel:
            del self._channels_by_address[channel.address]

    def transmit(
        self, source: 'MemoryChannel', to: str, payload: bytes
    ) -> bool:
        """Deliver after the latency, unless cut or lost."""
        target = self._channels_by_address.get(to)
        if target is None or not self.reachable(source.vm, target.vm):
            return True
        if self.loss_rate and self._rng.random() < self.loss_rate:
            return True
        self.message_count += 1
        self.byte_count += len(payload)
        loop = asyncio.get_running_loop()
        when = self._arrival_time(source.vm, to, loop.time())
        loop.call_at(when, self._arrive, source.vm, to, payload)
        return True

    def _arrival_time(self, source: str, to: str, now: float) -> float:
        # The loop keeps no order among timers of the same moment, and a
        # connection never swaps messages.
        last = self._arrivals_by_link.get((source, to), 0.0)
        when = max(now + self.latency, math.nextafter(last, math.inf))
        self._arrivals_by_link[source, to] = when
        return when

    def _arrive(self, source: str, to: str, payload: bytes) -> None:
        target = self._channels_by_address.get(to)
        if target is not None and self.reachable(source, target.vm):
            target.deliver(payload)


class MemoryChannel:
    """The in-memory twin of `NngChannel`.

    Parameters
    ----------
    network : MemoryNetwork
        What joins it to others.
    vm, address : str
        Name and address of the VM it stands in.
    clock : VirtualClock or None
        If given, a paused VM receives nothing before it goes on.
    """

    def __init__(
        self,
        network: MemoryNetwork,
        vm: str,
        address: str,
        clock: clocks.VirtualClock | None = None,
    ) -> None:
        self.vm = vm
        self.address = address
        self._network = network
        self._clock = clock
        self._addresses_by_vm: dict[str, str] = {}
        self._waiting: collections.deque[bytes] = collections.deque()
        self._arrival = asyncio.Event()

    async def open(self) -> None:
        """Join the network."""
        self._network.attach(self)

    async def close(self) -> None:
        """Leave the network."""
        self._network.detach(self)

    def connect(self, vm: str, address: str) -> None:
        """Remember the peer's address."""
        self._addresses_by_vm[vm] = address

    def disconnect(self, vm: str) -> None:
        """Forget the peer's address."""
        self._addresses_by_vm.pop(vm, None)

    def send(self, vm: str, payload: bytes) -> bool:
        """Hand a message to the network."""
        address = self._addresses_by_vm.get(vm)
        if address is None:
            return False
        return self._network.transmit(self, address, payload)

    def deliver(self, payload: bytes) -> None:
        """Take a message from the network; the oldest go if too many."""
        if len(self._waiting) >= MAX_RECEIVED_MESSAGES:
            self._waiting.popleft()
        self._waiting.append(payload)
        self._arrival.set()

    async def receive(self) -> bytes:
        """Return the next message."""
        while True:
            if self._clock is not None:
                await self._clock.wait_running()
            if self._waiting:
                return self._waiting.popleft()
            self._arrival.clear()
            await self._arrival.wait()
