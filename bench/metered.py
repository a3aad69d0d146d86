"""Budgets of requests that are all metered, for benchmarks."""

from anvilshift.router.budgets import RouterBudgets


class MeteredBudgets(RouterBudgets):
    """Budgets of requests whose costs are counted when they have run."""

    async def reserve(
        self,
        account: str,
        key: str,
        tokens: int,
        organisation: str = "",
        metered: bool = True,
    ) -> None:
        """Reserve the most that a request can cost."""
        await super().reserve(account, key, tokens, organisation, metered)
