"""Reading of catalogue versions and the VM list from the platform."""

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

LIST_INTERVAL_SECONDS = 1.0
WATCH_SECONDS = 10.0  # of a long poll
CALL_TIMEOUT_SECONDS = 2.0  # of a watch: beyond its wait
RETRY_SECONDS = 1.0
# A daemon that is not a relay reads the platform itself only when its VM list
# is staler than this.
STALE_SECONDS = 10.0
MAX_PARALLEL_READS = 8
SHARD_READS_PER_SECOND = 100.0

T = TypeVar('T')


class Consumer(Protocol):
    """What a reader uses of the service ``configuration``."""

    versions: version_store.VersionStore
    list_verified_at: float
    caught_up: asyncio.Event

    @property
    def key(self) -> shards.VersionKey:
        """Key of the version in force."""
        ...

    def is_relay(self) -> bool:
        """Return whether this daemon reads the platform for others."""
        ...

    def adopt_list(
        self, vm_list: platform_client.VmList, verified_at: float
    ) -> None:
        """Adopt a VM list, unless a newer one is known."""
        ...

    def adopt_or_reject(self, manifest: shards.Manifest) -> None:
        """Put a version in force, or reject it if it is invalid."""
        ...

    def reject(self, rejection: version_store.Rejection) -> None:
        """Store and report a rejection."""
        ...


class PlatformReader:
    """Reads the platform for this daemon and for those that depend on it.

    A relay reads all the time. Any other daemon reads only when its VM list
    was not verified for `STALE_SECONDS` and a random time of up to as much
    again: then no relay reaches the platform, or none reaches this daemon.

    Parameters
    ----------
    app : Application
        Provides the clock, randomness and the event log.
    client : PlatformClient
        Reads the platform.
    consumer : Consumer
        Gets what was read.
    """

    def __init__(
        self,
        app: kernel.Application,
        client: platform_client.PlatformClient,
        consumer: Consumer,
    ) -> None:
        self._app = app
        self._client = client
        self._consumer = consumer
        self._revision = 0

    async def follow_list(self) -> None:
        """Read the VM list periodically while this daemon is to read."""
        schedule = _ReadSchedule(self._app, self._consumer)
        while True:
            if schedule.is_due():
                await self._read_list()
            await self._app.clock.sleep(LIST_INTERVAL_SECONDS)

    async def follow_versions(self) -> None:
        """Watch the manifest and read new versions, while this is due."""
        schedule = _ReadSchedule(self._app, self._consumer)
        while True:
            if not schedule.is_due():
                await self._app.clock.sleep(RETRY_SECONDS)
            elif not await self._watch_once():
                jitter = self._app.rng.uniform(0.5, 1.5)
                await self._app.clock.sleep(RETRY_SECONDS * jitter)

    async def _read_list(self) -> None:
        began = self._app.clock.monotonic()
        result = await _call_with_timeout(
            self._client.vms, CALL_TIMEOUT_SECONDS
        )
        if result.is_ok():
            self._consumer.adopt_list(result.ok, began)

    async def _watch_once(self) -> bool:
        """Watch the manifest once; return False if it has to be repeated."""
        result = await _call_with_timeout(
            lambda: self._client.watch(
                shards.MANIFEST_KEY, self._revision, WATCH_SECONDS
            ),
            WATCH_SECONDS + CALL_TIMEOUT_SECONDS,
        )
        if result.is_error():
            return False
        if result.ok is None:
            return True
        done = await self._process(result.ok)
        if done:
            self._revision = result.ok.revision
        return done

    async def _process(self, value: platform_client.Value) -> bool:
        """Process a manifest; return False if it has to be read again."""
        parsed = shards.parse_manifest(value.data)
        if parsed.is_error():
            self._reject_manifest(value.data, parsed.error)
            return True
        manifest = parsed.ok
        # The platform's answer may be stale, in which case peers have a newer
        # version; they also have its shards.
        await self._consumer.caught_up.wait()
        if self._is_superseded(manifest.key()):
            self._report_superseded(manifest.key())
            return True
        if not self._consumer.is_relay() and self._is_list_fresh():
            return False
        if not await self._read_shards(manifest):
            return False
        if not self._is_superseded(manifest.key()):
            self._consumer.adopt_or_reject(manifest)
        return True

    def _is_superseded(self, key: shards.VersionKey) -> bool:
        """Return whether a version was rejected or is not a newer one."""
        rejected = self._consumer.versions.rejected_by_key
        return key <= self._consumer.key or key in rejected

    def _report_superseded(self, key: shards.VersionKey) -> None:
        in_force = self._consumer.key
        if key == in_force or key in self._consumer.versions.rejected_by_key:
            return
        is_conflict = key.number == in_force.number
        self._app.events.add(
            'configuration.conflict' if is_conflict else 'configuration.lower',
            version=key.number,
            in_force=in_force.number,
            kept=in_force.digest.hex(),
            dropped=key.digest.hex(),
        )

    def _is_list_fresh(self) -> bool:
        staleness = (
            self._app.clock.monotonic() - self._consumer.list_verified_at
        )
        return staleness < STALE_SECONDS

    async def _read_shards(self, manifest: shards.Manifest) -> bool:
        versions = self._consumer.versions
        missing = versions.missing_digests(manifest)
        for start in range(0, len(missing), MAX_PARALLEL_READS):
            batch = missing[start : start + MAX_PARALLEL_READS]
            if start:
                pause = MAX_PARALLEL_READS / SHARD_READS_PER_SECOND
                await self._app.clock.sleep(pause)
            done = await asyncio.gather(
                *(self._read_shard(digest) for digest in batch)
            )
            if not all(done):
                return False
        return not versions.missing_digests(manifest)

    async def _read_shard(self, digest: str) -> bool:
        key = shards.shard_key(digest)
        result = await _call_with_timeout(
            lambda: self._client.read(key), CALL_TIMEOUT_SECONDS
        )
        if result.is_error():
            return False
        return self._consumer.versions.add_shard(digest, result.ok.data)

    def _reject_manifest(
        self, data: bytes, findings: list[problems.Finding]
    ) -> None:
        digest = bytes.fromhex(shards.digest_of(data))[
            : shards.KEY_DIGEST_BYTES
        ]
        # The version number of an invalid manifest is unknown.
        key = shards.VersionKey(0, digest)
        if key not in self._consumer.versions.rejected_by_key:
            self._consumer.reject(version_store.Rejection(key, findings))


class _ReadSchedule:
    """Decides when this daemon is to read the platform."""

    def __init__(self, app: kernel.Application, consumer: Consumer) -> None:
        self._app = app
        self._consumer = consumer
        self._fallback_at = app.clock.monotonic()

    def is_due(self) -> bool:
        if self._consumer.is_relay():
            return True
        now = self._app.clock.monotonic()
        jitter = self._app.rng.uniform(0, STALE_SECONDS)
        if now - self._consumer.list_verified_at < STALE_SECONDS:
            self._fallback_at = now + jitter
            return False
        if now < self._fallback_at:
            return False
        self._fallback_at = now + STALE_SECONDS + jitter
        return True


async def _call_with_timeout(
    call: Callable[[], Awaitable[Result[T, platform_client.PlatformError]]],
    seconds: float,
) -> Result[T, platform_client.PlatformError]:
    try:
        async with asyncio.timeout(seconds):
            return await call()
    except TimeoutError:
        return Error(platform_client.PlatformError('unreachable'))
