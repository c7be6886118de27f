"""How the platform's callers speak."""

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import http_io
from corianderspar import problems
from corianderspar.platform import protocol  # noqa: H306
from corianderspar.router import model

# Milliseconds; for a caller that names no time of its own.
REMAINING_DEFAULT_MS = 60_000.0


class HttpCallerFormat:
    """The form of callers, as `edge.CallerFormat`."""

    def read_head(
        self, exchange: http_io.Exchange
    ) -> Result[model.CallerRequest, problems.Problem]:
        """Decode a request's head."""
        by_name = dict(exchange.headers)
        request_id = by_name.get('x-request-id', '')
        if not request_id:
            return _bad('X-Request-Id is missing')
        try:
            budget = float(by_name.get('x-deadline-ms', REMAINING_DEFAULT_MS))
            sizes = _sizes(by_name)
            last = by_name.get('last-event-id', '')
            after_event = int(last) if last else None
        except ValueError as error:
            return _bad(str(error))
        target = exchange.raw_path
        if exchange.query:
            target += f'?{exchange.query}'
        return Ok(
            model.CallerRequest(
                request_id,
                exchange.method,
                target,
                by_name.get('host', ''),
                exchange.raw_path,
                _passed_on(exchange.headers),
                by_name.get(protocol.API_KEY, ''),
                budget / 1000,
                sizes,
                after_event,
            )
        )

    def error_answer(
        self, request_id: str, problem: problems.Problem
    ) -> tuple[http_io.Headers, bytes]:
        """Encode an answer of our own."""
        headers = [('content-type', 'text/plain')]
        if request_id:
            headers.append(('x-request-id', request_id))
        if problem.retry_after is not None:
            headers.append(('retry-after', f'{problem.retry_after:.2f}'))
        return tuple(headers), f'{problem.code}: {problem.message}\n'.encode()


def _sizes(by_name: dict[str, str]) -> model.TokenCounts | None:
    text = by_name.get(protocol.TOKEN_COUNTS)
    if text is None:
        return None
    prompt, output = (int(part) for part in text.split(','))
    hint = by_name.get(protocol.EXPECTED_OUTPUT)
    expected = min(int(float(hint)), output) if hint else output
    return model.TokenCounts(prompt, output, expected)


def _passed_on(
    headers: http_io.Headers,
) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers that go on to an upstream."""
    named = {
        name.strip().lower()
        for key, value in headers
        if key == 'connection'
        for name in value.split(',')
    }
    left_out = protocol.HOP_BY_HOP_HEADERS | protocol.RESERVED_HEADERS | named
    return tuple(
        (key.encode('latin-1'), value.encode('latin-1'))
        for key, value in headers
        if key not in left_out
    )


def _bad(message: str) -> Result[model.CallerRequest, problems.Problem]:
    return Error(problems.Problem('bad_request', 400, 'no', message))
