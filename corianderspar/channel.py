"""Message transport between daemons: pynng, or in memory for tests."""

import asyncio
import collections
import math
from pathlib import Path
import random
from typing import NamedTuple
from typing import Protocol

import pynng

from corianderspar import clock as clocks

MAX_QUEUED_MESSAGES = 64  # per peer; more would be stale on its return
MAX_RECEIVED_MESSAGES = 512  # one from each peer of a large fleet
MAX_MESSAGE_BYTES = 16 * 1024 * 1024  # the state of a large fleet takes less
MAX_CONNECTIONS = 4096  # from peers, unless a channel sets another
RECEIVE_BATCH_MESSAGES = 32  # before other tasks may run


class Channel(Protocol):
    """Unreliable transport of messages that keeps the order per peer."""

    async def open(self) -> None:
        """Start accepting messages."""
        ...

    async def close(self) -> None:
        """Close all connections; queued messages are lost."""
        ...

    def connect(self, vm: str, address: str) -> None:
        """Keep a connection to the peer address of a VM, ip:port.

        Raises
        ------
        AddressError
            If no address has that form.
        """
        ...

    def disconnect(self, vm: str) -> None:
        """Close the connection to a VM."""
        ...

    def send(self, vm: str, payload: bytes) -> bool:
        """Queue a message; False if the queue is full or not connected."""
        ...

    async def receive(self) -> bytes:
        """Return the next message from any peer."""
        ...


class AddressError(ValueError):
    """An address of a peer that can't be connected to."""


class TlsFiles(NamedTuple):
    """Paths of PEM files for mutual authentication."""

    ca: Path
    certificate: Path
    key: Path


