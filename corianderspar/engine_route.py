"""Engine routes: a completion in, its answer out in pieces or whole."""

import contextlib

from corianderspar import completions
from corianderspar import edge_call
from corianderspar import edge_charges
from corianderspar import engine
from corianderspar import http_io
from corianderspar import kernel
from corianderspar import metrics
from corianderspar import placement
from corianderspar import problems
from corianderspar import prompts
from corianderspar import rate_limiter

FIRST_TOKENS = 64
FIRST_SECONDS_BY_CLASS: dict[str, float | None] = {
    'patient': None,
    'guarded': 1.5,
    'ordinary': 1.5,
}
JSON_TYPE = ('content-type', 'application/json')
EVENT_TYPE = ('content-type', 'text/event-stream')


class EngineRoute:
    """Answers calls of engine routes.

    Parameters
    ----------
    app : Application
        Has the services ``placement`` and ``metrics``.
    charging : Charges
        Charges the accounts.
    """

    def __init__(
        self, app: kernel.Application, charging: edge_charges.Charges
    ) -> None:
        self._clock = app.clock
        self._charges = charging
        self._placement = app.find('placement', placement.Placement)
        self._metrics = app.find('metrics', metrics.Metrics)

    async def answer(
        self, exchange: http_io.Exchange, call: edge_call.Call
    ) -> None:
        """Run a completion and pass its answer on.

        Raises
        ------
        Refused
            If there is no whole answer.
        """
        entry = call.match.entry
        model = call.match.route.target
        if exchange.method != 'POST':
            raise edge_call.Refused(
                problems.Problem('bad_method', 405, 'no', 'POST only')
            )
        wanted = edge_call.unwrap(
            completions.parse(
                call.request.body, model, entry.limits.max_tokens
            )
        )
        prompt_tokens = prompts.count_tokens(wanted.prompt)
        charge = await self._charges.admit(call, prompt_tokens + FIRST_TOKENS)
        answer = _Writer(exchange, call, wanted, prompt_tokens, self._metrics)
        pieces = self._placement.run(self._engine_request(call, wanted))
        try:
            async with contextlib.aclosing(pieces):
                answer.ran = True
                async for piece in pieces:
                    # Paid for first: nothing leaves above the limits.
                    await self._cover(charge, answer, piece.tokens)
                    await answer.take(piece, self._clock.monotonic())
            await answer.end()
        except placement.EngineRequestError as failed:
            answer.ran = failed.problem.ran != 'no'
            raise edge_call.Refused(failed.problem) from failed
        finally:
            used = prompt_tokens + answer.tokens if answer.ran else 0
            charge.settle(used)
            self._metrics.tokens.labels('prompt').inc(prompt_tokens)
            self._metrics.tokens.labels('answer').inc(answer.tokens)

    async def _cover(
        self, charge: rate_limiter.Charge, answer: '_Writer', more: int
    ) -> None:
        while answer.tokens + more > answer.covered_tokens:
            await charge.extend(FIRST_TOKENS)
            answer.covered_tokens += FIRST_TOKENS

    def _engine_request(
        self, call: edge_call.Call, wanted: completions.Completion
    ) -> placement.EngineRequest:
        entry = call.match.entry
        return placement.EngineRequest(
            request_id=call.request_id,
            account=call.account,
            weight=self._charges.weight(call.account),
            route=call.match.label,
            service_class=entry.service_class,
            model=call.match.route.target,
            prompt=wanted.prompt,
            max_tokens=wanted.max_tokens,
            timeout=call.left(self._clock.monotonic()),
            repeatable=call.match.route.repeatable,
            first_token_timeout=FIRST_SECONDS_BY_CLASS[entry.service_class],
        )


class _Writer:
    """The answer to a completion on its way to the caller."""

    def __init__(
        self,
        exchange: http_io.Exchange,
        call: edge_call.Call,
        wanted: completions.Completion,
        prompt_tokens: int,
        counts: metrics.Metrics,
    ) -> None:
        self.tokens = 0
        self.covered_tokens = FIRST_TOKENS
        self.ran = False
        self._exchange = exchange
        self._call = call
        self._wanted = wanted
        self._prompt_tokens = prompt_tokens
        self._counts = counts
        self._texts: list[str] = []
        self._finish = ''
        self._last = call.arrived
        # Looking a label up costs as much as all else done for a token.
        label = call.match.label
        self._first_token = counts.first_token.labels(label)
        self._token_gap = counts.token_gap.labels(label)

    async def take(self, piece: engine.Piece, now: float) -> None:
        """Pass a piece on, or keep it if the answer is wanted whole."""
        self._observe(piece, now)
        self.tokens += piece.tokens
        self._finish = piece.finish
        if not self._wanted.stream:
            self._texts.append(piece.text)
            return
        if self._exchange.status == 0:
            await self._exchange.begin(200, self._headers(EVENT_TYPE))
        await self._exchange.write(
            completions.chunk(
                self._call.request_id,
                self._call.match.route.target,
                piece.text,
                piece.finish,
            )
        )

    async def end(self) -> None:
        """End the answer after its last piece."""
        label = self._call.match.label
        self._counts.requests.labels(label, 'ok', 'yes').inc()
        if self._wanted.stream:
            await self._exchange.write(completions.DONE, more=False)
            return
        content = completions.whole(
            self._call.request_id,
            self._call.match.route.target,
            ''.join(self._texts),
            self._finish,
            (self._prompt_tokens, self.tokens),
        )
        await self._exchange.answer(200, self._headers(JSON_TYPE), content)

    def _observe(self, piece: engine.Piece, now: float) -> None:
        seconds = now - self._last
        self._last = now
        if self.tokens == 0:
            self._first_token.observe(seconds)
            return
        self._token_gap.observe(seconds / max(1, piece.tokens))

    def _headers(self, kind: tuple[str, str]) -> http_io.Headers:
        return (
            kind,
            ('corianderspar-ran', 'yes'),
            ('corianderspar-request-id', self._call.request_id),
        )
