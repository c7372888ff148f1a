"""Connection pool for targets, and for other nodes."""

import aiohttp


class KeptConnector(aiohttp.TCPConnector):
    """Keeps no connection on which more has come than was asked for.

    The library judges a connection as it is given back, and matches answers
    to calls by their order: what a target sent behind an answer, once its
    connection was kept, would be the answer to another caller.

    :param force_close: whether each request gets a connection of its own
    """

    def __init__(self, force_close: bool = False):
        super().__init__(limit=0, force_close=force_close)

    async def _get(self, key, traces):
        idle = self._conns.get(key, ())
        for item in [item for item in idle if item[0].should_close]:
            idle.remove(item)
            item[0].close()
        return await super()._get(key, traces)
