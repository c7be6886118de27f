"""Spill of requests to another data centre when it pays."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from corianderspar import kernel
from corianderspar import membership as memberships
from corianderspar import peers as peer_messages
from corianderspar import pool

COST_SECONDS = 0.5
STALE_SECONDS = 5.0
REFUSED_SECONDS = 2.0


class ShardState(NamedTuple):
    """The state of a shard, as its home told it.

    Attributes
    ----------
    model, data_centre, home : str
        Which shard, and the VM that is its home.
    summary : ShardSummary
        Its state.
    age : float
        Seconds since its home made it.
    """

    model: str
    data_centre: str
    home: str
    summary: pool.ShardSummary
    age: float = 0.0


class _Heard(NamedTuple):
    state: ShardState
    made: float


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[ShardState, ...])

Own = Callable[[], list[ShardState]]


class SpillPolicy:
    """Knows the shards of all data centres and says where to go.

    A home tells the state of its shards in its heartbeats; relays pass
    it on to and from other data centres.

    Parameters
    ----------
    app : Application
        Gives time and identity.
    membership : Membership
        Carries the states.
    own : callable
        Returns the states of the shards whose home this daemon is.
    """

    def __init__(
        self,
        app: kernel.Application,
        membership: memberships.Membership,
        own: Own,
    ) -> None:
        self._app = app
        self._membership = membership
        self._own = own
        self._heard_by_shard: dict[tuple[str, str], _Heard] = {}
        self._refused_by_shard: dict[tuple[str, str], float] = {}
        membership.add_section('shards', self._provide, self._accept)

    def choose(self, model: str, engines_here: bool) -> ShardState | None:
        """Return the remote shard to use, None to stay here.

        It pays when the wait here is longer by more than `COST_SECONDS`,
        or when there are no engines here.
        """
        here = self._app.identity.data_centre
        states = self._states()
        local = states.get((here, model))
        if engines_here and (
            local is None or local.summary.expected_wait <= COST_SECONDS
        ):
            return None
        remote = [
            state
            for (place, name), state in states.items()
            if name == model and place != here and self._open(state)
        ]
        best = min(
            remote,
            key=lambda state: (state.summary.expected_wait, state.data_centre),
            default=None,
        )
        if best is None or local is None or not engines_here:
            return best
        saved = local.summary.expected_wait - best.summary.expected_wait
        return best if saved > COST_SECONDS else None

    def home(self, data_centre: str, model: str) -> str | None:
        """Return the home of a remote shard, None if it is not known."""
        heard = self._heard_by_shard.get((data_centre, model))
        return heard.state.home if heard is not None else None

    def note_refusal(self, data_centre: str, model: str) -> None:
        """Leave a remote shard alone for a while."""
        now = self._app.clock.monotonic()
        self._refused_by_shard[data_centre, model] = now

    def _open(self, state: ShardState) -> bool:
        refused = self._refused_by_shard.get((state.data_centre, state.model))
        now = self._app.clock.monotonic()
        if refused is not None and now - refused < REFUSED_SECONDS:
            return False
        return state.summary.free_slots > 0

    def _states(self) -> dict[tuple[str, str], ShardState]:
        now = self._app.clock.monotonic()
        states = {
            shard: heard.state._replace(age=now - heard.made)
            for shard, heard in self._heard_by_shard.items()
            if now - heard.made <= STALE_SECONDS
        }
        for state in self._own():
            states[state.data_centre, state.model] = state
        return states

    def _provide(self, vm: str) -> bytes | None:
        own = self._app.identity
        member = self._membership.members().get(vm)
        if member is None:
            return None
        relaying = own.vm in self._membership.relays(own.data_centre)
        to_own = member.data_centre == own.data_centre
        told = []
        for state in self._states().values():
            ours = state.data_centre == own.data_centre
            if to_own and (state.home == own.vm or (relaying and not ours)):
                told.append(state)
            if not to_own and ours:
                told.append(state)
        return _ENCODER.encode(tuple(told)) if told else None

    def _accept(self, sender: peer_messages.Sender, content: bytes) -> None:
        now = self._app.clock.monotonic()
        for state in _DECODER.decode(content):
            shard = (state.data_centre, state.model)
            made = now - state.age
            known = self._heard_by_shard.get(shard)
            if known is None or made > known.made:
                self._heard_by_shard[shard] = _Heard(state, made)
