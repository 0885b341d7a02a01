"""Fixtures shared by all tests."""

from __future__ import annotations

import asyncio
from collections import abc

import pytest

from tarragonlift_lab import demo
from tarragonlift_lab import processes


@pytest.fixture(scope="session")
def site(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[demo.Site]:
    """Start a platform, backend servers and daemons."""
    trial_processes = processes.TrialProcesses(tmp_path_factory.mktemp("site"))
    try:
        running_site = demo.start_site(trial_processes, seed=1)
        asyncio.run(_prepare(running_site))
        yield running_site
    finally:
        trial_processes.kill_all()


async def _prepare(site: demo.Site) -> None:
    """Publish hosts and configuration and wait until ready."""
    await demo.publish_hosts(site)
    await demo.push_configuration(site)
    await demo.wait_ready(site)
