"""Count the tokens of a request that an organisation pays for."""

from anvilshift.core.routing import ModelLimits, RequestKind, Rule
from anvilshift.core.targetload import Prompt
from anvilshift.core.timeouts import bound_abandoned_tokens
from anvilshift.gateway.relaying import COMPLETE, AnswerRelay


def count_used_tokens(
    relay: AnswerRelay, prompt: Prompt, model: ModelLimits, rule: Rule
) -> int:
    """Return an upper bound on the tokens that a request used which may have run.

    An engine may have generated an answer that was lost in transit.  If only the
    received events were counted, a nearly used up budget would be overspent.
    """
    most = prompt.tokens + prompt.most_answer + model.tokens_per_event
    if relay.outcome == COMPLETE:
        generated = relay.events * model.tokens_per_event
        return prompt.tokens + min(generated, prompt.most_answer)
    if relay.broken or rule.kind is not RequestKind.STREAMING:
        return most
    return bound_abandoned_tokens(
        prompt.tokens, relay.events, model.tokens_per_event, most
    )
