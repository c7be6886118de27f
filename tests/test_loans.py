"""Tests of tokens that VMs lend each other."""

import asyncio

from corianderspar import limit_faults
from corianderspar import loans
from corianderspar import peers
from tests import test_shares

ACCOUNT = limit_faults.ACCOUNT


def test_one_vm_can_use_the_whole_burst():
    async def main():
        made = await test_shares.start_trial()
        result = await made.limits('c1').admit(ACCOUNT, 99, 0)
        return made, result.is_ok()

    assert test_shares.run(main)


def test_borrowed_tokens_are_not_spent_after_their_time():
    async def main():
        made = await test_shares.start_trial()
        mine = made.limits('c1').loans
        await mine.borrow(ACCOUNT, 50)
        fresh = mine.borrowed(ACCOUNT)
        await asyncio.sleep(limit_faults.BOUNDS.loan)
        late = mine.borrowed(ACCOUNT), mine.spend(ACCOUNT, 50)
        return made, (fresh, late)

    assert test_shares.run(main) == (50, (0, []))


def test_what_was_not_spent_goes_back():
    async def main():
        made = await test_shares.start_trial()
        mine = made.limits('c1').loans
        await mine.borrow(ACCOUNT, 60)
        mine.give_back_all(ACCOUNT)
        await asyncio.sleep(0.01)
        held = [made.limits(vm).view(ACCOUNT) for vm in limit_faults.SIX]
        return made, (
            sum(view.tokens for view in held),
            sum(view.lent for view in held),
        )

    tokens, lent = test_shares.run(main)
    assert abs(tokens - limit_faults.BURST) < 1e-6
    assert lent == 0


def test_a_spent_loan_frees_the_lenders_room():
    async def main():
        made = await test_shares.start_trial()
        await made.limits('c1').admit(ACCOUNT, 90, 0)
        await asyncio.sleep(0.01)
        held = [made.limits(vm).view(ACCOUNT) for vm in limit_faults.SIX]
        return made, sum(view.lent for view in held)

    assert test_shares.run(main) == 0


def test_nonsense_gets_and_changes_nothing():
    async def main():
        made = await test_shares.start_trial()
        lender = made.limits('a1').loans
        sender = peers.Sender('a2', 'a2/1/x')
        before = made.limits('a1').view(ACCOUNT)
        given = [
            (
                await lender._lend(sender, loans.LoanRequest(name, tokens))
            ).tokens
            for name, tokens in [
                ('nobody', 5.0),
                (ACCOUNT, -5.0),
                (ACCOUNT, float('nan')),
            ]
        ]
        for number in (0, 7):
            back = loans.LoanReturn(ACCOUNT, number, 1e9)
            await lender._take_back(sender, back)
        return made, (given, before == made.limits('a1').view(ACCOUNT))

    assert test_shares.run(main) == ([0.0, 0.0, 0.0], True)


def test_silent_lenders_are_not_asked_again_at_once():
    async def main():
        made = await test_shares.start_trial()
        made.fleet.network.partition({'c1'})
        mine = made.limits('c1').loans
        await mine.borrow(ACCOUNT, 1000)
        asked = mine.counts['asked']
        await mine.borrow(ACCOUNT, 1000)
        return made, (asked, mine.counts['asked'])

    assert test_shares.run(main) == (5, 5)
