"""The end of an agent's process."""

import asyncio

from medlar_node.relay import agent as agent_process


class StoppingReducer:
    """A server that leaves 2 s after SIGTERM; its entry goes 0.3 s later."""

    waited = 0.0

    @property
    def has_draining_flows(self):
        return self.waited < 2.0

    @property
    def is_deregistering(self):
        return 2.0 <= self.waited < 2.3


def test_a_stopped_agent_removes_the_entry_of_a_server_that_left(monkeypatch):
    reducer = StoppingReducer()

    async def sleep(seconds):
        reducer.waited += seconds

    monkeypatch.setattr(agent_process.asyncio, "sleep", sleep)
    asyncio.run(agent_process._wait_until_done(reducer, 6.0))
    assert not reducer.is_deregistering
