"""What is known of a request's runs at engines."""

import asyncio
from typing import NamedTuple

from expression import Result

from corianderspar.router import model
from corianderspar.router import placement
from corianderspar.router import request_context
from corianderspar.router import upstreams


class Prefilled(NamedTuple):
    """A prompt whose KV cache is held at its prefill engine.

    Attributes
    ----------
    handle : PrefillHandle
        Identifies it at the prefill engine.
    expires_at : float
        Monotonic seconds until which a decode engine may fetch it.
    """

    handle: upstreams.PrefillHandle
    expires_at: float


class Prepared(NamedTuple):
    """A request that is ready to be sent to a decode engine."""

    reservation: placement.HeldReservation
    engine: model.Upstream
    prefilled: Prefilled | None


class Run(NamedTuple):
    """A request that was sent to a decode engine.

    Attributes
    ----------
    prepared : Prepared
        What it was sent with.
    progress : UpstreamRun
        What is known of its answer.
    began : float
        Monotonic seconds at which it was sent.
    pending : Task
        Ends when the head of the answer has arrived.
    """

    prepared: Prepared
    progress: request_context.UpstreamRun
    began: float
    pending: asyncio.Task[Result[upstreams.Answer, upstreams.Failure]]


class RoundResult(NamedTuple):
    """How one round of placement, prefill and decode ended.

    Attributes
    ----------
    is_complete : bool
        Whether the caller has its whole answer.
    reason : str
        Why it has not, for the log and the caller.
    failed_instance : str
        Instance that the next round excludes; empty for none.
    is_crash : bool
        Whether the engine's connection broke while it had the request.
    prefilled : Prefilled or None
        A prompt that the next round may use.
    is_final : bool
        Whether no other round may follow.
    replacement : Run or None
        The run that goes on in the place of a silent one.
    """

    is_complete: bool
    reason: str = ''
    failed_instance: str = ''
    is_crash: bool = False
    prefilled: Prefilled | None = None
    is_final: bool = False
    replacement: Run | None = None


NO_RETRY_BUDGET = RoundResult(
    False, 'no budget for another send', is_final=True
)
