import random

import hypothesis
from hypothesis import strategies
import msgspec

from corianderspar.router import prompt_poison

PROCESSES = ('e1@1', 'e2@1', 'e3@1', 'e4@1')
PARTS = ('a', 'b', 'c', 'd')


def crashes(*parts_of_each, at=0.0, step=10.0):
    """Return crashes of different engines, some seconds apart."""
    found = prompt_poison.PartCrashes()
    for number, parts in enumerate(parts_of_each):
        time = at + step * number
        found.record_crash(f'e{number}@1', parts.split(), time, time)
    return found


def tell(source, target, now, delay=0.0):
    message = source.message(now, random.Random(1))
    content = msgspec.msgpack.encode(message)
    target.merge(
        msgspec.msgpack.decode(content, type=prompt_poison.Message),
        now + delay,
    )


def test_part_at_two_crashes_is_convicted():
    assert not crashes('a b').convictions()
    found = crashes('a x', 'a y').convictions()
    assert list(found) == ['a']
    assert found['a'].crash_count == 2 and found['a'].newest_at == 10.0


def test_reports_of_one_crash_are_counted_once():
    found = crashes('a')
    found.record_crash('e0@1', ('a', 'b'), 0.1, 0.1)
    assert not found.convictions()
    assert found.suspect_count('a') == found.suspect_count('b') == 1


def test_culprit_explains_the_crashes_of_parts_beside_it():
    found = crashes('a first', 'a first b', 'a b')
    assert list(found.convictions()) == ['a']
    assert not found.convictions()['a'].is_tied


def test_parts_at_the_same_crashes_are_tied_until_one_succeeds():
    found = crashes('a first', 'a first')
    assert set(found.convictions()) == {'a', 'first'}
    assert all(each.is_tied for each in found.convictions().values())
    assert found.record_success(('first', 'z'), 11.0) == ['first']
    assert list(found.convictions()) == ['a']


def test_part_with_an_earlier_success_yields_to_one_without():
    found = prompt_poison.PartCrashes()
    found.record_success(('first',), 1.0)
    for number, parts in enumerate((('first',), ('first', 'a'), ('a',))):
        found.record_crash(f'e{number}@1', parts, 2.0, 2.0)
    assert list(found.convictions()) == ['a']


def test_engines_that_crash_together_do_not_convict_a_proven_part():
    found = prompt_poison.PartCrashes()
    found.record_success(('first',), 1.0)
    for number in range(20):
        found.record_crash(f'e{number}@1', ('first',), 2.0, 2.0)
    assert not found.convictions()


def test_proven_part_is_convicted_by_crashes_at_four_times():
    found = prompt_poison.PartCrashes()
    found.record_success(('a',), 1.0)
    for number in range(3):
        found.record_crash(f'e{number}@1', ('a',), 10.0 * number + 2, 30.0)
    assert not found.convictions()
    found.record_crash('e3@1', ('a',), 32.0, 32.0)
    assert found.convictions()['a'].is_proven


def test_success_before_a_crash_does_not_clear_of_it():
    found = crashes('a', 'a', at=5.0)
    found.record_success(('a',), 4.0)
    assert found.suspect_count('a') == 2
    found.record_success(('a',), 6.0)
    assert found.suspect_count('a') == 1


def test_success_counts_for_a_crash_that_a_peer_tells_of_later():
    source = crashes('a', 'a')
    target = prompt_poison.PartCrashes()
    target.record_success(('a',), 12.0)
    tell(source, target, 15.0)
    assert not target.convictions()
    tell(target, source, 15.0)
    assert not source.convictions()


def test_crashes_are_kept_while_requests_are_refused():
    found = crashes('a', 'a', 'b')
    end = 20.0 + prompt_poison.RETENTION_SECONDS
    found.renew('a', 100.0)
    found.prune(end + 1.0)
    assert set(found.convictions()) == {'a'}
    assert len(found.crashes_by_process) == 2
    found.prune(100.0 + prompt_poison.RETENTION_SECONDS + 1.0)
    assert not found.crashes_by_process and not found.convictions()


def test_probes_of_a_part_without_success_end_after_one_crash():
    found = crashes('a x', 'a y', step=1.0)
    due_at = found.probe_due_at('a')
    assert due_at == 1.0 + prompt_poison.PROBE_SECONDS
    found.record_probe('a', due_at)
    assert found.probe_due_at('a') == due_at + 2 * prompt_poison.PROBE_SECONDS
    found.record_crash('e9@1', ('a',), 2.0, 2.0, is_probe=True)
    assert found.probe_due_at('a') == float('inf')


def test_part_without_success_at_crashes_at_two_times_is_not_probed():
    found = crashes('a x', 'a y')
    assert found.probe_due_at('a') == float('inf')


