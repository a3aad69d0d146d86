"""YAML documents with the nodes that they were read from, which know their lines."""

from typing import Any

import yaml

from anvilshift.settings.files import LOADER

MAX_VALUES = 1_000_000
"""Values that a document may have with its aliases written out; a few hundred bytes of
aliases can stand for more than any memory holds."""


def load_documents(text: str) -> tuple[list[Any], list[yaml.Node]]:
    r"""Return the documents that aren't empty, and the node of each.

    Raises
    ------
    yaml.YAMLError, ValueError, LookupError, AttributeError, RecursionError
        If the text can't be read; the library raises all of these.

    Examples
    --------
    >>> load_documents("---\na: 1\n---\n")[0]
    [{'a': 1}]
    """
    documents, nodes = [], []
    loader = LOADER(text)
    try:
        while loader.check_node():
            node = loader.get_node()
            if "*" in text:
                _count_values(node, {})
            document = loader.construct_document(node)
            if document is not None:
                documents.append(document)
                nodes.append(node)
    finally:
        loader.dispose()
    return documents, nodes


def _count_values(node: yaml.Node, known: dict[int, int]) -> int:
    """Return the number of values in a node with its aliases written out."""
    if isinstance(node, yaml.ScalarNode):
        return 1
    if id(node) in known:
        if not known[id(node)]:
            raise yaml.MarkedYAMLError(
                problem="a value holds itself", problem_mark=node.start_mark
            )
        return known[id(node)]
    known[id(node)] = 0
    members = node.value
    if isinstance(node, yaml.MappingNode):
        members = [one for pair in members for one in pair]
    total = 1 + sum(_count_values(one, known) for one in members)
    if total > MAX_VALUES:
        problem = f"with its aliases it has over {MAX_VALUES:,} values"
        raise yaml.MarkedYAMLError(problem=problem, problem_mark=node.start_mark)
    known[id(node)] = total
    return total
