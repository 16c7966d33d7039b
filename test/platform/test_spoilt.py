"""What other writers leave in the store changes nothing that is in force."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(__file__))

from fleet import Fleet  # noqa: E402

TAKEN_S = 0.5  # well beyond the time in which a good one is taken


def test_a_configuration_without_listeners_is_not_taken():
    async def scenario():
        async with Fleet(routers=1) as fleet:
            await fleet.wait_ready()
            spoilt = fleet.make_config()
            spoilt["listeners"] = None
            spoilt["version"] = f"r{fleet.version + 1}"
            await fleet.store.put("op", "config", json.dumps(spoilt))
            await asyncio.sleep(TAKEN_S)
            version = await fleet.routers[0].metric(
                "vanillapost_configuration_version")
            assert version == fleet.version

    asyncio.run(scenario())
