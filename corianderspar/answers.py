"""Assembles answers from pieces that may be duplicated or out of order."""

import collections

from corianderspar import engine

MAX_BUFFERED_PIECES = 64  # held back until the gap before them closes


class Answer:
    """The answer to one request, assembled over all its runs.

    A piece is accepted if it carries the id of the present run and a
    position that is still missing. Pieces of other runs or requests,
    duplicates and pieces after the end are counted and dropped. Pieces that
    arrive early are held back until the gap before them closes, at most
    `MAX_BUFFERED_PIECES` of them.

    Parameters
    ----------
    request_id : str
        The caller's id, which replaces the run's id in accepted pieces.
    counts : collections.Counter
        Counts dropped pieces by reason: ``crossed`` (of another request),
        ``late`` (of an earlier run, or after the end), ``doubled`` (a
        duplicate), ``empty`` (without tokens) and ``beyond`` (more than
        `MAX_BUFFERED_PIECES` held back).

    Attributes
    ----------
    position : int
        Number of tokens accepted without a gap.
    finish : str
        Why the answer ended, ``stop`` or ``length``; empty until then.

    Examples
    --------
    >>> answer = Answer('r1', collections.Counter())
    >>> answer.begin_run('vm1/1/a#1')
    >>> answer.accept(engine.Piece('vm1/1/a#1', 1, 1, ' day', 'stop'))
    []
    >>> accepted = answer.accept(engine.Piece('vm1/1/a#1', 0, 1, 'feast'))
    >>> [piece.text for piece in accepted], answer.is_complete
    (['feast', ' day'], True)
    """

    def __init__(
        self, request_id: str, counts: collections.Counter[str]
    ) -> None:
        self.position = 0
        self.finish = ''
        self._request_id = request_id
        self._counts = counts
        self._texts: list[str] = []
        self._run_ids: list[str] = []
        self._buffered_by_position: dict[int, engine.Piece] = {}

    @property
    def is_complete(self) -> bool:
        """Whether all pieces up to the one with ``finish`` were accepted."""
        return self.finish != ''

    @property
    def text(self) -> str:
        """Text of the answer up to `position`."""
        return ''.join(self._texts)

    def begin_run(self, run_id: str) -> None:
        """Accept only pieces of this run from now on."""
        self._run_ids.append(run_id)
        self._buffered_by_position.clear()

    def accept(self, piece: engine.Piece) -> list[engine.Piece]:
        """Return the pieces that can be passed to the caller now, in order.

        Parameters
        ----------
        piece : Piece
            A piece from an engine.

        Returns
        -------
        list of Piece
            Pieces with the caller's id; empty if the piece was dropped or
            held back.
        """
        reason = self._drop_reason(piece)
        if reason:
            self._counts[reason] += 1
            return []
        self._buffered_by_position[piece.position] = piece
        ready = []
        while self.position in self._buffered_by_position:
            following = self._buffered_by_position.pop(self.position)
            ready.append(self._append(following))
            if self.is_complete:
                self._buffered_by_position.clear()
        return ready

    def _drop_reason(self, piece: engine.Piece) -> str:
        if not self._run_ids or piece.request_id != self._run_ids[-1]:
            return 'late' if piece.request_id in self._run_ids else 'crossed'
        if self.is_complete:
            return 'late'
        if piece.position < self.position:
            return 'doubled'
        if piece.position in self._buffered_by_position:
            return 'doubled'
        if piece.tokens <= 0 and not piece.finish:
            return 'empty'
        if len(self._buffered_by_position) >= MAX_BUFFERED_PIECES:
            return 'beyond'
        return ''

    def _append(self, piece: engine.Piece) -> engine.Piece:
        self.position += piece.tokens
        self._texts.append(piece.text)
        self.finish = piece.finish
        return piece._replace(request_id=self._request_id)
