import random

from corianderspar.router import model
from corianderspar.router import poison
from corianderspar.router import prompt_poison

MARK = f'{poison.SUSPECT_PREFIX}m'


def _request(body: bytes) -> model.CallerRequest:
    return model.CallerRequest(
        'r1', 'POST', '/a/b', 'h', '/a/b', (), '', 1.0, None, None, body
    )


def test_fingerprint_does_not_depend_on_the_request_id():
    first = poison.request_fingerprint(_request(b'x'), 'acc')
    again = _request(b'x')._replace(request_id='r2')
    assert poison.request_fingerprint(again, 'acc') == first
    assert poison.request_fingerprint(_request(b'y'), 'acc') != first
    assert poison.request_fingerprint(_request(b'x'), 'other') != first


def crashes(*times):
    """Return crashes of a request that no part of a prompt explains."""
    found = prompt_poison.PartCrashes()
    for number, at in enumerate(times):
        found.record_crash(f'e{number}@1', (MARK,), at, at)
    return found


def test_crashes_of_all_daemons_convict_and_expire():
    found = crashes(0.0)
    peer = prompt_poison.PartCrashes()
    peer.record_crash('e9@1', (MARK,), 0.0, 0.0)
    assert not found.convictions()
    found.merge(peer.message(0.0, random.Random(1)), 0.0)
    assert found.convictions()[MARK].crash_count == 2
    found.prune(prompt_poison.RETENTION_SECONDS + 3.0)
    assert not found.convictions()
    assert found.suspect_count(MARK) == 0


def test_success_clears_a_request():
    found = crashes(0.0, 0.0)
    assert found.record_success((MARK,), 0.1) == [MARK]
    assert not found.convictions()
    assert found.suspect_count(MARK) == 0


def test_success_clears_a_request_at_peers_too():
    found = crashes(0.0, 0.0)
    peer = crashes(0.0, 0.0)
    peer.record_success((MARK,), 1.0)
    found.merge(peer.message(1.0, random.Random(1)), 1.0)
    assert not found.convictions()


def test_number_of_crashes_and_requests_is_bounded():
    found = prompt_poison.PartCrashes()
    for number in range(2 * prompt_poison.MAX_CRASHES):
        at = float(number)
        for other in range(2 * prompt_poison.MAX_SUSPECTS):
            mark = f'{poison.SUSPECT_PREFIX}{other:024x}'
            found.record_crash(f'e{number}@1', (mark,), at, at)
    assert len(found.crashes_by_process) == prompt_poison.MAX_CRASHES
    assert all(
        len(crash.suspects) <= prompt_poison.MAX_SUSPECTS
        for crash in found.crashes_by_process.values()
    )
    message = found.message(200.0, random.Random(1))
    assert len(message.crashes_by_process) == 1
    assert (
        len(message.crashes_by_process['e127@1'].suspects)
        <= prompt_poison.MAX_SUSPECTS
    )


def test_request_and_its_own_part_are_not_tied():
    found = prompt_poison.PartCrashes()
    found.record_crash('e1@1', ('own', MARK), 0.0, 0.0)
    found.record_crash('e2@1', ('own', MARK), 9.0, 9.0)
    convictions = found.convictions()
    assert set(convictions) == {'own', MARK}
    assert not any(each.is_tied for each in convictions.values())
    found.record_crash('e1@1', (f'{MARK}2',), 0.0, 0.0)
    found.record_crash('e2@1', (f'{MARK}2',), 9.0, 9.0)
    convictions = found.convictions()
    assert convictions[MARK].is_tied and not convictions['own'].is_tied


def test_culprit_among_too_many_suspects_is_convicted():
    for culprit in ('zz', MARK):
        found = prompt_poison.PartCrashes()
        for number in range(12):
            at = 10.0 * number
            others = [
                name.format(number, other)
                for other in range(prompt_poison.MAX_SUSPECTS // 2)
                for name in ('{}-{}', poison.SUSPECT_PREFIX + '{}-{}')
            ]
            found.record_crash(f'e{number}@1', (*others, culprit), at, at)
        assert list(found.convictions()) == [culprit]
