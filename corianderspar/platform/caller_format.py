"""The HTTP format of the platform's callers."""

import math
import re

from expression import Error
from expression import Ok
from expression import Result

from corianderspar import http_io
from corianderspar import problems
from corianderspar.platform import protocol  # noqa: H306
from corianderspar.router import model

# For a caller that sends no timeout.
DEFAULT_TIMEOUT_MS = 60_000.0
MAX_PROMPT_PARTS = 32
# Of a number in a header. Sums of such numbers travel between daemons as 64
# bits.
MAX_COUNT = 2**31 - 1
_PROMPT_PART = re.compile(r'([\w.-]{1,64}):\d+', re.ASCII)


class HttpCallerFormat:
    """Decodes requests and encodes errors; implements `edge.CallerFormat`."""

    def read_head(
        self, exchange: http_io.Exchange
    ) -> Result[model.CallerRequest, problems.Problem]:
        """Decode a request's head."""
        by_name = dict(exchange.headers)
        request_id = by_name.get('x-request-id', '')
        if not request_id:
            return _bad_request('X-Request-Id is missing')
        try:
            timeout_ms = float(
                by_name.get('x-deadline-ms', DEFAULT_TIMEOUT_MS)
            )
            if not math.isfinite(timeout_ms):
                raise ValueError(f'X-Deadline-Ms is {timeout_ms}')
            token_counts = _token_counts(by_name)
            last_event_id = by_name.get('last-event-id', '')
            after_event = _count(last_event_id) if last_event_id else None
        except (ValueError, OverflowError) as error:
            return _bad_request(str(error))
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
                _forwarded_headers(exchange.headers),
                by_name.get(protocol.API_KEY, ''),
                timeout_ms / 1000,
                token_counts,
                after_event,
                prompt_parts=_prompt_parts(by_name),
                begun_by=by_name.get(protocol.RESUMES, ''),
            )
        )

    def error_answer(
        self, request_id: str, problem: problems.Problem
    ) -> tuple[http_io.Headers, bytes]:
        """Encode the answer that reports a problem to the caller."""
        headers = [('content-type', 'text/plain')]
        if request_id:
            headers.append(('x-request-id', request_id))
        if problem.retry_after is not None:
            headers.append(('retry-after', f'{problem.retry_after:.2f}'))
        return tuple(headers), f'{problem.code}: {problem.message}\n'.encode()


def _token_counts(by_name: dict[str, str]) -> model.TokenCounts | None:
    text = by_name.get(protocol.TOKEN_COUNTS)
    if text is None:
        return None
    prompt, max_output = (_count(part) for part in text.split(','))
    hint = by_name.get(protocol.EXPECTED_OUTPUT)
    expected_output = min(int(float(hint)), max_output) if hint else max_output
    return model.TokenCounts(prompt, max_output, expected_output)


def _count(text: str) -> int:
    """Return a number that counts tokens or events.

    Raises
    ------
    ValueError
        If it is none, negative or beyond `MAX_COUNT`.
    """
    count = int(text)
    if not 0 <= count <= MAX_COUNT:
        raise ValueError(f'a count from 0 to {MAX_COUNT} is expected')
    return count


def _prompt_parts(by_name: dict[str, str]) -> tuple[str, ...]:
    """Return the parts of the prompt that other requests may share.

    Returns
    -------
    tuple of str
        Empty if the header is malformed, since a request can be served
        without.
    """
    entries = by_name.get(protocol.PROMPT_PARTS, '').split(',')
    if len(entries) > MAX_PROMPT_PARTS:
        return ()
    matches = [_PROMPT_PART.fullmatch(entry.strip()) for entry in entries]
    parts = [match.group(1) for match in matches if match is not None]
    if len(parts) < len(entries):
        return ()
    return tuple(dict.fromkeys(parts[:-1]))


def _forwarded_headers(
    headers: http_io.Headers,
) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers to forward to an upstream.

    Headers named by the Connection header concern one connection only, like
    the hop-by-hop headers.
    """
    connection_headers = {
        name.strip().lower()
        for key, value in headers
        if key == 'connection'
        for name in value.split(',')
    }
    excluded = (
        protocol.HOP_BY_HOP_HEADERS
        | protocol.RESERVED_HEADERS
        | connection_headers
    )
    return tuple(
        (key.encode('latin-1'), value.encode('latin-1'))
        for key, value in headers
        if key not in excluded
    )


def _bad_request(
    message: str,
) -> Result[model.CallerRequest, problems.Problem]:
    return Error(problems.Problem('bad_request', 400, 'no', message))
