from corianderspar.router import model
from corianderspar.router import selection


def _upstream(name: str, data_centre: str = 'a') -> model.Upstream:
    return model.Upstream(
        name, 's', '127.0.0.1', 1, data_centre, model.Phase.PLAIN, True, 6
    )


def _share(chosen: selection.UpstreamSelector, pool, now, served):
    """Send 300 requests 10 ms apart; return how often each was chosen."""
    counts = dict.fromkeys((u.instance for u in pool), 0)
    for _ in range(300):
        now += 0.01
        upstream = chosen.choose(pool, (), now)
        counts[upstream.instance] += 1
        chosen.begin(upstream)
        seconds, ok = served(upstream)
        chosen.end(upstream, seconds, ok, now)
    return counts


def test_an_upstream_that_fails_while_it_looks_well_gets_little():
    pool = [_upstream('good1'), _upstream('grey'), _upstream('good2')]
    chosen = selection.UpstreamSelector('a')
    flip = iter(range(10**6))
    counts = _share(
        chosen,
        pool,
        0.0,
        lambda u: (0.05, u.instance != 'grey' or next(flip) % 2 == 0),
    )
    assert counts['grey'] < 40


def test_a_slow_upstream_gets_little_and_is_tried_again_later():
    pool = [_upstream('fast'), _upstream('slow')]
    chosen = selection.UpstreamSelector('a')
    counts = _share(
        chosen, pool, 0.0, lambda u: (0.5 if u.instance == 'slow' else 0.05, 1)
    )
    assert counts['slow'] < 20


def test_unreachable_upstreams_are_used_only_if_there_is_no_other():
    near, far = _upstream('near'), _upstream('far', 'b')
    chosen = selection.UpstreamSelector('a')
    assert chosen.choose([near, far], (), 0.0) == near
    chosen.mark_unreachable(near, 0.0)
    assert chosen.choose([near, far], (), 0.1) == far
    assert chosen.choose([near], (), 0.1) == near
    later = selection.SUSPECT_SECONDS + 0.1
    assert chosen.choose([near, far], (), later) == near


def test_excluded_ones_are_never_chosen():
    assert (
        selection.UpstreamSelector('a').choose([_upstream('x')], 'x', 0.0)
        is None
    )
