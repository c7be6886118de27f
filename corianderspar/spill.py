"""Spill of requests to another data centre that would serve them sooner."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from corianderspar import kernel
from corianderspar import membership as memberships
from corianderspar import peers as peer_messages
from corianderspar import pool

SPILL_COST_SECONDS = 0.5
MAX_STATE_AGE_SECONDS = 5.0
REFUSAL_BACKOFF_SECONDS = 2.0


class ShardState(NamedTuple):
    """The load of a shard, as its home last sent it.

    Attributes
    ----------
    model, data_centre : str
        The shard.
    home : str
        Its home.
    summary : ShardSummary
        Its free slots and expected wait.
    age : float
        Seconds since the home made the summary.
    """

    model: str
    data_centre: str
    home: str
    summary: pool.ShardSummary
    age: float = 0.0


class _ReceivedState(NamedTuple):
    state: ShardState
    made_at: float


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[ShardState, ...])

ProvideStates = Callable[[], list[ShardState]]


class SpillPolicy:
    """Chooses the data centre whose shard of a model gets a request.

    Homes send the states of their shards in their heartbeats. Relays pass
    them on to other data centres, and pass on the states that they receive
    from there to the members of their own.

    Parameters
    ----------
    app : Application
        Gives time and identity.
    membership : Membership
        Sends and receives the states.
    provide_own : callable
        Returns the states of the shards whose home is this daemon.
    """

    def __init__(
        self,
        app: kernel.Application,
        membership: memberships.Membership,
        provide_own: ProvideStates,
    ) -> None:
        self._app = app
        self._membership = membership
        self._provide_own = provide_own
        self._received_by_shard: dict[tuple[str, str], _ReceivedState] = {}
        self._refused_at_by_shard: dict[tuple[str, str], float] = {}
        membership.add_section(
            'shards', self._provide_states, self._accept_states
        )

    def choose(self, model: str, has_local_engines: bool) -> ShardState | None:
        """Return the remote shard to use, or None to use the local one.

        A remote shard is used if the local one makes a request wait longer
        by more than `SPILL_COST_SECONDS`, or has no engines. Remote shards
        that have no free slot or have refused a job lately are left out.
        """
        own_data_centre = self._app.identity.data_centre
        states = self._states()
        local = states.get((own_data_centre, model))
        if has_local_engines and (
            local is None or local.summary.expected_wait <= SPILL_COST_SECONDS
        ):
            return None
        remote = [
            state
            for (data_centre, shard_model), state in states.items()
            if shard_model == model
            and data_centre != own_data_centre
            and self._is_eligible(state)
        ]
        best = min(
            remote,
            key=lambda state: (state.summary.expected_wait, state.data_centre),
            default=None,
        )
        if best is None or local is None or not has_local_engines:
            return best
        saved_seconds = (
            local.summary.expected_wait - best.summary.expected_wait
        )
        return best if saved_seconds > SPILL_COST_SECONDS else None

    def home(self, data_centre: str, model: str) -> str | None:
        """Return the home of a remote shard, or None if it is not known."""
        received = self._received_by_shard.get((data_centre, model))
        return received.state.home if received is not None else None

    def note_refusal(self, data_centre: str, model: str) -> None:
        """Leave a remote shard out for `REFUSAL_BACKOFF_SECONDS`."""
        now = self._app.clock.monotonic()
        self._refused_at_by_shard[data_centre, model] = now

    def _is_eligible(self, state: ShardState) -> bool:
        refused_at = self._refused_at_by_shard.get(
            (state.data_centre, state.model)
        )
        now = self._app.clock.monotonic()
        if (
            refused_at is not None
            and now - refused_at < REFUSAL_BACKOFF_SECONDS
        ):
            return False
        return state.summary.free_slots > 0

    def _states(self) -> dict[tuple[str, str], ShardState]:
        now = self._app.clock.monotonic()
        states = {
            shard: received.state._replace(age=now - received.made_at)
            for shard, received in self._received_by_shard.items()
            if now - received.made_at <= MAX_STATE_AGE_SECONDS
        }
        for state in self._provide_own():
            states[state.data_centre, state.model] = state
        return states

    def _provide_states(self, vm: str) -> bytes | None:
        own = self._app.identity
        member = self._membership.members().get(vm)
        if member is None:
            return None
        is_relay = own.vm in self._membership.relays(own.data_centre)
        to_own_data_centre = member.data_centre == own.data_centre
        provided = []
        for state in self._states().values():
            is_local = state.data_centre == own.data_centre
            if to_own_data_centre and (
                state.home == own.vm or (is_relay and not is_local)
            ):
                provided.append(state)
            if not to_own_data_centre and is_local:
                provided.append(state)
        return _ENCODER.encode(tuple(provided)) if provided else None

    def _accept_states(
        self, sender: peer_messages.Sender, content: bytes
    ) -> None:
        now = self._app.clock.monotonic()
        for state in _DECODER.decode(content):
            shard = (state.data_centre, state.model)
            made_at = now - state.age
            known = self._received_by_shard.get(shard)
            if known is None or made_at > known.made_at:
                self._received_by_shard[shard] = _ReceivedState(state, made_at)
