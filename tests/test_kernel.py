"""Tests of the application and its services."""

import asyncio
import random

import pytest

from corianderspar import clock
from corianderspar import kernel


class RecordingService:
    """Service that records its starts and stops."""

    def __init__(self, name, requires=(), calls=None, failing_method=''):
        self.name = name
        self.requires = requires
        self.calls = calls if calls is not None else []
        self.failing_method = failing_method

    async def start(self, app):
        if self.failing_method == 'start':
            raise ValueError(self.name)
        self.calls.append(f'start {self.name}')

    async def stop(self):
        self.calls.append(f'stop {self.name}')
        if self.failing_method == 'stop':
            raise ValueError(self.name)


def make_application(*services):
    app = kernel.Application(
        kernel.Identity('vm1', 'szeged'),
        clock.VirtualClock(),
        random.Random(1),
    )
    for service in services:
        app.add(service)
    return app


def test_services_start_and_stop_in_dependency_order():
    calls = []
    app = make_application(
        RecordingService('c', ('b',), calls),
        RecordingService('b', ('a',), calls),
        RecordingService('a', (), calls),
    )

    async def main():
        await app.start()
        await app.stop()

    clock.run_virtual(main())
    assert calls == [
        'start a',
        'start b',
        'start c',
        'stop c',
        'stop b',
        'stop a',
    ]


def test_failed_start_stops_the_started_services():
    calls = []
    app = make_application(
        RecordingService('a', (), calls),
        RecordingService('b', ('a',), calls, 'start'),
    )
    with pytest.raises(ValueError, match='b'):
        clock.run_virtual(app.start())
    assert calls == ['start a', 'stop a']


def test_missing_required_service_is_named():
    app = make_application(RecordingService('a', ('none',)))
    with pytest.raises(LookupError, match='none'):
        clock.run_virtual(app.start())


def test_service_names_are_unique():
    app = make_application(RecordingService('a'))
    with pytest.raises(ValueError, match='exists'):
        app.add(RecordingService('a'))


def test_failed_task_is_reported_and_the_application_continues():
    app = make_application(RecordingService('a'))
    failures = []
    app.on_failure.append(failures.append)

    async def fail():
        raise ZeroDivisionError

    async def main():
        await app.start()
        app.spawn('a', 'work', fail())
        await asyncio.sleep(1)
        await app.stop()

    clock.run_virtual(main())
    assert [(failure.service, failure.task) for failure in failures] == [
        ('a', 'work')
    ]
    assert app.events.events()[-1].name == 'service.failed'


def test_task_that_ends_by_itself_is_run_again_until_it_is_cancelled():
    """Guards against a task that is gone without a line in the log."""
    app = make_application(RecordingService('a'))
    runs = []

    async def work():
        runs.append(1)
        if len(runs) == 2:
            raise asyncio.CancelledError
        if len(runs) == 4:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                raise ValueError from None

    async def main():
        await app.start()
        task = app.keep_running('a', 'work', work)
        await asyncio.sleep(5.0)
        assert not task.done()
        await asyncio.wait_for(app.stop(), 1.0)
        assert task.cancelled()

    clock.run_virtual(main())
    assert len(runs) == 4
    assert [type(f.error).__name__ for f in app.failures] == [
        'TaskEndedError',
        'CancelledError',
        'TaskEndedError',
    ]


def test_service_that_fails_to_stop_does_not_block_the_others():
    calls = []
    app = make_application(
        RecordingService('a', (), calls),
        RecordingService('b', ('a',), calls, 'stop'),
    )

    async def main():
        await app.start()
        await app.stop()

    clock.run_virtual(main())
    assert calls[-1] == 'stop a'
    assert len(app.failures) == 1


def test_two_applications_in_one_process_are_separate():
    first, second = (
        make_application(RecordingService('a')),
        make_application(RecordingService('a')),
    )
    assert first.find('a', RecordingService) is not second.find(
        'a', RecordingService
    )
    with pytest.raises(LookupError):
        first.find('b', RecordingService)


def test_incarnations_of_a_vm_are_ordered_by_start_time():
    old = kernel.Incarnation('vm1', 5, 'b')
    new = kernel.Incarnation('vm1', 6, 'a')
    assert old < new
    assert kernel.Incarnation.parse(str(new)) == new
