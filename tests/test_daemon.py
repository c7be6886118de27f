"""Tests of the daemon as a process on loopback sockets."""

import asyncio
import signal
import subprocess
import sys

from corianderspar import slopes_edge

DAEMON_COMMAND = (sys.executable, '-m', 'corianderspar.daemon')


def test_invalid_settings_end_the_process_with_all_findings(tmp_path):
    path = tmp_path / 'daemon.toml'
    path.write_text('[vm]\nname = "EV 1"\n[listen]\ncallers = "here"\n')
    completed = subprocess.run(
        (*DAEMON_COMMAND, str(path)),
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2
    assert f'{path}: vm.name' in completed.stderr
    assert f'{path}: listen.callers' in completed.stderr
    assert f'{path}: platform' in completed.stderr


def test_sigterm_does_not_interrupt_a_stream():
    prompt = 'A long answer answer=120'
    body = {'prompt': prompt, 'max_tokens': 120, 'stream': True}

    async def main():
        async with slopes_edge.running() as process:
            async with process.client() as client:
                async with client.stream(
                    'POST', slopes_edge.BLURBS, json=body
                ) as response:
                    lines = response.aiter_lines()
                    first = await anext(lines)
                    process.send_signal(signal.SIGTERM)
                    rest = [line async for line in lines]
            exit_code = await process.wait()
            expected = process.outside.expected_answer(prompt, 120)
            return first, rest, exit_code, expected

    first, rest, exit_code, expected = asyncio.run(main())
    text = ''.join(slopes_edge.text_of(line) for line in (first, *rest))
    assert text == expected
    assert rest[-2:] == ['data: [DONE]', '']
    assert exit_code == 0
