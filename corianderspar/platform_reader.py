"""Follows the platform's configuration service and its list of VMs."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol
from typing import TypeVar

from expression import Error
from expression import Result

from corianderspar import kernel
from corianderspar import platform_client
from corianderspar import problems
from corianderspar import shards
from corianderspar import version_store

LIST_SECONDS = 1.0
WATCH_SECONDS = 10.0
CALL_TIMEOUT = 2.0
RETRY_SECONDS = 1.0
SILENT_SECONDS = 10.0
PARALLEL_READS = 8
SHARD_READS_PER_SECOND = 100.0

T = TypeVar('T')


class Reading(Protocol):
    """What a reader needs from the service ``configuration``."""

    versions: version_store.VersionStore
    list_verified_at: float
    caught_up: asyncio.Event

    @property
    def key(self) -> shards.VersionKey:
        """Key of the version in force."""
        ...

    def is_relay(self) -> bool:
        """Return whether this daemon reads the service for others."""
        ...

    def adopt_list(
        self, listed: platform_client.VmList, read_at: float
    ) -> None:
        """Take a list that the platform gave."""
        ...

    def adopt_or_reject(self, manifest: shards.Manifest) -> None:
        """Put a complete version in force, or refuse it."""
        ...

    def reject(self, refused: version_store.Rejection) -> None:
        """Keep and report a refusal."""
        ...


class PlatformReader:
    """Reads for the own daemon and for those that hear it.

    A relay watches all the time. Another daemon reads only after it has
    heard of no fresh read for `SILENT_SECONDS` and up to as much again.

    Parameters
    ----------
    app : Application
        Gives time and randomness.
    client : PlatformClient
        The platform.
    reading : Reading
        Takes what was read.
    """

    def __init__(
        self,
        app: kernel.Application,
        client: platform_client.PlatformClient,
        reading: Reading,
    ) -> None:
        self._app = app
        self._client = client
        self._reading = reading
        self._revision = 0

    async def follow_list(self) -> None:
        """Read the list of VMs again and again."""
        duty = _Duty(self._app, self._reading)
        while True:
            if duty.due():
                await self._read_list()
            await self._app.clock.sleep(LIST_SECONDS)

    async def follow_versions(self) -> None:
        """Watch the manifest, and read the shards that are new."""
        duty = _Duty(self._app, self._reading)
        while True:
            if not duty.due():
                await self._app.clock.sleep(RETRY_SECONDS)
            elif not await self._follow_once():
                jitter = self._app.rng.uniform(0.5, 1.5)
                await self._app.clock.sleep(RETRY_SECONDS * jitter)

    async def _read_list(self) -> None:
        before = self._app.clock.monotonic()
        result = await _bounded(self._client.vms, CALL_TIMEOUT)
        if result.is_ok():
            self._reading.adopt_list(result.ok, before)

    async def _follow_once(self) -> bool:
        result = await _bounded(
            lambda: self._client.watch(
                shards.MANIFEST_KEY, self._revision, WATCH_SECONDS
            ),
            WATCH_SECONDS + CALL_TIMEOUT,
        )
        if result.is_error():
            return False
        if result.ok is None:
            return True
        done = await self._take(result.ok)
        if done:
            self._revision = result.ok.revision
        return done

    async def _take(self, value: platform_client.Value) -> bool:
        read = shards.parse_manifest(value.data)
        if read.is_error():
            self._refuse_manifest(value.data, read.error)
            return True
        manifest = read.ok
        # Peers may know better than a service that is stale, and have the
        # shards at hand.
        await self._reading.caught_up.wait()
        if self._is_old(manifest.key()):
            self._report_old(manifest.key())
            return True
        if not self._reading.is_relay() and self._fresh():
            return False
        if not await self._read_shards(manifest):
            return False
        if not self._is_old(manifest.key()):
            self._reading.adopt_or_reject(manifest)
        return True

    def _is_old(self, key: shards.VersionKey) -> bool:
        refused = self._reading.versions.rejected_by_key
        return key <= self._reading.key or key in refused

    def _report_old(self, key: shards.VersionKey) -> None:
        in_force = self._reading.key
        if key == in_force or key in self._reading.versions.rejected_by_key:
            return
        same = key.number == in_force.number
        self._app.events.add(
            'configuration.conflict' if same else 'configuration.lower',
            version=key.number,
            in_force=in_force.number,
            kept=in_force.digest.hex(),
            dropped=key.digest.hex(),
        )

    def _fresh(self) -> bool:
        age = self._app.clock.monotonic() - self._reading.list_verified_at
        return age < SILENT_SECONDS

    async def _read_shards(self, manifest: shards.Manifest) -> bool:
        known = self._reading.versions
        missing = known.missing(manifest)
        for start in range(0, len(missing), PARALLEL_READS):
            batch = missing[start : start + PARALLEL_READS]
            if start:
                pause = PARALLEL_READS / SHARD_READS_PER_SECOND
                await self._app.clock.sleep(pause)
            done = await asyncio.gather(
                *(self._read_shard(digest) for digest in batch)
            )
            if not all(done):
                return False
        return not known.missing(manifest)

    async def _read_shard(self, digest: str) -> bool:
        key = shards.shard_key(digest)
        result = await _bounded(lambda: self._client.read(key), CALL_TIMEOUT)
        if result.is_error():
            return False
        return self._reading.versions.add_shard(digest, result.ok.data)

    def _refuse_manifest(
        self, data: bytes, wrong: list[problems.Finding]
    ) -> None:
        digest = bytes.fromhex(shards.digest_of(data))[: shards.DIGEST_BYTES]
        key = shards.VersionKey(0, digest)
        if key not in self._reading.versions.rejected_by_key:
            self._reading.reject(version_store.Rejection(key, wrong))


class _Duty:
    """Decides whether this daemon should read the service now."""

    def __init__(self, app: kernel.Application, reading: Reading) -> None:
        self._app = app
        self._reading = reading
        self._alone_at = app.clock.monotonic()

    def due(self) -> bool:
        if self._reading.is_relay():
            return True
        now = self._app.clock.monotonic()
        jitter = self._app.rng.uniform(0, SILENT_SECONDS)
        if now - self._reading.list_verified_at < SILENT_SECONDS:
            self._alone_at = now + jitter
            return False
        if now < self._alone_at:
            return False
        self._alone_at = now + SILENT_SECONDS + jitter
        return True


async def _bounded(
    call: Callable[[], Awaitable[Result[T, platform_client.PlatformError]]],
    seconds: float,
) -> Result[T, platform_client.PlatformError]:
    try:
        async with asyncio.timeout(seconds):
            return await call()
    except TimeoutError:
        return Error(platform_client.PlatformError('unreachable'))
