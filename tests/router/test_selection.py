from corianderspar.router import model
from corianderspar.router import selection


def _upstream(name: str, data_centre: str = 'a') -> model.Upstream:
    return model.Upstream(
        name, 's', '127.0.0.1', 1, data_centre, model.Phase.PLAIN, True, 6
    )


def _count_choices(
    selector: selection.UpstreamSelector, upstreams, now, serve
):
    """Send 300 requests 10 ms apart; return how often each is chosen."""
    counts = dict.fromkeys((u.instance for u in upstreams), 0)
    for _ in range(300):
        now += 0.01
        upstream = selector.choose(upstreams, (), now)
        counts[upstream.instance] += 1
        selector.begin(upstream)
        seconds, ok = serve(upstream)
        selector.end(upstream, seconds, ok, now)
    return counts


def test_failing_upstream_gets_few_requests():
    upstreams = [_upstream('good1'), _upstream('failing'), _upstream('good2')]
    selector = selection.UpstreamSelector('a')
    counter = iter(range(10**6))
    counts = _count_choices(
        selector,
        upstreams,
        0.0,
        lambda u: (0.05, u.instance != 'failing' or next(counter) % 2 == 0),
    )
    assert counts['failing'] < 40


def test_slow_upstream_gets_few_requests():
    upstreams = [_upstream('fast'), _upstream('slow')]
    selector = selection.UpstreamSelector('a')
    counts = _count_choices(
        selector,
        upstreams,
        0.0,
        lambda u: (0.5 if u.instance == 'slow' else 0.05, 1),
    )
    assert counts['slow'] < 20


def test_unreachable_upstream_is_a_last_choice():
    near, far = _upstream('near'), _upstream('far', 'b')
    selector = selection.UpstreamSelector('a')
    assert selector.choose([near, far], (), 0.0) == near
    selector.mark_unreachable(near, 0.0)
    assert selector.choose([near, far], (), 0.1) == far
    assert selector.choose([near], (), 0.1) == near
    later = selection.SUSPECT_SECONDS + 0.1
    assert selector.choose([near, far], (), later) == near


def test_excluded_upstream_is_not_chosen():
    assert (
        selection.UpstreamSelector('a').choose([_upstream('x')], 'x', 0.0)
        is None
    )
