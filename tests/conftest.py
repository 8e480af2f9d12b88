import pytest_asyncio

from tests import deployment


@pytest_asyncio.fixture
async def deployed():
    """Yield a deployment with its platform running."""
    async with deployment.Deployment() as made:
        yield made
