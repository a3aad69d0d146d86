"""Run the tests that start no process and take no second, for a check while one writes.

The whole check is `tests.runner`; it runs these as well.
"""

import sys

from tests.runner import run

LONG = (
    "tests.bench.",
    "tests.client.test_client.",
    "tests.core.test_allotments.",
    "tests.core.test_budget_machine.",
    "tests.core.test_dispatcher_poison.",
    "tests.core.test_dispatcher_random.",
    "tests.core.test_forwarders.",
    "tests.core.test_ledger.LedgerTest.test_no_sequence_of_operations_overspends",
    "tests.core.test_origins.KeeperTest.",
    "tests.core.test_partblame.FleetTest.",
    "tests.core.test_poison_views.",
    "tests.core.test_relocation.",
    "tests.core.test_retries.RetryWindowTest.",
    "tests.docs.test_commands.",
    "tests.docs.test_pages.",
    "tests.gateway.test_domaindrains.",
    "tests.gateway.test_coldtargets.",
    "tests.gateway.test_fleet_restart.",
    "tests.gateway.test_origins.CourseTest.",
    "tests.gateway.test_permits.BoundTest.",
    "tests.gateway.test_permits.FaultTest.",
    "tests.gateway.test_permits.LimitChangeTest.",
    "tests.gateway.test_recording.",
    "tests.gateway.test_retryshares.",
    "tests.gateway.test_sparing.",
    "tests.gateway.test_splitting.StandardTest.test_cost_of_a_long_event_grows_with_its_length_alone",
    "tests.gateway.test_startshares.SingleTargetTest.",
    "tests.gateway.test_targethealth.",
    "tests.integration.",
    "tests.objects.test_http_store.",
    "tests.operator.test_standins.",
    "tests.operator.test_verbs.",
    "tests.peers.",
    "tests.platform.",
    "tests.router.test_bad_input.",
    "tests.router.test_bill_orders.",
    "tests.router.test_bill_survival.",
    "tests.router.test_claimed.",
    "tests.router.test_claims.",
    "tests.router.test_claims_random.",
    "tests.router.test_crashes.",
    "tests.router.test_following.",
    "tests.router.test_moving.",
    "tests.router.test_permits.",
    "tests.router.test_quarantined.",
    "tests.router.test_random_acceptance.",
    "tests.router.test_runs.",
    "tests.router.test_silent_platform.",
    "tests.settings.test_declarations.DeclarationTest.test_any_value_is_read_or_raises_an_error_with_its_code",
    "tests.settings.test_router.",
    "tests.test_runner.",
    "tests.wire.test_tunnel.TunnelTest.test_a_silent_client_is_dropped",
    "tests.wire.test_unframed.",
)
"""Beginnings of the ids of all other tests."""


def is_quick(test: str) -> bool:
    """Return whether a test starts no process and takes less than a second."""
    return not test.startswith(LONG)


if __name__ == "__main__":
    sys.exit(run(choose=is_quick))
