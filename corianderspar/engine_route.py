"""Engine routes: run completions and send their answers to callers."""

import contextlib

from corianderspar import account_charges
from corianderspar import completions
from corianderspar import engine
from corianderspar import http_io
from corianderspar import kernel
from corianderspar import metrics
from corianderspar import placement
from corianderspar import problems
from corianderspar import prompts
from corianderspar import rate_limiter
from corianderspar import request_context

CHARGE_STEP_TOKENS = 64  # of the answer, charged before they are sent
FIRST_TOKEN_SECONDS_BY_CLASS: dict[str, float | None] = {
    'patient': None,
    'guarded': 1.5,
    'ordinary': 1.5,
}
JSON_CONTENT_TYPE = ('content-type', 'application/json')
EVENT_STREAM_CONTENT_TYPE = ('content-type', 'text/event-stream')


class EngineRoute:
    """Answers requests on engine routes.

    Parameters
    ----------
    app : Application
        Provides the services ``placement`` and ``metrics``.
    charges : AccountCharges
        Charges the accounts for tokens.
    """

    def __init__(
        self, app: kernel.Application, charges: account_charges.AccountCharges
    ) -> None:
        self._clock = app.clock
        self._charges = charges
        self._placement = app.find('placement', placement.Placement)
        self._metrics = app.find('metrics', metrics.Metrics)

    async def answer(
        self,
        exchange: http_io.Exchange,
        context: request_context.RequestContext,
    ) -> None:
        """Run a completion and send its answer to the caller.

        Raises
        ------
        RequestError
            If the request is not allowed or its answer is incomplete.
        """
        entry = context.matched.entry
        model = context.matched.route.target
        if exchange.method != 'POST':
            raise request_context.RequestError(
                problems.Problem('bad_method', 405, 'no', 'POST only')
            )
        completion = request_context.unwrap(
            completions.parse(
                context.request.body, model, entry.limits.max_tokens
            )
        )
        prompt_tokens = prompts.count_tokens(completion.prompt)
        charge = await self._charges.charge(
            context, prompt_tokens + CHARGE_STEP_TOKENS
        )
        writer = _AnswerWriter(
            exchange, context, completion, prompt_tokens, self._metrics
        )
        pieces = self._placement.run(self._engine_request(context, completion))
        try:
            async with contextlib.aclosing(pieces):
                writer.ran = True
                async for piece in pieces:
                    # Charged first, so that no token is sent that exceeds the
                    # limits of the account.
                    await self._charge_ahead(charge, writer, piece.tokens)
                    await writer.write(piece, self._clock.monotonic())
            await writer.end()
        except placement.EngineRequestError as error:
            writer.ran = error.problem.ran != 'no'
            raise request_context.RequestError(error.problem) from error
        finally:
            used_tokens = prompt_tokens + writer.tokens if writer.ran else 0
            charge.settle(used_tokens)
            self._metrics.tokens.labels('prompt').inc(prompt_tokens)
            self._metrics.tokens.labels('answer').inc(writer.tokens)

    async def _charge_ahead(
        self, charge: rate_limiter.Charge, writer: '_AnswerWriter', tokens: int
    ) -> None:
        while writer.tokens + tokens > writer.charged_tokens:
            await charge.extend(CHARGE_STEP_TOKENS)
            writer.charged_tokens += CHARGE_STEP_TOKENS

    def _engine_request(
        self,
        context: request_context.RequestContext,
        completion: completions.CompletionRequest,
    ) -> placement.EngineRequest:
        entry = context.matched.entry
        return placement.EngineRequest(
            request_id=context.request_id,
            account=context.account,
            weight=self._charges.weight(context.account),
            route=context.matched.label,
            service_class=entry.service_class,
            model=context.matched.route.target,
            prompt=completion.prompt,
            max_tokens=completion.max_tokens,
            timeout=context.remaining(self._clock.monotonic()),
            repeatable=context.matched.route.repeatable,
            first_token_timeout=FIRST_TOKEN_SECONDS_BY_CLASS[
                entry.service_class
            ],
        )


class _AnswerWriter:
    """Writes the answer to a completion: as a stream, or as one body."""

    def __init__(
        self,
        exchange: http_io.Exchange,
        context: request_context.RequestContext,
        completion: completions.CompletionRequest,
        prompt_tokens: int,
        recorder: metrics.Metrics,
    ) -> None:
        self.tokens = 0
        self.charged_tokens = CHARGE_STEP_TOKENS
        self.ran = False
        self._exchange = exchange
        self._context = context
        self._completion = completion
        self._prompt_tokens = prompt_tokens
        self._metrics = recorder
        self._texts: list[str] = []
        self._finish = ''
        self._last_piece_at = context.arrived
        # Looked up once: a lookup costs as much as the rest of the work for
        # a token.
        label = context.matched.label
        self._first_token = recorder.first_token.labels(label)
        self._token_gap = recorder.token_gap.labels(label)

    async def write(self, piece: engine.Piece, now: float) -> None:
        """Write a piece, or keep it if the answer is sent as one body."""
        self._observe_latency(piece, now)
        self.tokens += piece.tokens
        self._finish = piece.finish
        if not self._completion.stream:
            self._texts.append(piece.text)
            return
        if self._exchange.status == 0:
            await self._exchange.begin(
                200, self._headers(EVENT_STREAM_CONTENT_TYPE)
            )
        await self._exchange.write(
            completions.piece_event(
                self._context.request_id,
                self._context.matched.route.target,
                piece.text,
                piece.finish,
            )
        )

    async def end(self) -> None:
        """Finish the answer after its last piece."""
        label = self._context.matched.label
        self._metrics.requests.labels(label, 'ok', 'yes').inc()
        if self._completion.stream:
            await self._exchange.write(completions.DONE_EVENT, more=False)
            return
        content = completions.answer_body(
            self._context.request_id,
            self._context.matched.route.target,
            ''.join(self._texts),
            self._finish,
            (self._prompt_tokens, self.tokens),
        )
        await self._exchange.answer(
            200, self._headers(JSON_CONTENT_TYPE), content
        )

    def _observe_latency(self, piece: engine.Piece, now: float) -> None:
        seconds = now - self._last_piece_at
        self._last_piece_at = now
        if self.tokens == 0:
            self._first_token.observe(seconds)
            return
        self._token_gap.observe(seconds / max(1, piece.tokens))

    def _headers(self, content_type: tuple[str, str]) -> http_io.Headers:
        return (
            content_type,
            ('corianderspar-ran', 'yes'),
            ('corianderspar-request-id', self._context.request_id),
        )