class NngChannel:
    """Messages over pynng push and pull sockets, one socket per peer.

    Sending never waits. Once the descriptor of the listener is readable,
    all messages that have arrived are received without waiting: a pynng
    call that waits takes three times the processor time per message.

    Parameters
    ----------
    address : str
        ip:port to listen on.
    tls : TlsFiles or None
        If given, both sides authenticate with certificates of one CA.
    max_queued_messages : int
        Messages queued for one slow peer before more are dropped.
    max_connections : int
        Connections accepted from peers; more are closed.
    """

    def __init__(
        self,
        address: str,
        tls: TlsFiles | None = None,
        max_queued_messages: int = MAX_QUEUED_MESSAGES,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._address = address
        self._tls = tls
        self._max_queued_messages = max_queued_messages
        self._max_connections = max_connections
        self._listener: pynng.Pull0 | None = None
        self._arrived = asyncio.Event()
        self._received = 0
        self._sockets_by_vm: dict[str, pynng.Push0] = {}

    async def open(self) -> None:
        """Listen on the address.

        Raises
        ------
        pynng.NNGException
            If the address is not available.
        """
        socket = pynng.Pull0(
            recv_buffer_size=MAX_RECEIVED_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        socket.add_pre_pipe_connect_cb(self._limit_connections)
        if self._tls is not None:
            socket.tls_config = self._tls_config(
                pynng.TLSConfig.MODE_SERVER, self._tls
            )
        socket.listen(self._url(self._address))
        self._listener = socket
        asyncio.get_running_loop().add_reader(
            socket.recv_fd, self._arrived.set
        )

    def _limit_connections(self, pipe: pynng.Pipe) -> None:
        if len(pipe.socket.pipes) >= self._max_connections:
            pipe.close()

    async def close(self) -> None:
        """Close all sockets."""
        for vm in list(self._sockets_by_vm):
            self.disconnect(vm)
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener.recv_fd)
            self._listener.close()
            self._listener = None

    def connect(self, vm: str, address: str) -> None:
        """Start connecting to a peer, unless it has a socket already.

        Raises
        ------
        AddressError
            If no address has that form.
        """
        if vm in self._sockets_by_vm:
            return
        socket = pynng.Push0(send_buffer_size=self._max_queued_messages)
        if self._tls is not None:
            socket.tls_config = self._tls_config(
                pynng.TLSConfig.MODE_CLIENT, self._tls, address
            )
        try:
            socket.dial(self._url(address), block=False)
        except pynng.AddressInvalid as error:
            socket.close()
            raise AddressError(f'{address!r} is no ip:port') from error
        self._sockets_by_vm[vm] = socket

    def disconnect(self, vm: str) -> None:
        """Close the socket to a peer."""
        socket = self._sockets_by_vm.pop(vm, None)
        if socket is not None:
            socket.close()

    def send(self, vm: str, payload: bytes) -> bool:
        """Queue a message at the socket; False if full or not connected."""
        socket = self._sockets_by_vm.get(vm)
        if socket is None:
            return False
        try:
            socket.send(payload, block=False)
        except pynng.TryAgain:
            return False
        return True

    async def receive(self) -> bytes:
        """Return the next message from any peer."""
        while self._listener is not None:
            try:
                payload = self._listener.recv(block=False)
            except pynng.TryAgain:
                self._received = 0
                self._arrived.clear()
                await self._arrived.wait()
                continue
            self._received += 1
            if self._received % RECEIVE_BATCH_MESSAGES == 0:
                await asyncio.sleep(0)
            return payload
        # The channel is closed, so the task of the caller is being cancelled.
        raise asyncio.CancelledError

    def _url(self, address: str) -> str:
        scheme = 'tcp' if self._tls is None else 'tls+tcp'
        return f'{scheme}://{address}'

    @staticmethod
    def _tls_config(
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
    """Network of `MemoryChannel` objects with latency, loss and partitions.

    Parameters
    ----------
    rng : random.Random
        Source of randomness for message loss.
    latency : float
        Seconds from sending a message to its delivery.
    """

    def __init__(self, rng: random.Random, latency: float = 0.0005) -> None:
        self.latency = latency
        self.loss_rate = 0.0
        self.message_count = 0
        self.byte_count = 0
        self._rng = rng
        self._groups: list[frozenset[str]] = []
        self._channels_by_address: dict[str, MemoryChannel] = {}
        self._last_arrivals_by_link: dict[tuple[str, str], float] = {}

    def partition(self, *groups: set[str]) -> None:
        """Let each VM reach only the VMs of its own group.

        VMs that are in no group reach one another.
        """
        self._groups = [frozenset(group) for group in groups]

    def heal(self) -> None:
        """End all partitions."""
        self._groups = []

    def reachable(self, a: str, b: str) -> bool:
        """Return whether two VMs are on the same side of the partitions."""
        return self._group_of(a) == self._group_of(b)

    def _group_of(self, vm: str) -> frozenset[str]:
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
        self, source: 'MemoryChannel', address: str, payload: bytes
    ) -> bool:
        """Deliver a message after the latency, unless it is lost.

        The result is True even for a lost message: as with real sockets, a
        sender does not learn of the loss.
        """
        target = self._channels_by_address.get(address)
        if target is None or not self.reachable(source.vm, target.vm):
            return True
        if self.loss_rate and self._rng.random() < self.loss_rate:
            return True
        self.message_count += 1
        self.byte_count += len(payload)
        loop = asyncio.get_running_loop()
        when = self._arrival_time(source.vm, address, loop.time())
        loop.call_at(when, self._deliver, source.vm, address, payload)
        return True

    def _arrival_time(self, source: str, address: str, now: float) -> float:
        # The event loop does not order timers of equal time, but a
        # connection delivers its messages in order.
        last = self._last_arrivals_by_link.get((source, address), 0.0)
        when = max(now + self.latency, math.nextafter(last, math.inf))
        self._last_arrivals_by_link[source, address] = when
        return when

    def _deliver(self, source: str, address: str, payload: bytes) -> None:
        target = self._channels_by_address.get(address)
        if target is not None and self.reachable(source, target.vm):
            target.deliver(payload)


class MemoryChannel:
    """In-memory implementation of `Channel` for tests.

    Parameters
    ----------
    network : MemoryNetwork
        Network that connects it to other channels.
    vm, address : str
        Name and address of its VM.
    clock : VirtualClock or None
        If given, nothing is received while the clock is paused.
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
        self._queue: collections.deque[bytes] = collections.deque()
        self._arrived = asyncio.Event()

    async def open(self) -> None:
        """Join the network."""
        self._network.attach(self)

    async def close(self) -> None:
        """Leave the network."""
        self._network.detach(self)

    def connect(self, vm: str, address: str) -> None:
        """Store the address of a peer."""
        self._addresses_by_vm[vm] = address

    def disconnect(self, vm: str) -> None:
        """Remove the address of a peer."""
        self._addresses_by_vm.pop(vm, None)

    def send(self, vm: str, payload: bytes) -> bool:
        """Send a message over the network; False if not connected."""
        address = self._addresses_by_vm.get(vm)
        if address is None:
            return False
        return self._network.transmit(self, address, payload)

    def deliver(self, payload: bytes) -> None:
        """Queue a message from the network; drop the oldest if full."""
        if len(self._queue) >= MAX_RECEIVED_MESSAGES:
            self._queue.popleft()
        self._queue.append(payload)
        self._arrived.set()

    async def receive(self) -> bytes:
        """Return the next message from any peer."""
        while True:
            if self._clock is not None:
                await self._clock.wait_running()
            if self._queue:
                return self._queue.popleft()
            self._arrived.clear()
            await self._arrived.wait()