def test_part_beside_one_whose_probe_failed_is_still_probed():
    found = crashes('bad shared', 'bad shared', step=1.0)
    due_at = found.probe_due_at('bad')
    found.record_probe('bad', due_at)
    found.record_crash(
        'e9@1', ('bad', 'shared'), due_at + 0.1, due_at + 0.1, is_probe=True
    )
    assert found.probe_due_at('bad') == float('inf')
    assert found.probe_due_at('shared') < due_at + 10.0
    assert found.record_success(('shared',), due_at + 9.0) == ['shared']
    assert list(found.convictions()) == ['bad']


def test_tied_parts_are_probed_soon():
    found = crashes('a b', 'a b')
    assert found.probe_due_at('a') == 10.0 + prompt_poison.SHORT_PROBE_SECONDS


def test_probe_is_known_to_peers():
    source = crashes('a', 'a', step=1.0)
    target = prompt_poison.PartCrashes()
    source.record_probe('a', 20.0)
    tell(source, target, 20.05)
    assert target.probe_due_at('a') >= 20.0


def test_numbers_of_crashes_and_of_suspects_are_bounded():
    found = prompt_poison.PartCrashes()
    for number in range(3 * prompt_poison.MAX_CRASHES):
        parts = [f'{number:x}-{n:x}' for n in range(200)]
        found.record_crash(f'e{number}@1', parts, number, number)
    assert len(found.crashes_by_process) == prompt_poison.MAX_CRASHES
    assert all(
        len(crash.suspects) == prompt_poison.MAX_SUSPECTS
        for crash in found.crashes_by_process.values()
    )


def test_many_engines_that_crash_do_not_displace_a_conviction():
    found = crashes('bad x', 'bad y')
    for number in range(3 * prompt_poison.MAX_CRASHES):
        at = 50.0 + number / 1000
        found.record_crash(f'o{number}@1', (f'p{number}',), at, at)
    assert len(found.crashes_by_process) == prompt_poison.MAX_CRASHES
    assert list(found.convictions()) == ['bad']
    target = prompt_poison.PartCrashes()
    tell(found, target, 51.0)
    assert list(target.convictions()) == ['bad']


def test_message_is_bounded():
    found = prompt_poison.PartCrashes()
    longest = prompt_poison.MAX_PART_CHARACTERS
    for number in range(prompt_poison.MAX_CRASHES):
        parts = [
            f'{number}-{n}'.ljust(longest, 'x')
            for n in range(prompt_poison.MAX_SUSPECTS)
        ]
        found.record_crash(f'e{number}@1', parts, number, number)
    found.record_success(parts, 99.0)
    message = found.message(99.0, random.Random(1))
    assert len(msgspec.msgpack.encode(message)) < 10_000
    assert f'e{number}@1' in message.crashes_by_process


def test_times_do_not_drift_between_daemons():
    first = crashes('a', 'a', at=5.0)
    first.record_success(('a',), 6.0)
    second = prompt_poison.PartCrashes()
    now = 15.0
    for _ in range(100):
        tell(first, second, now, 0.04)
        tell(second, first, now + 0.07, 0.04)
        now += 0.13
    assert first.crashes_by_process['e0@1'].at == 5.0
    assert 5.0 <= second.crashes_by_process['e0@1'].at <= 5.2
    for daemon in (first, second):
        assert daemon._success_at_by_part['a'] <= 6.0


OPERATIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(range(3)),  # daemon
        strategies.sampled_from(('crash', 'success', 'probe', 'tell')),
        strategies.sampled_from(PROCESSES),
        strategies.sets(strategies.sampled_from(PARTS), min_size=1),
    ),
    max_size=30,
)


@hypothesis.given(OPERATIONS)
def test_daemons_agree_once_they_have_told_each_other(operations):
    daemons = [prompt_poison.PartCrashes() for _ in range(3)]
    now = 0.0
    for number, operation, process, parts in operations:
        now += 1.0
        daemon = daemons[number]
        if operation == 'crash':
            daemon.record_crash(process, parts, now, now)
        elif operation == 'success':
            daemon.record_success(parts, now)
        elif operation == 'probe':
            daemon.record_probe(min(parts), now)
        else:
            tell(daemon, daemons[number - 1], now)
    now += 1.0
    for _ in range(4):
        for source in daemons:
            for target in daemons:
                tell(source, target, now)
    assert len({daemon.digest() for daemon in daemons}) == 1
    assert len({frozenset(daemon.convictions()) for daemon in daemons}) == 1


@hypothesis.given(
    strategies.lists(strategies.sets(strategies.sampled_from(PARTS)))
)
def test_part_at_each_crash_is_convicted_whatever_else_is_there(others):
    found = prompt_poison.PartCrashes()
    for number, parts in enumerate(others):
        found.record_crash(f'e{number}@1', (*parts, 'bad'), 0.0, 0.0)
    assert ('bad' in found.convictions()) == (len(others) >= 2)
