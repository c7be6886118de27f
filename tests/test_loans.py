"""Tests of loans of tokens between VMs."""

import asyncio

from corianderspar import limit_faults
from corianderspar import loans
from corianderspar import peers
from tests import test_shares

ACCOUNT = limit_faults.ACCOUNT


def test_one_vm_can_borrow_the_whole_burst():
    async def main():
        trial = await test_shares.start_trial()
        result = await trial.limits('c1').admit(ACCOUNT, 99, 0)
        return trial, result.is_ok()

    assert test_shares.run(main)


def test_borrowed_tokens_expire():
    async def main():
        trial = await test_shares.start_trial()
        borrower = trial.limits('c1').loans
        await borrower.borrow(ACCOUNT, 50)
        before = borrower.borrowed(ACCOUNT)
        await asyncio.sleep(limit_faults.BOUNDS.loan)
        after = borrower.borrowed(ACCOUNT), borrower.spend(ACCOUNT, 50)
        return trial, (before, after)

    assert test_shares.run(main) == (50, (0, []))


def test_unspent_tokens_are_returned():
    async def main():
        trial = await test_shares.start_trial()
        borrower = trial.limits('c1').loans
        await borrower.borrow(ACCOUNT, 60)
        borrower.return_all(ACCOUNT)
        await asyncio.sleep(0.01)
        views = [trial.limits(vm).view(ACCOUNT) for vm in limit_faults.SIX]
        return trial, (
            sum(view.tokens for view in views),
            sum(view.lent for view in views),
        )

    tokens, lent = test_shares.run(main)
    assert abs(tokens - limit_faults.BURST) < 1e-6
    assert lent == 0


def test_a_spent_loan_frees_capacity_at_the_lender():
    async def main():
        trial = await test_shares.start_trial()
        await trial.limits('c1').admit(ACCOUNT, 90, 0)
        await asyncio.sleep(0.01)
        views = [trial.limits(vm).view(ACCOUNT) for vm in limit_faults.SIX]
        return trial, sum(view.lent for view in views)

    assert test_shares.run(main) == 0


def test_invalid_messages_have_no_effect():
    async def main():
        trial = await test_shares.start_trial()
        lender = trial.limits('a1').loans
        sender = peers.Sender('a2', 'a2/1/x')
        before = trial.limits('a1').view(ACCOUNT)
        lent_tokens = [
            (
                await lender._on_loan_request(
                    sender, loans.LoanRequest(name, tokens)
                )
            ).tokens
            for name, tokens in [
                ('nobody', 5.0),
                (ACCOUNT, -5.0),
                (ACCOUNT, float('nan')),
            ]
        ]
        for number in (0, 7):
            message = loans.LoanReturn(ACCOUNT, number, 1e9)
            await lender._on_loan_return(sender, message)
        return trial, (lent_tokens, before == trial.limits('a1').view(ACCOUNT))

    assert test_shares.run(main) == ([0.0, 0.0, 0.0], True)


def test_unresponsive_lenders_are_not_asked_again_at_once():
    async def main():
        trial = await test_shares.start_trial()
        trial.fleet.network.partition({'c1'})
        borrower = trial.limits('c1').loans
        await borrower.borrow(ACCOUNT, 1000)
        asked = borrower.counts['asked']
        await borrower.borrow(ACCOUNT, 1000)
        return trial, (asked, borrower.counts['asked'])

    assert test_shares.run(main) == (5, 5)
