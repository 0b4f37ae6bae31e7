"""Tests that small prompts of one account do not keep larger ones of another account waiting.

Guards against this: one account sends many times its share of small prompts, another one at 1.4
times its share sends prompts half as large again. In six seconds the first got 1.9 to 2.1 million
tokens, and the second 0.32 to 0.38 of 1.0 million that it asked for. Over the share a prompt is
admitted while it and the tokens ahead of it can be read in a fraction of the time to first token.
An account with a request every few milliseconds takes that time as soon as a small prompt fits, so
a larger prompt never fits. Serving the least usage first is not enough, as that looks only at the
requests that fit; the prefill has to be reserved for the one that waits.
"""

from __future__ import annotations

import unittest

import gevent

from loomyard_router.admission.slot_messages import PromptsRead, SlotRequest, SlotsReleased
from test_loomyard_router.test_admission.slots_case import Fleet

SLOTS = 48
# Prompt tokens that the engine reads in a millisecond.
TOKENS_PER_MILLISECOND = 40
ANSWER_MILLISECONDS = 300
FIRST_TOKEN_MS = 225
MILLISECONDS = 3000
REQUEST_EVERY = 2
# Longer than the test, so that a wait ends only with a slot.
WAIT = 600_000


class SmallPromptsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(1, slots=SLOTS)
        self.slot_owner = self.fleet.routers[0].slot_owner
        self.member = self.fleet.routers[0].members.own
        self.permits = 0
        self.tokens = {"crowd": 0, "other": 0}
        self.unread: list[list[int]] = []
        self.ends: list[tuple[int, int]] = []
        self.waiting: list[gevent.Greenlet] = []
        self.addCleanup(lambda: gevent.killall(self.waiting))

    def request(self, account: str, *, prompt_tokens: int, usage: int, wait_ms: int) -> None:
        self.permits += 1
        permit = self.permits
        request = SlotRequest(
            target=self.fleet.targets[0].incarnation,
            slots=SLOTS,
            permit=permit,
            usage=usage,
            prompt_tokens=prompt_tokens,
            unshared_part=f"own-{permit}",
            first_token_ms=FIRST_TOKEN_MS,
            wait_ms=wait_ms,
            share_used=2.0,
        )
        if self.slot_owner.request(self.member, request).granted:
            self.tokens[account] += prompt_tokens
            self.unread.append([permit, prompt_tokens])

    def step(self, now: int) -> None:
        """Let the engine run for a millisecond."""
        left = TOKENS_PER_MILLISECOND
        while left and self.unread:
            permit, tokens = self.unread[0]
            read = min(left, tokens)
            self.unread[0][1] -= read
            left -= read
            if not self.unread[0][1]:
                self.unread.pop(0)
                self.ends.append((now + ANSWER_MILLISECONDS, permit))
                self.slot_owner.record_first_tokens(self.member, PromptsRead(permits=[permit]))
        ended = [permit for end, permit in self.ends if end <= now]
        self.ends = [one for one in self.ends if one[0] > now]
        self.slot_owner.release(self.member, SlotsReleased(permits=ended))

    def test_the_account_with_large_prompts_gets_half_of_the_tokens_of_the_other(self) -> None:
        for now in range(MILLISECONDS):
            self.fleet.clock.advance(0.001)
            self.step(now)
            gevent.sleep(0)
            self.waiting = [one for one in self.waiting if not one.dead]
            while len(self.waiting) < 2:
                self.waiting.append(
                    gevent.spawn(self.request, "other", prompt_tokens=2480, usage=100, wait_ms=WAIT)
                )
                gevent.sleep(0)
            if now % REQUEST_EVERY == 0:
                self.request("crowd", prompt_tokens=800, usage=1000, wait_ms=0)
        self.assertGreaterEqual(self.tokens["other"], self.tokens["crowd"] / 2)


if __name__ == "__main__":
    unittest.main()
